#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace endivelever {

/// Identifies a request within one gateway process.
using request_number = std::uint64_t;

/// Why a request needs a server.
enum class send_purpose {
    first, ///< the request has not been sent yet
    retry, ///< the last attempt failed
    hedge  ///< an attempt is in progress and a second one may be faster
};

/// A request waiting for a server with a free slot.
struct waiting_request {
    request_number request = 0;
    send_purpose purpose = send_purpose::first;
    std::uint32_t rank = 0;  ///< 0 is the most urgent
    time_point arrived{};    ///< arrival of the request at the gateway
    time_point queued{};     ///< insertion into this queue
    duration spent_before{}; ///< time the caller spent on its earlier attempts; 0 if this is its first
    duration target{};       ///< latency target of the route
    time_point final_at{};   ///< deadline of the final response
    bool stays_near = false; ///< large response: servers in other failure domains are used only after a delay
    std::vector<server_id> tried;     ///< servers that already got an attempt
    std::uint32_t asked = 0;          ///< load probes sent for this request
    std::uint32_t open_questions = 0; ///< load probes not answered yet
    time_point asked_at{};            ///< last load probe
    bool settles = false;             ///< probing is over: any server with a free slot is acceptable
};

/// A server whose load report has just arrived.
struct server_offer {
    server_id server;
    bool usable = true;   ///< accepts requests
    bool near = true;     ///< in the same failure domain as this VM
    bool has_room = true; ///< has a free slot
    bool at_ease = true;  ///< runs at its usual speed and another request would not slow it down
    duration predicted{}; ///< expected response time
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
std::optional<std::size_t> next_for(const wait_queue& queue, const server_offer& offer, duration typical_time,
                                    time_point now);

/// Finds the requests to refuse now: those that can no longer meet their latency target while others in the
/// queue still can. Retries, hedges and requests that the caller already attempted before are kept.
std::vector<request_number> overdue(const wait_queue& queue, duration typical_time, time_point now);

/// True if a server that starts the request now cannot respond before its deadline.
bool is_hopeless(const waiting_request& it, duration typical_time, time_point now);

/// Removes all entries of a request.
/// @return true if at least one entry was removed
bool remove_waiting(wait_queue& queue, request_number request);

} // namespace endivelever
