#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endivelever {

struct http_header {
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

inline constexpr const char* authorization_header = "Authorization";

/// @return value of the first header with this name (case-insensitive), or nullptr
const std::string* find_header(const http_headers& headers, std::string_view name);

/// Compares header names (case-insensitive).
bool header_names_equal(std::string_view left, std::string_view right);

/// Copies the headers that a proxy forwards: without hop-by-hop headers, message framing and the headers in
/// `replaced`.
http_headers end_to_end_headers(const http_headers& from, std::span<const std::string_view> replaced);

} // namespace endivelever
