#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string>

namespace endivelever {

/// Seeded source of random numbers; pass it by reference, never share it between tests.
using random_source = pcg64;

/// @return a source seeded by the operating system
random_source make_random_source();

/// @return a number in [0, bound); bound must not be 0
inline std::uint32_t random_below(random_source& random, std::uint32_t bound) {
    return static_cast<std::uint32_t>(random(bound));
}

/// @return a number in [0, 1)
inline double random_unit(random_source& random) {
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^53, the mantissa of a double
    return static_cast<double>(static_cast<std::uint64_t>(random()) >> 11U) * scale;
}

/// @return `digits` random lower-case hexadecimal digits
std::string random_hex(random_source& random, int digits);

} // namespace endivelever
