#include "header_rules.hpp"

#include <algorithm>
#include <array>

namespace endivelever::detail {
namespace {

using namespace std::string_view_literals;

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

} // namespace

http_headers request_headers(const call& it, time_point now) {
    auto headers = end_to_end_headers(it.exchange->headers(), replaced_in_request);
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
    return end_to_end_headers(from_server, replaced_in_response);
}

} // namespace endivelever::detail
