#include "endivelever/decide/probe_choice.hpp"

#include <algorithm>
#include <utility>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

// Lets a VM try unknown servers if the few that it knows are busy.
constexpr double assumed_light_servers = 8.0;
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

// At equilibrium one report above the limit balances two with a free slot.
constexpr double overfull_pacing_factor = 1.5;
constexpr double free_slot_pacing_factor = 0.8;
constexpr duration min_review_interval = 10ms;
constexpr duration max_review_interval = 200ms;

// Leaves a margin for VMs that restarted or do not know of each other yet: they exceed their share for a
// while.
constexpr double used_probe_share = 0.75;
// The platform's limit applies to the count of a whole day, so probes saved at low load may be sent in a
// burst.
constexpr duration max_probe_burst = 15s;
constexpr duration initial_credit = 1s;

/// Response time relative to a light load according to the last report.
double reported_factor(const server_pool& pool, const server_view& view) {
    return to_seconds(predicted_time(pool.model, view.last_report, view.slots)) /
           to_seconds(light_time(pool.model));
}

/// Mean over all servers that have reported and some more that are assumed to be lightly loaded.
double mean_reported_factor(const server_pool& pool) {
    double sum = assumed_light_servers;
    double n = assumed_light_servers;
    for (const auto& it : pool.servers) {
        if (it.reported_at != time_point{}) {
            sum += reported_factor(pool, it);
            n += 1.0;
        }
    }
    return sum / n;
}

/// Response time relative to a light load. As the report of the server ages, it converges to the mean of all.
double expected_factor(const server_pool& pool, const server_view& view, double mean, time_point now) {
    if (view.reported_at == time_point{}) {
        return mean;
    }
    const double half_life = to_seconds(speed_lifetime(pool.model)) / 2.0;
    const double weight = half_life / (half_life + std::max(0.0, to_seconds(now - view.reported_at)));
    return weight * reported_factor(pool, view) + (1.0 - weight) * mean;
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

load_report adjusted_report(const server_view& view) {
    auto report = view.last_report;
    const auto own = static_cast<std::uint32_t>(view.in_flight.size());
    report.running += own > view.in_flight_at_report ? own - view.in_flight_at_report : 0;
    return report;
}

std::vector<server_index> pick_candidates(const server_pool& pool, const std::vector<server_id>& excluded,
                                          std::size_t n, bool prefer_own_domain, time_point now,
                                          random_source& random) {
    std::vector<std::pair<double, server_index>> ranked;
    const double mean = mean_reported_factor(pool);
    for (server_index i = 0; i < pool.servers.size(); ++i) {
        const auto& view = pool.servers[i];
        const bool is_probe_pending =
            view.reported_at < view.last_probe && now - view.last_probe <= probe_response_limit;
        if (is_draining(view) || is_probe_pending || view.in_flight.size() >= view.connection_share ||
            contains(excluded, view.listed.id)) {
            continue;
        }
        const double cost = expected_factor(pool, view, mean, now) * state_factor(view, now) *
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

void adapt_pacing(review_pacing& pacing, const load_report& report, std::uint32_t limit) {
    const auto running = report.running + report.queued;
    if (running == limit) {
        return;
    }
    const double factor = running > limit ? overfull_pacing_factor : free_slot_pacing_factor;
    const double interval = to_milliseconds(pacing.interval) * factor;
    pacing.interval = std::clamp(from_milliseconds(interval), min_review_interval, max_review_interval);
}

bool take_review_probe(review_pacing& pacing, time_point now) {
    if (now - pacing.last_probe < pacing.interval) {
        return false;
    }
    pacing.last_probe = now;
    return true;
}

void note_probe_timeout(server_view& view, time_point now) {
    view.probe_timed_out_at = now;
}

} // namespace endivelever
