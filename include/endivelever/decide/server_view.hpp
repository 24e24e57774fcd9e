#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/config/vm_list.hpp"
#include "endivelever/decide/load_report.hpp"
#include "endivelever/decide/request_allowance.hpp"
#include "endivelever/decide/warm_up.hpp"

#include <cstdint>
#include <vector>

namespace endivelever {

enum class server_state { warming, serving, ejected };

/// Source of the information that a server is draining. One source is enough, and none overrides another.
enum class drain_source : std::uint8_t { vm_list = 1, operators = 2, load_report = 4 };

/// State of one server as known to one entry.
struct server_view {
    listed_server listed;
    std::uint32_t slots = 1;
    std::uint32_t connection_share = 1; ///< connections that this entry may open
    server_state state = server_state::warming;
    std::uint8_t drain_sources = 0;    ///< bits of drain_source
    std::vector<time_point> in_flight; ///< start times of this entry's calls, oldest first
    duration latency_estimate{};       ///< smoothed time from dispatch to response head of successful calls
    load_report last_report;
    std::uint32_t in_flight_at_report = 0; ///< size of in_flight when the report arrived
    time_point reported_at{};
    double failure_ratio = 0.0;  ///< smoothed, 0 to 1
    std::uint32_t ejections = 0; ///< consecutive ejections; each lengthens the next one
    time_point ejected_until{};
    time_point warm_since{};
    duration warm_up = std::chrono::seconds(2); ///< length of the warm-up that began at warm_since
    time_point last_probe{};
    time_point probe_timed_out_at{}; ///< when it last failed to answer a probe in time
    time_point last_answer_at{};     ///< last response from the application
    time_point drain_reported_at{};  ///< last report with `draining` set
    duration report_error{};         ///< smoothed observed latency minus the latency implied by reports
    double shed_pressure = 0.0;      ///< number of recent sheds; decays with the time since shed_at
    time_point shed_at{};
    bool reports_unhealthy = false; ///< its last answer to a health check was no success
    bool in_subset = true;          ///< in this entry's preferred subset
    request_allowance allowance;    ///< requests that the server wants from this VM
    warm_up_allowance warm_up_use;  ///< requests that it tolerates from this VM while it is cold
    bool evacuated = false;         ///< its failure domain is evacuated
};

/// All servers of one service as known to one entry.
struct server_pool {
    service_settings service;
    failure_domain own_domain; ///< failure domain of the entry
    vm_id own_vm;
    std::vector<server_view> servers;
    std::uint32_t live_entries = 1; ///< entries that share the servers
    duration latency_estimate{};    ///< smoothed over all servers
    std::uint32_t round_robin_next = 0;
    std::uint32_t subset_size = 0; ///< size of the preferred subset; 0 means the whole pool
    double other_calls_per_server =
        0.0; ///< smoothed number of calls of other entries per server, from reports
};

/// Index in server_pool::servers. Valid until the next update_servers().
using server_index = std::size_t;

/// True if any source reports the server as draining.
inline bool is_draining(const server_view& view) {
    return view.drain_sources != 0;
}

/// Replaces the list of servers and keeps the state of those that remain. The state of servers that are no
/// longer listed is discarded, including their calls in flight.
/// @param listed        servers of this service from the VM list
/// @param drained       servers drained by operators
/// @param live_entries  entries that share the servers
void update_servers(server_pool& pool, const std::vector<listed_server>& listed,
                    const std::vector<server_id>& drained, std::uint32_t live_entries, time_point now);

/// @return the index of the server, or servers.size() if it is not listed
server_index find_server(const server_pool& pool, const server_id& id);

} // namespace endivelever
