#include "endivelever/net/http_header.hpp"

#include <algorithm>
#include <array>
#include <strings.h>

namespace endivelever {
namespace {

using namespace std::string_view_literals;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and message framing, which each hop sets itself.
constexpr std::array hop_by_hop{
    "Connection"sv, "Keep-Alive"sv, "Proxy-Connection"sv, "Proxy-Authenticate"sv, "Proxy-Authorization"sv,
    "TE"sv,         "Trailer"sv,    "Upgrade"sv,          "Transfer-Encoding"sv,  "Content-Length"sv,
    "Expect"sv};

bool contains(std::span<const std::string_view> list, std::string_view name) {
    return std::any_of(list.begin(), list.end(),
                       [&](std::string_view it) { return header_names_equal(it, name); });
}

/// @return true if the Connection header lists this header as hop-by-hop
bool listed_in_connection(const http_headers& headers, std::string_view name) {
    const auto* list = find_header(headers, "Connection");
    if (list == nullptr) {
        return false;
    }
    std::string_view rest(*list);
    while (!rest.empty()) {
        const auto comma = std::min(rest.find(','), rest.size());
        auto token = rest.substr(0, comma);
        token.remove_prefix(std::min(token.find_first_not_of(" \t"), token.size()));
        token = token.substr(0, token.find_last_not_of(" \t") + 1);
        if (header_names_equal(token, name)) {
            return true;
        }
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    return false;
}

} // namespace

const std::string* find_header(const http_headers& headers, std::string_view name) {
    for (const auto& it : headers) {
        if (header_names_equal(it.name, name)) {
            return &it.value;
        }
    }
    return nullptr;
}

bool header_names_equal(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

http_headers end_to_end_headers(const http_headers& from, std::span<const std::string_view> replaced) {
    http_headers to;
    to.reserve(from.size() + 4);
    for (const auto& it : from) {
        if (!contains(hop_by_hop, it.name) && !contains(replaced, it.name) &&
            !listed_in_connection(from, it.name)) {
            to.push_back(it);
        }
    }
    return to;
}

} // namespace endivelever
