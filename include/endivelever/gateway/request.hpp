#pragma once

#include "endivelever/decide/route_table.hpp"
#include "endivelever/decide/run_evidence.hpp"
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
    not_run_proof proof = not_run_proof::none;
    bool on_new_connection = false; ///< known once the transfer has ended
    unsigned status = 0;
    http_headers headers;
    std::optional<std::uint64_t> content_length; ///< length of the response body
    std::string body;                            ///< buffered part of the response body
    byte_count charged; ///< to the memory for responses, until the request is removed
    std::optional<load_report> report;
    std::optional<server_id> answered_by; ///< server that responded, if it says so
    std::string failure;                  ///< cause if the attempt ended without a usable response
};

/// One open request of a caller.
struct gateway_request {
    request_number number = 0;
    http_exchange* exchange = nullptr; ///< nullptr after the response is complete or the caller disconnected
    std::shared_ptr<const route_table> table;
    const route* matched_route = nullptr;  ///< points into `table`
    const tenant_config* tenant = nullptr; ///< tenant of the caller's key, in `table`; nullptr without a key
    std::uint32_t rank = 0;                ///< 0 is the most urgent
    time_point token_expiry{};             ///< of the quota token that the request holds; default if none
    service_id service;
    std::string id;
    std::shared_ptr<std::string> body; ///< shared with attempts; nullptr without a body
    byte_count body_reserved;          ///< of the process's memory, until the request is removed
    bool has_body = false;
    time_point arrived{};
    duration prior_attempt_time{}; ///< time in earlier attempts of the caller, estimated from its deadline
    time_point deadline{};         ///< the earlier of the route's timeout and the caller's deadline
    std::vector<std::unique_ptr<request_attempt>> attempts;
    request_attempt* streaming_attempt = nullptr; ///< attempt whose response is being streamed to the caller
    bool hedged = false;                          ///< a second server was requested
};

/// @return the proof that a request has not run, for each of its attempts
std::vector<not_run_proof> proofs_of(const gateway_request& it);

/// @return the server and the proof of each attempt, for logs: "i-7f3a rejected, i-91c2 not_sent"
std::string describe_attempts(const gateway_request& it);

} // namespace endivelever
