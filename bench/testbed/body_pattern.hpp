#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace endivelever::testbed {

/// Response bodies of the fake servers: a function of the request target, so that a caller can tell each
/// byte of its own response from that of any other.
struct body_pattern {
    std::uint64_t seed = 0;
};

/// @param target  request target with query, as the caller sent it
body_pattern pattern_of(std::string_view target);

/// Appends the bytes [offset, offset + size) of the body to `out`.
void append_bytes(const body_pattern& pattern, std::uint64_t offset, std::size_t size, std::string& out);

/// @return true if `data` equals the body's bytes from `offset` on
bool matches(const body_pattern& pattern, std::uint64_t offset, std::string_view data);

} // namespace endivelever::testbed
