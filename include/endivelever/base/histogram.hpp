#pragma once

#include "endivelever/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace endivelever {

/// Latency histogram with relative error below 1/32 from 1 microsecond to 17 minutes.
struct histogram {
    static constexpr std::size_t sub_buckets = 32;
    static constexpr std::size_t magnitudes = 26;
    std::array<std::uint64_t, sub_buckets * magnitudes> counts{};
    std::uint64_t total = 0;
    duration sum{};
    duration max{};
};

/// Adds one value; negative values count as 0, values over the range as the highest bucket.
void record(histogram& target, duration value);

/// Adds all values of `source` to `target`.
void merge(histogram& target, const histogram& source);

/// @param quantile  in [0, 1]
/// @return upper edge of the bucket that holds the quantile; 0 if the histogram is empty
duration value_at(const histogram& source, double quantile);

} // namespace endivelever
