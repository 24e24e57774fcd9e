#include "header_rules.hpp"

#include <algorithm>
#include <array>
#include <strings.h>

namespace endivelever::detail {
namespace {

using namespace std::string_view_literals;

/// Headers that concern one connection only, and framing that each hop sets itself.
constexpr std::array hop_by_hop{
    "Connection"sv, "Keep-Alive"sv, "Proxy-Connection"sv, "Proxy-Authenticate"sv, "Proxy-Authorization"sv,
    "TE"sv,         "Trailer"sv,    "Upgrade"sv,          "Transfer-Encoding"sv,  "Content-Length"sv,
    "Expect"sv};
/// Request headers that this hop replaces.
constexpr std::array replaced_in_request{"Host"sv,
                                         "traceparent"sv,
                                         "Endivelever-Deadline-Ms"sv,
                                         "Endivelever-Kind"sv,
                                         "Endivelever-Forwarded"sv,
                                         "Endivelever-Retries"sv};
/// Response headers that are meant for the entry or replaced by it.
constexpr std::array replaced_in_response{"Endivelever-Load"sv, "Endivelever-Ran"sv, "Endivelever-Outcome"sv,
                                          "Endivelever-Vm"sv,   "traceparent"sv,     "Date"sv};

template <typename List>
bool contains(const List& list, std::string_view name) {
    return std::any_of(list.begin(), list.end(), [&](std::string_view it) { return same_name(it, name); });
}

/// True if the Connection header names this header.
bool named_by_connection(const http_headers& headers, std::string_view name) {
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
        if (same_name(token, name)) {
            return true;
        }
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    return false;
}

template <typename List>
void copy_end_to_end(const http_headers& from, const List& replaced, http_headers& to) {
    to.reserve(from.size() + 4);
    for (const auto& it : from) {
        if (!contains(hop_by_hop, it.name) && !contains(replaced, it.name) &&
            !named_by_connection(from, it.name)) {
            to.push_back(it);
        }
    }
}

} // namespace

bool same_name(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

http_headers request_headers(const call& it, time_point now) {
    http_headers headers;
    copy_end_to_end(it.exchange->headers(), replaced_in_request, headers);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(it.deadline - now).count();
    headers.push_back({"Endivelever-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, left))});
    headers.push_back({"Endivelever-Kind", it.route->kind.id.text});
    headers.push_back({"traceparent", to_traceparent({it.trace.trace, it.attempt_span, it.trace.flags})});
    const auto retries = it.caller_retries + it.attempts - 1;
    if (retries > 0) {
        headers.push_back({"Endivelever-Retries", std::to_string(retries)});
    }
    if (it.forwarded) {
        headers.push_back({"Endivelever-Forwarded", "1"});
    }
    return headers;
}

http_headers response_headers(const http_headers& from_server) {
    http_headers headers;
    copy_end_to_end(from_server, replaced_in_response, headers);
    return headers;
}

} // namespace endivelever::detail
