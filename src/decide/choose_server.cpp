#include "endivelever/decide/choose_server.hpp"

#include "endivelever/decide/server_use.hpp"

#include <algorithm>
#include <limits>

namespace endivelever {
namespace detail {

using namespace std::chrono_literals;

constexpr duration initial_latency = 5ms;
// Below this share of usable servers, ejected servers are used too: if most of a pool seems to fail, the
// fault is more likely at the entry than at the servers.
constexpr double panic_share = 0.5;
// Random variation of scores, which keeps entries with the same reports from all choosing the same server.
constexpr double score_jitter = 0.1;
constexpr double cross_domain_factor = 1.5;
// This entry's calls in flight are scaled up to account for other entries, which react to the same state of
// the servers at the same time.
constexpr double max_own_call_weight = 3.0;
// The age of calls in flight reveals a slowdown before any response does.
constexpr double age_weight = 2.0;
constexpr double outside_subset_factor = 1.5;
constexpr double warming_factor = 3.0;
constexpr double failure_penalty = 20.0;
// Half-life of a server's report error. Without decay, a server that is avoided because of its error would
// never get the calls that could correct it.
constexpr duration report_error_half_life = 1s;
constexpr duration shed_pressure_half_life = 20ms;

duration scale(duration value, double factor) {
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

duration pool_latency(const server_pool& pool) {
    return pool.latency_estimate > duration::zero() ? pool.latency_estimate : initial_latency;
}

duration service_time(const server_pool& pool, const server_view& view) {
    if (view.last_report.service_time > duration::zero()) {
        return view.last_report.service_time;
    }
    return view.latency_estimate > duration::zero() ? view.latency_estimate : pool_latency(pool);
}

/// Weight of a report by its age, halved after two service times, in which a server's calls are replaced by
/// others.
double report_weight(const server_view& view, duration service, time_point now) {
    if (view.reported_at == time_point{}) {
        return 0.0;
    }
    const auto half_life = static_cast<double>(2 * service.count() + 1);
    return half_life / (half_life + static_cast<double>((now - view.reported_at).count()));
}

/// Calls of other entries at a server. As the report ages, the estimate converges to the mean of the pool.
double calls_of_others(const server_pool& pool, const server_view& view, double weight) {
    const double all = static_cast<double>(view.last_report.running) + view.last_report.queued;
    const double reported = std::max(0.0, all - view.in_flight_at_report);
    return weight * reported + (1.0 - weight) * pool.other_calls_per_server;
}

double calls_at_server(const server_pool& pool, const server_view& view, duration service, time_point now) {
    const double own_weight = std::min(max_own_call_weight, static_cast<double>(pool.live_entries));
    const double weight = report_weight(view, service, now);
    return own_weight * static_cast<double>(view.in_flight.size()) + calls_of_others(pool, view, weight);
}

duration oldest_age(const server_view& view, time_point now) {
    return view.in_flight.empty() ? duration::zero() : now - view.in_flight.front();
}

duration sum_of_ages(const server_view& view, time_point now) {
    duration sum{};
    for (const auto& it : view.in_flight) {
        sum += now - it;
    }
    return sum;
}

/// Hyperbolic decay: 1 at age 0, 0.5 at the half-life.
double decay_factor(duration age, duration half_life) {
    return static_cast<double>(half_life.count()) / static_cast<double>((half_life + age).count());
}

double penalty_factor(const server_view& view, time_point now) {
    double factor = 1.0 + failure_penalty * view.failure_ratio;
    if (view.shed_pressure > 0.0) {
        factor += view.shed_pressure * decay_factor(now - view.shed_at, shed_pressure_half_life);
    }
    if (view.state == server_state::warming) {
        const auto left = std::clamp(view.warm_up - (now - view.warm_since), duration::zero(), view.warm_up);
        factor *= 1.0 + (warming_factor - 1.0) * to_seconds(left) / to_seconds(view.warm_up);
    }
    return factor;
}

struct eligibility {
    bool use_ejected = false;
};

eligibility pool_eligibility(const server_pool& pool) {
    std::size_t staying = 0;
    std::size_t usable = 0;
    for (const auto& it : pool.servers) {
        staying += is_draining(it) || it.evacuated ? 0 : 1;
        usable += is_draining(it) || it.evacuated || it.state == server_state::ejected ? 0 : 1;
    }
    return {static_cast<double>(usable) < panic_share * static_cast<double>(staying)};
}

bool is_eligible(const server_view& view, const std::vector<server_id>& excluded, eligibility rule,
                 time_point now) {
    if (view.in_flight.size() >= view.connection_share || !may_use(view, now)) {
        return false;
    }
    if (view.state == server_state::ejected && !rule.use_ejected) {
        return false;
    }
    return std::find(excluded.begin(), excluded.end(), view.listed.id) == excluded.end();
}

double wait_score(const server_pool& pool, const server_view& view, time_point now, random_source& random) {
    const double wait = to_seconds(estimated_wait(pool, view, now));
    const double domain_factor = view.listed.failure_domain == pool.own_domain ? 1.0 : cross_domain_factor;
    const double subset_factor = view.in_subset ? 1.0 : outside_subset_factor;
    return wait * domain_factor * subset_factor * (1.0 + score_jitter * random_unit(random));
}

double score(const server_pool& pool, server_index index, time_point now, random_source& random) {
    const auto& view = pool.servers[index];
    switch (pool.service.choice) {
    case choice_policy::estimated_wait:
        return wait_score(pool, view, now, random);
    case choice_policy::least_in_flight:
        return static_cast<double>(view.in_flight.size()) + random_unit(random);
    case choice_policy::round_robin:
        return static_cast<double>(
            (index + pool.servers.size() - pool.round_robin_next % pool.servers.size()) %
            pool.servers.size());
    case choice_policy::two_choices:
    case choice_policy::random:
        break;
    }
    return random_unit(random);
}

std::optional<server_index> lowest_score(const server_pool& pool, const std::vector<server_id>& excluded,
                                         std::optional<server_index> skipped, time_point now,
                                         random_source& random) {
    const auto rule = pool_eligibility(pool);
    std::optional<server_index> best;
    double best_score = std::numeric_limits<double>::infinity();
    for (server_index i = 0; i < pool.servers.size(); ++i) {
        if (i == skipped || !is_eligible(pool.servers[i], excluded, rule, now)) {
            continue;
        }
        const double value = score(pool, i, now, random);
        if (value < best_score) {
            best_score = value;
            best = i;
        }
    }
    return best;
}

} // namespace detail

duration estimated_wait(const server_pool& pool, const server_view& view, time_point now) {
    const auto service = detail::service_time(pool, view);
    const double calls = detail::calls_at_server(pool, view, service, now);
    auto wait = detail::scale(service, std::max(1.0, (calls + 1.0) / view.slots));
    if (view.report_error > duration::zero()) {
        wait += detail::scale(view.report_error, detail::decay_factor(now - view.last_answer_at,
                                                                      detail::report_error_half_life));
    }
    wait = std::max(wait, detail::oldest_age(view, now));
    wait += detail::scale(detail::sum_of_ages(view, now), detail::age_weight / view.slots);
    return detail::scale(wait, detail::penalty_factor(view, now));
}

std::optional<server_index> choose_server(server_pool& pool, const std::vector<server_id>& excluded,
                                          time_point now, random_source& random) {
    auto chosen = detail::lowest_score(pool, excluded, std::nullopt, now, random);
    if (chosen && pool.service.choice == choice_policy::two_choices) {
        const auto other = detail::lowest_score(pool, excluded, chosen, now, random);
        if (other && pool.servers[*other].in_flight.size() < pool.servers[*chosen].in_flight.size()) {
            chosen = other;
        }
    }
    if (chosen && pool.service.choice == choice_policy::round_robin) {
        pool.round_robin_next = static_cast<std::uint32_t>((*chosen + 1) % pool.servers.size());
    }
    return chosen;
}

} // namespace endivelever
