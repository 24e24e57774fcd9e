#pragma once

#include "endivelever/gateway/board.hpp"

namespace endivelever {

// Requests of callers.
http_server::handlers caller_handlers(gateway_board& board);

/// Sends a request to a server, or refuses it if none can take it.
void dispatch(gateway_board& board, gateway_request& it);

/// Sends a request that waits for its response to a second server as well if it is late and its route and the
/// budget allow it.
void hedge_if_late(gateway_board& board, gateway_request& it, time_point now);

void start_attempt(gateway_board& board, gateway_request& it, server_view& view);

/// No server was found for a request.
void end_unplaced(gateway_board& board, gateway_request& it, send_purpose purpose, const std::string& reason,
                  duration retry_after);

/// Ends all attempts of a request without a response to the caller.
void cancel_attempts(gateway_board& board, gateway_request& it);

// Placement of requests on servers.
/// Queues a request until a server with room is found, and asks some servers for their load.
void place(gateway_board& board, gateway_request& it, send_purpose purpose);
/// Gives waiting requests to a server that was just heard of, as far as it has room.
void offer_server(gateway_board& board, gateway_service& service, server_view& view);
/// Asks further servers for requests that wait, refuses those that cannot be served in time.
void review_waiting(gateway_board& board, gateway_service& service, time_point now);

// Responses.
/// Response of this system's own.
struct own_response {
    unsigned status = 503;
    std::string reason; ///< one sentence for the body and the log
    duration retry_after{};
};

/// Ends a request with a response of this system's own, or by a reset if part of a response was sent.
/// Statuses 408, 421, 429 and 503 promise that the request has not run; after an attempt without proof of
/// that they become 502.
void respond_own(gateway_board& board, gateway_request& it, const own_response& response);

/// Ends a request with the complete response of an attempt.
void respond_with(gateway_board& board, gateway_request& it, request_attempt& attempt);

/// Starts to pass on the response of an attempt that is too large to be held.
void begin_streaming(gateway_board& board, gateway_request& it, request_attempt& attempt);

/// Forgets a request after its response or after its caller left.
void forget(gateway_board& board, gateway_request& it);

// Knowledge from the store.
/// Begins to watch the store, or leaves it to the heads of the failure domain.
void update_watches(gateway_board& board);
/// Writes this VM's entry into the store.
void register_own(gateway_board& board);
/// Reads configuration and server entries once after a restart: a head at once, another VM if its heads do
/// not tell it soon.
void read_missing_state(gateway_board& board, time_point now);
/// Reads the registered VMs if that is due. Heads do so each time, so that VMs that started at the same
/// moment and know only of older ones find each other.
void refresh_vms(gateway_board& board);
/// For a VM that watches the store: checks whether it still answers, since a watch that waits does not show
/// that its connection leads nowhere any more.
void check_store(gateway_board& board, time_point now);
void apply_routing(gateway_board& board, const stored_object& object, object_revision revision);
void apply_server_list(gateway_board& board, const std::vector<stored_object>& objects, object_revision at);
void apply_server_changes(gateway_board& board, const std::vector<object_change>& changes,
                          object_revision at);
/// Brings the pools up to date with registry, configuration and peers.
void update_pools(gateway_board& board);

// Peers.
void receive_status(gateway_board& board, std::span<const std::uint8_t> payload);
/// Sends the state of this VM where it is due, or to all receivers at once.
void send_status(gateway_board& board, bool at_once);
/// Brings the duties of this VM up to date.
void review_peers(gateway_board& board, time_point now);
/// Asks a peer for configuration or server entries if its status shows newer ones.
void pull_if_newer(gateway_board& board, const gateway_status_message& status);
/// Answers such a question. @return false if the path is none of them
bool answer_peer(gateway_board& board, http_exchange& exchange);

// Administration.
http_server::handlers ready_handlers(gateway_board& board);
http_server::handlers lookup_handlers(gateway_board& board);
http_server::handlers metrics_handlers(gateway_board& board);

// Upkeep.
/// Work every few milliseconds: final responses that are due, review of servers, probes.
void review(gateway_board& board);

} // namespace endivelever
