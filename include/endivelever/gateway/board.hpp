#pragma once

#include "endivelever/base/counters.hpp"
#include "endivelever/base/event_log.hpp"
#include "endivelever/base/histogram.hpp"
#include "endivelever/base/random.hpp"
#include "endivelever/decide/buffer_budget.hpp"
#include "endivelever/decide/currency_proof.hpp"
#include "endivelever/decide/graceful_stop.hpp"
#include "endivelever/decide/peer_table.hpp"
#include "endivelever/decide/probe_choice.hpp"
#include "endivelever/decide/retry.hpp"
#include "endivelever/decide/room.hpp"
#include "endivelever/decide/server_registry.hpp"
#include "endivelever/gateway/dialect.hpp"
#include "endivelever/gateway/quota_state.hpp"
#include "endivelever/gateway/request.hpp"
#include "endivelever/gateway/settings.hpp"
#include "endivelever/net/connection_budget.hpp"
#include "endivelever/store/object_reflector.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace endivelever {

class datagram_socket;

/// State of one service.
struct gateway_service {
    server_pool pool;
    retry_budget retries{0.0, 0.0};
    histogram response_time; ///< from dispatch to the complete response, successes only
    wait_queue waiting;
    room_state room;
    std::unordered_map<route_id, work_estimate> work; ///< of requests, by route
    histogram queue_wait;                             ///< from insertion into the queue to dispatch
    time_point last_probe_report_at{}; ///< last load report in a probe response of any of its servers
    duration median_response_time{};   ///< median of response_time; 0 until there are enough responses
    duration default_response_time{};  ///< used until the median is known, from the routes' latency targets
    bool reports_load = true;          ///< the last response carried a load report; initially assumed
    bool in_config = false;            ///< the service is part of the configuration in force
    duration warm_up{};                ///< how long its servers stay cold after their start
    double warm_up_rate = 0.0;         ///< requests per second that a cold server tolerates; 0 if not limited
};

/// Failure domains whose servers get no requests, as stored at one revision.
struct evacuation_state {
    object_revision revision; ///< 0 until the state is known
    std::set<failure_domain> domains;
    /// Evacuated domains that a copy lacks from which the store came back, and until when they stay evacuated
    /// unless operators write them again.
    std::map<failure_domain, time_point> unconfirmed;
};

inline bool is_known(const evacuation_state& state) {
    return state.revision.value != 0;
}

/// A change of a server entry and the revision of this VM's server list after it.
struct server_change {
    object_revision revision;
    object_change change;
};

/// Compressed response with server entries, cached because several peers request the same one.
struct compressed_changes {
    object_revision since;    ///< that the requesting peer already has
    object_revision revision; ///< of this VM's server list when the response was made
    time_point compressed_at{};
    std::string body; ///< empty if nothing is cached
};

/// Requests to peers for configuration or for server entries that are in progress.
struct peer_pulls {
    std::size_t in_progress = 0;
    time_point last_started_at{};
};

/// Complete state of the gateway process. The free functions of controllers.hpp read and modify it.
struct gateway_board {
    gateway_settings conf;
    gateway_dialect dialect;
    struct ev_loop* loop = nullptr;
    random_source random;
    incarnation own_incarnation;
    event_log log;
    counter_table counters;

    std::shared_ptr<const route_table> routes; ///< nullptr until a configuration is loaded
    object_revision routing_revision;
    server_registry registry;
    object_revision servers_revision;
    evacuation_state evacuations;
    std::map<service_id, gateway_service> services;

    bool registered = false;              ///< this VM's entry is in the store
    time_point vm_list_requested_at{};    ///< when the list of VMs was last requested
    bool initial_state_requested = false; ///< initial state was requested from the store after a restart
    time_point last_store_check_at{};     ///< when the last check of the watches began
    bool store_check_failed = false;      ///< a check has failed since the last list

    nlohmann::json routing_content; ///< as stored, for peers
    std::string compressed_routing; ///< compressed response for peers; empty until a peer requests it
    std::map<std::string, nlohmann::json> server_objects; ///< entries as stored, for peers
    std::deque<server_change> recent_server_changes;      ///< latest changes, oldest first, for peers
    object_revision recent_changes_start; ///< the list above holds every change after this revision
    compressed_changes compressed_servers;
    peer_pulls routing_pulls;
    peer_pulls servers_pulls;

    peer_table peers;
    peer_duties duties;
    time_point store_unreachable_since{}; ///< since when no head that this VM hears can reach the store
    std::uint64_t status_sequence = 0;
    currency_proof currency; ///< of the routing configuration
    quota_state quota;

    std::unordered_map<request_number, std::unique_ptr<gateway_request>> requests;
    request_number last_request_number = 0;
    std::function<void()> on_first_request; ///< called when a request arrives while no other is open
    /// Longest deadline that callers sent for each route. A shorter one indicates a retry by the caller.
    std::unordered_map<route_id, duration> longest_deadline;
    histogram latency;               ///< from the request head to the final response
    time_point medians_updated_at{}; ///< when the median response times were last computed
    probe_budget probes;
    std::optional<graceful_stop> stop; ///< planned stop in progress
    buffer_budget response_memory;     ///< for responses that are held until they are complete
    /// Connections and request bodies of callers, over all listeners.
    std::shared_ptr<connection_budget> intake = std::make_shared<connection_budget>(intake_limits{});

    std::unique_ptr<http_client> server_http_client; ///< client for requests and probes
    std::unique_ptr<http_client> store_http_client;  ///< client for the object store
    object_store_access store_access;
    std::unique_ptr<object_reflector> routing_reflector;
    std::unique_ptr<object_reflector> server_reflector;
    std::unique_ptr<object_reflector> evacuation_reflector; ///< only if evacuations are tracked
    std::unique_ptr<datagram_socket> peer_socket;
    std::unique_ptr<http_server> caller_server;
    std::unique_ptr<http_server> readiness_server;
    std::unique_ptr<http_server> lookup_server;
    std::unique_ptr<http_server> relay_server;
    std::unique_ptr<http_server> metrics_server;
};

/// True if this VM can serve requests: configuration and servers are loaded and it is not stopping.
bool is_ready(const gateway_board& board);

/// True if this VM knows configuration, servers and, where they are tracked, evacuations.
bool has_state(const gateway_board& board);

/// True if requests with a key may be served: the configuration is proven to be recent enough to refuse keys
/// that were revoked.
bool may_serve_keys(const gateway_board& board, time_point now);

/// True if a request with this deadline may be sent to a server now. During a planned stop, requests that
/// could outlast the process are not.
bool accepts_request(const gateway_board& board, time_point now, time_point deadline);

/// Increments the counter "gateway_" + `series`.
void count(gateway_board& board, const std::string& series);

} // namespace endivelever
