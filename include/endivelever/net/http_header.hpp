#pragma once

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

} // namespace endivelever
