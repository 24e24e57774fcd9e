#include "endivelever/decide/probe_choice.hpp"

#include "endivelever/decide/server_use.hpp"

#include <algorithm>
#include <utility>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

// Server speeds change about every 300 ms, so a report loses half of its weight in half of that time.
constexpr double report_half_life_ms = 150.0;
// Mean slowdown over all servers, assumed for a server without a recent report.
constexpr double mean_slowdown = 1.75;
// A server that did not answer a probe is ranked last for this time.
constexpr duration unresponsive_period = 500ms;
constexpr double unresponsive_factor = 20.0;
constexpr double failure_factor = 20.0;
constexpr double warming_factor = 2.0;
constexpr double ejected_factor = 10.0;
// Health checks give false results at times, so an unhealthy server is not excluded but ranked lower.
constexpr double unhealthy_factor = 3.0;
// Traffic between failure domains adds a few milliseconds and is billed per byte.
constexpr double cross_domain_factor = 1.2;
constexpr double cross_domain_factor_large_response = 6.0;
// Servers outside the preferred subset need a new connection more often.
constexpr double outside_subset_factor = 1.3;
// Keeps VMs with the same information from probing the same servers.
constexpr double cost_jitter = 0.3;

// Leaves a margin for VMs that restarted or do not know of each other yet: they exceed their share for a
// while.
constexpr double used_probe_share = 0.75;
// The platform's limit applies to the count of a whole day, so probes saved at low load may be sent in a
// burst.
constexpr duration max_probe_burst = 15s;
constexpr duration initial_credit = 1s;

// A server that limits requests is probed this often by all VMs together, and by one VM at most once in the
// interval below.
constexpr duration limited_probe_spacing = 60ms;
constexpr duration min_limited_probe_interval = 1s;

constexpr double trial_cost_factor = 0.1;

// Up to this slowdown a server counts as running at its usual speed.
constexpr double max_usual_slowdown = 1.3;

double load_factor(const load_report& report, std::uint32_t slots) {
    const double calls = static_cast<double>(report.running) + report.queued + 1.0;
    const double share = calls / std::max(1U, slots);
    const double full = share > nearly_full_share ? nearly_full_factor : 1.0;
    return full * std::max(1.0, share);
}

/// Slowdown and load from the last report; converges to the mean slowdown as the report ages.
double reported_factor(const server_view& view, time_point now) {
    if (view.reported_at == time_point{}) {
        return mean_slowdown;
    }
    const double age = to_milliseconds(now - view.reported_at);
    const double weight = report_half_life_ms / (report_half_life_ms + std::max(0.0, age));
    const double speed = view.last_report.slowdown > 0.0 ? view.last_report.slowdown : 1.0;
    const double reported = speed * load_factor(view.last_report, view.slots);
    return weight * reported + (1.0 - weight) * mean_slowdown;
}

/// Penalty for failures, unanswered probes and states other than serving.
double state_factor(const server_view& view, time_point now) {
    double factor = 1.0 + failure_factor * view.failure_ratio;
    if (view.probe_timed_out_at != time_point{} && now - view.probe_timed_out_at < unresponsive_period) {
        factor *= unresponsive_factor;
    }
    if (view.state == server_state::warming) {
        factor *= warming_factor;
    }
    if (view.state == server_state::ejected) {
        factor *= ejected_factor;
    }
    if (view.reports_unhealthy) {
        factor *= unhealthy_factor;
    }
    return factor;
}

/// Prefers a server whose limit shows only in responses to requests: one of those that it allows has to find
/// out that the limit has ended.
double trial_factor(const server_view& view) {
    return view.allowance.fleet_limit && !view.allowance.named_in_probes ? trial_cost_factor : 1.0;
}

double domain_factor(const server_pool& pool, const server_view& view, bool prefer_own_domain) {
    if (view.listed.failure_domain == pool.own_domain) {
        return 1.0;
    }
    return prefer_own_domain ? cross_domain_factor_large_response : cross_domain_factor;
}

