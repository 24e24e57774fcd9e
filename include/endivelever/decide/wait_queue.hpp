#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace endivelever {

/// Number of a request within one gateway process.
using request_number = std::uint64_t;

/// What a server is looked for.
enum class send_purpose {
    first, ///< the request was not sent yet
    retry, ///< its last attempt failed
    hedge  ///< an attempt is in progress, a second one may be faster
};

/// A request that waits for a server with room.
struct waiting_request {
    request_number request = 0;
    send_purpose purpose = send_purpose::first;
    std::uint32_t rank = 0; ///< 0 is the most urgent
    time_point arrived{};   ///< of the request, not of this entry
    time_point queued{};
    duration spent_before{}; ///< in earlier attempts of its caller; 0 if it did not come back
    duration target{};       ///< latency target of the route
    time_point final_at{};   ///< the final response is due
    bool stays_near = false; ///< the response is large: other failure domains are the second choice
    std::vector<server_id> tried;
    std::uint32_t asked = 0;          ///< servers asked for this request
    std::uint32_t open_questions = 0; ///< of those, not answered yet
    time_point asked_at{};            ///< last question
    bool settles = false;             ///< enough were asked: the best of the answers is taken
};

/// A server that was just heard of.
struct server_offer {
    server_id server;
    bool usable = true;   ///< takes requests at all
    bool near = true;     ///< in the failure domain of this VM
    bool has_room = true; ///< a slot is free
    bool at_ease = true;  ///< usual speed, and another request would not slow it down
    duration predicted{}; ///< expected time to a response
};

/// Requests of one service that wait, in order of arrival at the queue.
using wait_queue = std::vector<waiting_request>;

/// Chooses the request that a server gets. Requests that meet their latency target there come first, by rank
/// and age, counted from the caller's first attempt. A request that would miss its target at this server
/// keeps waiting for a better one as long as a server of usual speed could still meet it; after that it takes
/// any server with a free slot. Until enough servers were asked a request takes only a server at ease.
/// @param usual  time of a request at the usual speed of a server
/// @return position in the queue, or nothing if the server suits none
std::optional<std::size_t> next_for(const wait_queue& queue, const server_offer& offer, duration usual,
                                    time_point now);

/// Names the requests to refuse now: they cannot meet their latency target any more, while others that can
/// wait for the same servers. Requests that came back after a refusal stay.
std::vector<request_number> overdue(const wait_queue& queue, duration usual, time_point now);

/// True if the request can no longer be answered in time by a server that starts it now.
bool is_hopeless(const waiting_request& it, duration usual, time_point now);

/// Removes all entries of a request. @return true if there was one
bool remove_waiting(wait_queue& queue, request_number request);

} // namespace endivelever
