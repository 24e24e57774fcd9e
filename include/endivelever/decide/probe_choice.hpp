#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/decide/server_view.hpp"

#include <optional>
#include <vector>

namespace endivelever {

/// Servers probed when a request arrives. The speed of a server changes several times a second, so that load
/// reports of earlier responses are soon out of date. Two of three servers run at their usual speed, so that
/// two probes usually find one.
constexpr std::size_t initial_probes = 2;
/// Servers probed next if none of the previous ones is uncontended.
constexpr std::size_t followup_probes = 3;
/// Servers probed for one request before the best of them is used.
constexpr std::size_t max_probes_per_request = 8;
/// Servers probed at each periodic review on behalf of all requests of a service that still wait after that.
constexpr std::size_t probes_per_review = 1;
/// Servers of a service that a VM prefers, so that its connections are reused before servers close them as
/// idle. It exceeds max_probes_per_request, so that a request with the maximum of probes leaves some servers
/// to others. Servers outside the subset are used when those in it are busy.
constexpr std::uint32_t preferred_subset_size = 12;
/// A server that does not answer a probe in this time counts as unresponsive. An answer takes one round trip.
constexpr duration probe_response_limit = std::chrono::milliseconds(15);

/// Token bucket that limits the probes of one VM to the servers of all services.
struct probe_budget {
    double tokens = 0.0;      ///< probes that may be sent now
    time_point credited_at{}; ///< default until the first credit
};

/// Adds the tokens for the time since the last call. All VMs together stay below the platform's limit.
/// @param per_server_per_second  the platform's limit on the probes of all VMs
/// @param servers                servers of all services
/// @param vms                    serving VMs that share the limit
void credit_probes(probe_budget& budget, double per_server_per_second, std::size_t servers, std::uint32_t vms,
                   time_point now);

/// Takes up to `wanted` probes from the budget.
/// @return the number of probes that may be sent now
std::size_t take_probes(probe_budget& budget, std::size_t wanted);

/// A request takes nearly_full_factor times as long if, including it, more than this share of slots is busy.
constexpr double nearly_full_share = 0.8;
constexpr double nearly_full_factor = 1.7;

/// Predicts the response time of a request that is sent now, based on a load report.
/// @param usual_time  response time of a server with free slots at its usual speed
duration predicted_time(const load_report& report, std::uint32_t slots, duration usual_time);

/// @return the last load report, with the requests added that this VM has sent since it arrived
load_report adjusted_report(const server_view& view);

/// True if the server has more slots than running and queued requests.
bool has_room(const load_report& report, std::uint32_t slots);

/// True if the server runs at its usual speed and another request would not slow it down.
bool is_uncontended(const load_report& report, std::uint32_t slots);

/// Selects servers to probe, best candidates first: servers of the own failure domain and of the preferred
/// subset rank higher, servers known to be slow, unresponsive or failing rank lower. Draining servers,
/// servers without a free connection, servers that want no request now and servers whose answer to a probe is
/// still pending are left out.
/// @param excluded           servers that must not be used
/// @param prefer_own_domain  true if the response is so large that it should not cross failure domains
/// @return at most `n` servers
std::vector<server_index> pick_candidates(const server_pool& pool, const std::vector<server_id>& excluded,
                                          std::size_t n, bool prefer_own_domain, time_point now,
                                          random_source& random);

/// Selects the servers that limit requests and are due for a probe, which shows whether that has ended.
/// @param vms  serving VMs, which all probe them
std::vector<server_index> limited_servers_to_probe(const server_pool& pool, std::uint32_t vms,
                                                   time_point now);

/// @return when the first server that may be used takes a request again: not later than `now` if one takes it
/// now; time_point::max() if that is not foreseeable
time_point first_request_at(const server_pool& pool, const std::vector<server_id>& excluded, time_point now);

/// Records that a server did not answer a probe in time.
void note_probe_timeout(server_view& view, time_point now);

} // namespace endivelever
