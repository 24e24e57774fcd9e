#pragma once

#include "endivelever/decide/route_table.hpp"
#include "endivelever/decide/server_view.hpp"
#include "endivelever/decide/wait_queue.hpp"
#include "endivelever/net/http_client.hpp"
#include "endivelever/net/http_server.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endivelever {

/// One attempt to run a request on a server.
struct request_attempt {
    transfer_id transfer = 0;
    server_id server;
    std::string server_address;
    time_point started{};
    load_report load_at_dispatch;    ///< load of the server when the attempt started
    duration load_age_at_dispatch{}; ///< age of that report; duration::max() if there was none
    bool in_progress = true;
    bool head_arrived = false;
    bool not_run = false; ///< true only if certain: nothing was sent, or the server states it
    unsigned status = 0;
    http_headers headers;
    std::optional<std::uint64_t> content_length; ///< length of the response body
    std::string body;                            ///< buffered part of the response body
    std::optional<load_report> report;
    std::string failure; ///< cause if the attempt ended without a usable response
};

/// One open request of a caller.
struct gateway_request {
    request_number number = 0;
    http_exchange* exchange = nullptr; ///< nullptr after the response is complete or the caller disconnected
    std::shared_ptr<const route_table> table;
    const route* matched_route = nullptr; ///< points into `table`
    service_id service;
    std::string id;
    std::string body;
    bool has_body = false;
    time_point arrived{};
    duration prior_attempt_time{}; ///< time in earlier attempts of the caller, estimated from its deadline
    time_point deadline{};         ///< the earlier of the route's timeout and the caller's deadline
    std::vector<std::unique_ptr<request_attempt>> attempts;
    request_attempt* streaming_attempt = nullptr; ///< attempt whose response is being streamed to the caller
    bool hedged = false;                          ///< a second server was requested
    bool may_have_run = false;                    ///< an attempt ended without proof that it did not run
};

} // namespace endivelever
