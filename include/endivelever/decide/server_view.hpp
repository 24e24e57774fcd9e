#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/config/vm_list.hpp"
#include "endivelever/decide/load_report.hpp"

#include <cstdint>
#include <vector>

namespace endivelever {

enum class server_state { warming, serving, ejected };

/// Who said that a server is leaving. Any one source is enough; no other source overrides it.
enum class drain_source : std::uint8_t { vm_list = 1, operators = 2, load_report = 4 };

/// What one entry knows of one server.
struct server_view {
    listed_server listed;
    std::uint32_t slots = 1;
    std::uint32_t connection_share = 1; ///< connections this entry may open
    server_state state = server_state::warming;
    std::uint8_t drain_sources = 0;    ///< bits of drain_source
    std::vector<time_point> in_flight; ///< start times of this entry's calls, oldest first
    duration latency_estimate{};       ///< smoothed time from dispatch to response head, successes only
    load_report last_report;
    std::uint32_t in_flight_at_report = 0; ///< own calls when the report arrived
    time_point reported_at{};
    double failure_ratio = 0.0;  ///< smoothed, 0 to 1
    std::uint32_t ejections = 0; ///< consecutive, lengthens the next ejection
    time_point ejected_until{};
    time_point warm_since{};
    duration warm_up = std::chrono::seconds(2); ///< length of the ramp that began at warm_since
    time_point last_probe{};
    time_point silent_at{};         ///< last question about its load that it did not answer in time
    time_point last_answer_at{};    ///< last response of the application
    time_point drain_reported_at{}; ///< last report with the draining mark
    duration report_error{};        ///< smoothed observed latency minus the latency that reports imply
    double shed_pressure = 0.0;     ///< recent sheds, decays by time since shed_at
    time_point shed_at{};
    bool says_unhealthy = false; ///< its last health answer was no success
    bool in_subset = true;       ///< among the servers that this entry prefers
};

/// All servers of one service as one entry sees them.
struct server_pool {
    service_settings service;
    failure_domain own_domain; ///< failure domain of the entry
    vm_id own_vm;
    std::vector<server_view> servers;
    std::uint32_t live_entries = 1; ///< entries that share the servers
    duration latency_estimate{};    ///< smoothed over all servers
    std::uint32_t round_robin_next = 0;
    std::uint32_t subset_size = 0;  ///< servers that this entry prefers; 0 means the whole pool
    double others_per_server = 0.0; ///< smoothed calls of other entries on a server, from reports
};

/// Position in server_pool::servers. Valid until update_servers().
using server_index = std::size_t;

/// True if any source says that the server is leaving.
inline bool is_draining(const server_view& view) {
    return view.drain_sources != 0;
}

/// Replaces the list of servers and keeps what is known of those that stay.
/// In-flight counts of servers that left the list are dropped with them.
/// @param listed       servers of this service from the VM list
/// @param drained      servers drained by operators
void update_servers(server_pool& pool, const std::vector<listed_server>& listed,
                    const std::vector<server_id>& drained, std::uint32_t live_entries, time_point now);

/// @return index of the server, or servers.size() if it is not listed
server_index find_server(const server_pool& pool, const server_id& id);

} // namespace endivelever
