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

/// Everything a gateway knows of one service.
struct gateway_service {
    server_pool pool;
    retry_budget retries{0.0, 0.0};
    histogram response_time; ///< from dispatch to the complete response, successes only
    wait_queue waiting;
    time_point heard_at{};   ///< last answer of any of its servers to a question
    duration usual_time{};   ///< median of response_time; 0 until it is known
    duration assumed_time{}; ///< stands for it until then
    bool tells_load = true;  ///< false after responses without a load report
    bool in_config = false;
};

/// A change of the server entries, with the revision that this VM had after it.
struct logged_change {
    object_revision seen_at;
    object_change change;
};

/// Answer about server entries that was packed for a peer; others ask for the same.
struct packed_changes {
    std::uint64_t since = 0;  ///< revision that the peer has
    object_revision revision; ///< of this VM when it was packed
    time_point packed_at{};
    std::string body; ///< empty: none was packed
};

/// Blackboard of the gateway process. Controllers are free functions that read and write it.
struct gateway_board {
    gateway_settings conf;
    gateway_dialect dialect;
    struct ev_loop* loop = nullptr;
    random_source random;
    incarnation life;
    event_log log;
    counter_table counters;

    std::shared_ptr<const route_table> routes; ///< nullptr until a configuration was read
    object_revision routing_revision;
    server_registry registry;
    object_revision servers_revision;
    std::map<service_id, gateway_service> services;

    bool registered = false;       ///< this VM's own entry is in the store
    time_point listed_at{};        ///< last reading of the list of VMs
    bool read_first_state = false; ///< the store was asked for configuration and servers after a restart
    bool checks_store = false;     ///< a check whether the store answers is in progress
    time_point checked_at{};       ///< last such check
    bool check_failed = false;     ///< the last cheap call to the store was not answered

    nlohmann::json routing_content;                       ///< as stored, for peers
    std::string packed_routing;                           ///< empty until a peer asks for it
    std::map<std::string, nlohmann::json> server_objects; ///< entries as stored, for peers
    std::deque<logged_change> server_log;                 ///< latest changes, oldest first, for peers
    object_revision server_log_begin;                     ///< the log holds every change after this revision
    packed_changes packed_servers;
    bool pulls_routing = false; ///< a call to a peer is in progress
    bool pulls_servers = false;

    peer_table peers;
    peer_duties duties;
    time_point store_bad_since{}; ///< since when no head of the domain has access to the store
    std::uint64_t status_sequence = 0;

    std::unordered_map<request_number, std::unique_ptr<gateway_request>> requests;
    request_number last_request = 0;
    std::function<void()> on_first_request; ///< called when a request arrives while there is no other
    /// Longest deadline that callers of a route stated: a shorter one shows that the request came back.
    std::unordered_map<route_id, duration> longest_deadline;
    histogram latency;       ///< from the request head to the final response
    time_point medians_at{}; ///< when the usual times were last computed
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

/// True if this VM can serve requests: configuration and servers are known and no stop began.
bool is_ready(const gateway_board& board);

/// Adds one to a counter with the prefix "gateway_".
void count(gateway_board& board, const std::string& series);

} // namespace endivelever
