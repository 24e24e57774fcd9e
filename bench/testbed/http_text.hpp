#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivelever::testbed {

/// @return value of a query parameter of a request target, or nothing; no percent decoding
std::optional<std::string> query_value(std::string_view target, std::string_view name);

/// @return the number if `text` holds decimal digits only and fits, or nothing
std::optional<std::uint64_t> parse_number(std::string_view text);

/// @return number in a query parameter, or `fallback` if the parameter is absent or no number
std::uint64_t query_number(std::string_view target, std::string_view name, std::uint64_t fallback);

} // namespace endivelever::testbed
