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

/// @return value of the first header with this name (case-insensitive), or nullptr
const std::string* find_header(const http_headers& headers, std::string_view name);

/// @return true if both name the same header (case-insensitive)
bool same_name(std::string_view left, std::string_view right);

/// Copies the headers that a hop passes on: without those that concern one connection only, the framing that
/// each hop sets itself, and those in `replaced`.
http_headers end_to_end_headers(const http_headers& from, std::span<const std::string_view> replaced);

} // namespace endivelever
