#include "endivelever/base/histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace endivelever {
namespace detail {

constexpr unsigned sub_bucket_bits = 5;

std::size_t bucket_of(std::uint64_t micros) {
    if (micros < histogram::sub_buckets) {
        return static_cast<std::size_t>(micros);
    }
    const auto width = static_cast<unsigned>(std::bit_width(micros));
    const unsigned shift = width - sub_bucket_bits - 1;
    const auto sub = static_cast<std::size_t>(micros >> shift) - histogram::sub_buckets;
    const std::size_t index = (shift + 1) * histogram::sub_buckets + sub;
    return std::min(index, histogram::sub_buckets * histogram::magnitudes - 1);
}

std::uint64_t upper_edge(std::size_t index) {
    if (index < histogram::sub_buckets) {
        return index + 1;
    }
    const std::size_t shift = index / histogram::sub_buckets - 1;
    const std::size_t sub = index % histogram::sub_buckets;
    return (histogram::sub_buckets + sub + 1) << shift;
}

} // namespace detail

void record(histogram& target, duration value) {
    const auto clamped = std::max(value, duration::zero());
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(clamped).count();
    ++target.counts[detail::bucket_of(static_cast<std::uint64_t>(micros))];
    ++target.total;
    target.sum += clamped;
    target.max = std::max(target.max, clamped);
}

void merge(histogram& target, const histogram& source) {
    for (std::size_t i = 0; i < target.counts.size(); ++i) {
        target.counts[i] += source.counts[i];
    }
    target.total += source.total;
    target.sum += source.sum;
    target.max = std::max(target.max, source.max);
}

duration value_at(const histogram& source, double quantile) {
    if (source.total == 0) {
        return duration::zero();
    }
    const auto wanted = std::ceil(quantile * static_cast<double>(source.total));
    const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(wanted));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < source.counts.size(); ++i) {
        seen += source.counts[i];
        if (seen >= rank) {
            return std::chrono::microseconds(detail::upper_edge(i));
        }
    }
    return source.max;
}

} // namespace endivelever