bool contains(const std::vector<server_id>& ids, const server_id& id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

duration predicted_time(const load_report& report, std::uint32_t slots, duration usual_time) {
    const double speed = report.slowdown > 0.0 ? report.slowdown : 1.0;
    const double factor = speed * load_factor(report, slots);
    return duration(static_cast<duration::rep>(static_cast<double>(usual_time.count()) * factor));
}

load_report adjusted_report(const server_view& view) {
    auto report = view.last_report;
    const auto own = static_cast<std::uint32_t>(view.in_flight.size());
    report.running += own > view.in_flight_at_report ? own - view.in_flight_at_report : 0;
    return report;
}

bool has_room(const load_report& report, std::uint32_t slots) {
    return report.running + report.queued < slots;
}

bool is_uncontended(const load_report& report, std::uint32_t slots) {
    return report.slowdown <= max_usual_slowdown && load_factor(report, slots) <= 1.0;
}

std::vector<server_index> pick_candidates(const server_pool& pool, const std::vector<server_id>& excluded,
                                          std::size_t n, bool prefer_own_domain, time_point now,
                                          random_source& random) {
    std::vector<std::pair<double, server_index>> ranked;
    for (server_index i = 0; i < pool.servers.size(); ++i) {
        const auto& view = pool.servers[i];
        const bool is_probe_pending =
            view.reported_at < view.last_probe && now - view.last_probe <= probe_response_limit;
        if (is_probe_pending || view.in_flight.size() >= view.connection_share || !may_use(view, now) ||
            contains(excluded, view.listed.id)) {
            continue;
        }
        const double cost = reported_factor(view, now) * state_factor(view, now) * trial_factor(view) *
                            domain_factor(pool, view, prefer_own_domain) *
                            (view.in_subset ? 1.0 : outside_subset_factor) *
                            (1.0 + cost_jitter * random_unit(random));
        ranked.emplace_back(cost, i);
    }
    n = std::min(n, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end());
    std::vector<server_index> picked;
    for (std::size_t i = 0; i < n; ++i) {
        picked.push_back(ranked[i].second);
    }
    return picked;
}

std::vector<server_index> limited_servers_to_probe(const server_pool& pool, std::uint32_t vms,
                                                   time_point now) {
    const auto interval =
        std::max(min_limited_probe_interval, limited_probe_spacing * static_cast<int>(std::max(1U, vms)));
    std::vector<server_index> due;
    for (server_index i = 0; i < pool.servers.size(); ++i) {
        const auto& view = pool.servers[i];
        if (may_probe(view) && view.allowance.fleet_limit && !is_paused(view.allowance, now) &&
            now - view.last_probe >= interval) {
            due.push_back(i);
        }
    }
    return due;
}

time_point first_request_at(const server_pool& pool, const std::vector<server_id>& excluded, time_point now) {
    auto first = time_point::max();
    for (const auto& view : pool.servers) {
        if (!contains(excluded, view.listed.id)) {
            first = std::min(first, next_use_at(view, now));
        }
    }
    return first;
}

void credit_probes(probe_budget& budget, double per_server_per_second, std::size_t servers, std::uint32_t vms,
                   time_point now) {
    const double rate = used_probe_share * per_server_per_second * static_cast<double>(servers) /
                        static_cast<double>(std::max(1U, vms));
    const double limit = rate * to_seconds(max_probe_burst);
    const bool first = budget.credited_at == time_point{};
    const double gained = rate * to_seconds(first ? initial_credit : now - budget.credited_at);
    budget.credited_at = now;
    budget.tokens = std::min(limit, budget.tokens + gained);
}

std::size_t take_probes(probe_budget& budget, std::size_t wanted) {
    const auto taken = std::min(wanted, static_cast<std::size_t>(std::max(0.0, budget.tokens)));
    budget.tokens -= static_cast<double>(taken);
    return taken;
}

void note_probe_timeout(server_view& view, time_point now) {
    view.probe_timed_out_at = now;
}

} // namespace endivelever
