#include "testbed/body_pattern.hpp"

#include <algorithm>
#include <array>
#include <cstring>

namespace endivelever::testbed {
namespace detail {

constexpr std::size_t word_size = sizeof(std::uint64_t);

/// SplitMix64 finaliser: neighbouring word numbers give unrelated words.
std::uint64_t mix(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// Bytes of one word from `skip` on.
std::string_view word_bytes(const body_pattern& pattern, std::uint64_t offset,
                            std::array<char, word_size>& buf) {
    const auto word = mix(pattern.seed ^ (offset / word_size));
    std::memcpy(buf.data(), &word, word_size);
    const auto skip = static_cast<std::size_t>(offset % word_size);
    return std::string_view(buf.data(), word_size).substr(skip);
}

} // namespace detail

body_pattern pattern_of(std::string_view target) {
    std::uint64_t hash = 0xcbf29ce484222325U; // FNV-1a
    for (const char it : target) {
        hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001b3U;
    }
    return {detail::mix(hash)};
}

void append_bytes(const body_pattern& pattern, std::uint64_t offset, std::size_t size, std::string& out) {
    std::array<char, detail::word_size> buf{};
    while (size > 0) {
        const auto part = detail::word_bytes(pattern, offset, buf).substr(0, size);
        out.append(part);
        offset += part.size();
        size -= part.size();
    }
}

bool matches(const body_pattern& pattern, std::uint64_t offset, std::string_view data) {
    std::array<char, detail::word_size> buf{};
    while (!data.empty()) {
        const auto part = detail::word_bytes(pattern, offset, buf).substr(0, data.size());
        if (data.substr(0, part.size()) != part) {
            return false;
        }
        offset += part.size();
        data.remove_prefix(part.size());
    }
    return true;
}

} // namespace endivelever::testbed
