#pragma once

#include "endivelever/base/counters.hpp"
#include "endivelever/base/event_log.hpp"
#include "endivelever/base/histogram.hpp"
#include "endivelever/base/random.hpp"
#include "endivelever/decide/peer_table.hpp"
#include "endivelever/decide/probe_choice.hpp"
#include "endivelever/decide/retry.hpp"
#include "endivelever/decide/server_registry.hpp"
#include "endivelever/gateway/dialect.hpp"
#include "endivelever/gateway/request.hpp"
#include "endivelever/gateway/settings.hpp"
#include "endivelever/store/object_reflector.hpp"

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace endivelever {

class datagram_socket;

/// State of one service.
struct gateway_service {
    server_pool pool;
    retry_budget retries{0.0, 0.0};
    histogram response_time; ///< from dispatch to the complete response, successes only
    wait_queue waiting;
    time_point heard_at{};   ///< last load report in a probe response of any of its servers
    duration usual_time{};   ///< median of response_time; 0 until there are enough responses
    duration assumed_time{}; ///< used until the median is known, from the routes' latency targets
    bool tells_load = true;  ///< the last response carried a load report; initially assumed
    bool in_config = false;  ///< the service is part of the configuration in force
};

/// A change of a server entry and the revision of this VM's server list after it.
struct logged_change {
    object_revision seen_at;
    object_change change;
};

/// Compressed response with server entries, cached because several peers request the same one.
struct packed_changes {
    std::uint64_t since = 0;  ///< revision that the requesting peer already has
    object_revision revision; ///< of this VM's server list when the response was made
    time_point packed_at{};
    std::string body; ///< empty if nothing is cached
};

/// Complete state of the gateway process. The free functions of controllers.hpp read and modify it.
struct gateway_board {
    gateway_settings conf;
    gateway_dialect dialect;
    struct ev_loop* loop = nullptr;
    random_source random;
    incarnation life;
    event_log log;
    counter_table counters;

    std::shared_ptr<const route_table> routes; ///< nullptr until a configuration is loaded
    object_revision routing_revision;
    server_registry registry;
    object_revision servers_revision;
    std::map<service_id, gateway_service> services;

    bool registered = false;       ///< this VM's entry is in the store
    time_point listed_at{};        ///< when the list of VMs was last requested
    bool read_first_state = false; ///< initial state was requested from the store after a restart
    bool checks_store = false;     ///< a check of whether the store responds is in progress
    time_point checked_at{};       ///< when the last such check began
    bool check_failed = false;     ///< the last such check failed

    nlohmann::json routing_content; ///< as stored, for peers
    std::string packed_routing;     ///< compressed response for peers; empty until a peer requests it
    std::map<std::string, nlohmann::json> server_objects; ///< entries as stored, for peers
    std::deque<logged_change> server_log;                 ///< latest changes, oldest first, for peers
    object_revision server_log_begin; ///< the list above holds every change after this revision
    packed_changes packed_servers;
    bool pulls_routing = false; ///< a request to a peer is in progress
    bool pulls_servers = false;

    peer_table peers;
    peer_duties duties;
    time_point store_bad_since{}; ///< since when no head that this VM hears can reach the store
    std::uint64_t status_sequence = 0;

    std::unordered_map<request_number, std::unique_ptr<gateway_request>> requests;
    request_number last_request = 0;
    std::function<void()> on_first_request; ///< called when a request arrives while no other is open
    /// Longest deadline that callers sent for each route. A shorter one indicates a retry by the caller.
    std::unordered_map<route_id, duration> longest_deadline;
    histogram latency;       ///< from the request head to the final response
    time_point medians_at{}; ///< when the median response times were last computed
    probe_budget probes;
    bool stopping = false;
    time_point stop_began{};

    std::unique_ptr<http_client> servers; ///< client for requests and probes
    std::unique_ptr<http_client> store;   ///< client for the object store
    object_store_access store_access;
    std::unique_ptr<object_reflector> routing_reflector;
    std::unique_ptr<object_reflector> server_reflector;
    std::unique_ptr<datagram_socket> peer_socket;
    std::unique_ptr<http_server> callers;
    std::unique_ptr<http_server> ready;
    std::unique_ptr<http_server> lookup;
    std::unique_ptr<http_server> relay;
    std::unique_ptr<http_server> metrics;
};

/// True if this VM can serve requests: configuration and servers are loaded and it is not stopping.
bool is_ready(const gateway_board& board);

/// Increments the counter "gateway_" + `series`.
void count(gateway_board& board, const std::string& series);

} // namespace endivelever
