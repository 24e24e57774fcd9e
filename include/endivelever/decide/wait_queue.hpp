#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endivelever {

/// Identifies a request within one gateway process.
using request_number = std::uint64_t;

/// Why a request needs a server.
enum class attempt_purpose {
    first, ///< the request has not been sent yet
    retry, ///< the last attempt failed
    hedge  ///< an attempt is in progress and a second one may be faster
};

/// A request waiting for a server with a free slot.
struct waiting_request {
    request_number request = 0;
    attempt_purpose purpose = attempt_purpose::first;
    std::uint32_t rank = 0;         ///< 0 is the most urgent
    time_point arrived{};           ///< arrival of the request at the gateway
    time_point queued_at{};         ///< insertion into this queue
    duration prior_attempts_time{}; ///< time the caller spent on its earlier attempts; 0 if this is its first
    duration latency_target{};      ///< latency target of the route
    time_point deadline{};          ///< deadline of the final response
    bool prefers_local_domain =
        false; ///< large response: servers in other failure domains are used only after a delay
    std::vector<server_id> tried;     ///< servers that already got an attempt
    std::uint32_t probes_sent = 0;    ///< load probes sent for this request
    std::uint32_t probes_pending = 0; ///< load probes not answered yet
    time_point last_probe_at{};       ///< last load probe
    bool probing_done = false;        ///< probing is over: any server with a free slot is acceptable
    duration expected_work{};         ///< usual time in a slot of a server; 0 if not known
    duration work_spread{};           ///< mean deviation of that time
    std::string tenant;               ///< empty without a tenant
};

/// A server whose load report has just arrived.
struct server_offer {
    server_id server;
    bool usable = true;             ///< accepts requests
    bool in_local_domain = true;    ///< in the same failure domain as this VM
    bool has_free_slot = true;      ///< has a free slot
    bool has_spare_capacity = true; ///< runs at its usual speed and another request would not slow it down
    duration predicted_latency{};   ///< expected response time
};

/// Waiting requests of one service, in order of insertion.
using wait_queue = std::vector<waiting_request>;

/// Selects the request to send to a server. Requests that would meet their latency target there come first,
/// ordered by rank, then by age since the caller's first attempt. A request that would miss its target at
/// this server keeps waiting as long as a server of typical speed could still meet it; after that it takes
/// any server with a free slot. While its load probes are pending a request takes only a server with spare
/// capacity.
/// @param typical_time  response time of a server at its usual speed
/// @return index into the queue, or nothing if no request can use the server
std::optional<std::size_t> select_request(const wait_queue& queue, const server_offer& offer,
                                          duration typical_time, time_point now);

/// True if a request may be sent to the server of an offer now.
bool can_use(const waiting_request& it, const server_offer& offer, duration typical_time, time_point now);

/// Finds the requests to refuse now: those that can no longer meet their latency target while others in the
/// queue still can. Retries, hedges and requests that the caller already attempted before are kept.
std::vector<request_number> requests_to_refuse(const wait_queue& queue, duration typical_time,
                                               time_point now);

/// True if a server that starts the request now cannot respond before its deadline.
bool cannot_meet_deadline(const waiting_request& it, duration typical_time, time_point now);

/// Removes all entries of a request.
/// @return true if at least one entry was removed
bool remove_waiting(wait_queue& queue, request_number request);

} // namespace endivelever
