#include "endivelever/net/http_header.hpp"

#include <algorithm>
#include <strings.h>

namespace endivelever {

const std::string* find_header(const http_headers& headers, std::string_view name) {
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const http_header& it) {
        return it.name.size() == name.size() && strncasecmp(it.name.data(), name.data(), name.size()) == 0;
    });
    return found == headers.end() ? nullptr : &found->value;
}

} // namespace endivelever
