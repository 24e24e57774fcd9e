#include "endivelever/decide/probe_choice.hpp"

#include <algorithm>
#include <utility>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

// Speeds change about every 300 ms, so half of a report's weight is gone after this time.
constexpr double report_half_life_ms = 150.0;
// Mean slowdown over all servers; stands for a server of which nothing recent is known.
constexpr double mean_slowdown = 1.75;
// A server that was silent is asked again, but last, for this time.
constexpr duration silence_memory = 500ms;
constexpr double silence_factor = 20.0;
constexpr double failure_factor = 20.0;
constexpr double warming_factor = 2.0;
constexpr double ejected_factor = 10.0;
// Health answers are wrong at times, so that an unhealthy server is only asked later than the others.
constexpr double unhealthy_factor = 3.0;
// Crossing failure domains costs a few milliseconds and a price for each byte.
constexpr double far_factor = 1.2;
constexpr double far_factor_of_large = 6.0;
// Servers outside of the subset need a new connection more often.
constexpr double spill_factor = 1.3;
// Keeps VMs that know the same from asking the same servers.
constexpr double jitter = 0.3;

// VMs that do not know of each other, and those that restart, use more than their share for a while.
constexpr double used_probe_share = 0.75;
// The platform counts over a day, so that questions saved in calm times may be asked in busy ones.
constexpr duration probe_burst = 15s;
constexpr duration first_credit = 1s;

// Up to this slowdown a server counts as running at its usual speed.
constexpr double usual_slowdown = 1.3;

double load_factor(const load_report& report, std::uint32_t slots) {
    const double calls = static_cast<double>(report.running) + report.queued + 1.0;
    const double share = calls / std::max(1U, slots);
    const double full = share > nearly_full_share ? nearly_full_factor : 1.0;
    return full * std::max(1.0, share);
}

double recent_factor(const server_view& view, time_point now) {
    if (view.reported_at == time_point{}) {
        return mean_slowdown;
    }
    const double age = to_milliseconds(now - view.reported_at);
    const double weight = report_half_life_ms / (report_half_life_ms + std::max(0.0, age));
    const double speed = view.last_report.slowdown > 0.0 ? view.last_report.slowdown : 1.0;
    const double told = speed * load_factor(view.last_report, view.slots);
    return weight * told + (1.0 - weight) * mean_slowdown;
}

double standing_factor(const server_view& view, time_point now) {
    double factor = 1.0 + failure_factor * view.failure_ratio;
    if (view.silent_at != time_point{} && now - view.silent_at < silence_memory) {
        factor *= silence_factor;
    }
    if (view.state == server_state::warming) {
        factor *= warming_factor;
    }
    if (view.state == server_state::ejected) {
        factor *= ejected_factor;
    }
    if (view.says_unhealthy) {
        factor *= unhealthy_factor;
    }
    return factor;
}

double domain_factor(const server_pool& pool, const server_view& view, bool keep_domain) {
    if (view.listed.failure_domain == pool.own_domain) {
        return 1.0;
    }
    return keep_domain ? far_factor_of_large : far_factor;
}

bool contains(const std::vector<server_id>& ids, const server_id& id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

duration predicted_time(const load_report& report, std::uint32_t slots, duration usual) {
    const double speed = report.slowdown > 0.0 ? report.slowdown : 1.0;
    const double factor = speed * load_factor(report, slots);
    return duration(static_cast<duration::rep>(static_cast<double>(usual.count()) * factor));
}

load_report present_report(const server_view& view) {
    auto report = view.last_report;
    const auto own = static_cast<std::uint32_t>(view.in_flight.size());
    report.running += own > view.in_flight_at_report ? own - view.in_flight_at_report : 0;
    return report;
}

bool has_room(const load_report& report, std::uint32_t slots) {
    return report.running + report.queued < slots;
}

bool is_at_ease(const load_report& report, std::uint32_t slots) {
    return report.slowdown <= usual_slowdown && load_factor(report, slots) <= 1.0;
}

std::vector<server_index> pick_candidates(const server_pool& pool, const std::vector<server_id>& excluded,
                                          std::size_t n, bool keep_domain, time_point now,
                                          random_source& random) {
    std::vector<std::pair<double, server_index>> ranked;
    for (server_index i = 0; i < pool.servers.size(); ++i) {
        const auto& view = pool.servers[i];
        const bool is_asked = view.reported_at < view.last_probe && now - view.last_probe <= answer_limit;
        if (is_draining(view) || is_asked || view.in_flight.size() >= view.connection_share ||
            contains(excluded, view.listed.id)) {
            continue;
        }
        const double cost = recent_factor(view, now) * standing_factor(view, now) *
                            domain_factor(pool, view, keep_domain) * (view.in_subset ? 1.0 : spill_factor) *
                            (1.0 + jitter * random_unit(random));
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

void credit_probes(probe_budget& budget, double per_server_and_second, std::size_t servers, std::uint32_t vms,
                   time_point now) {
    const double rate = used_probe_share * per_server_and_second * static_cast<double>(servers) /
                        static_cast<double>(std::max(1U, vms));
    const double limit = rate * to_seconds(probe_burst);
    const bool first = budget.credited_at == time_point{};
    const double gained = rate * to_seconds(first ? first_credit : now - budget.credited_at);
    budget.credited_at = now;
    budget.tokens = std::min(limit, budget.tokens + gained);
}

std::size_t take_probes(probe_budget& budget, std::size_t wanted) {
    const auto taken = std::min(wanted, static_cast<std::size_t>(std::max(0.0, budget.tokens)));
    budget.tokens -= static_cast<double>(taken);
    return taken;
}

void note_silent(server_view& view, time_point now) {
    view.silent_at = now;
}

} // namespace endivelever
