#include "endivelever/decide/observe.hpp"

#include <algorithm>

namespace endivelever {
namespace detail {

using namespace std::chrono_literals;

// Weight of a new sample in a moving average.
constexpr double smoothing = 0.125;
// Changes of load cause large single errors; only a persistent error shows that a server's reports are wrong.
constexpr double report_error_smoothing = 1.0 / 64;
// Six consecutive failures raise the smoothed ratio above this limit.
constexpr double max_failure_ratio = 0.5;
constexpr duration min_straggler_age = 15ms;
constexpr int straggler_factor = 6;
constexpr duration first_ejection = 50ms;
constexpr std::uint32_t max_ejection_doublings = 6;
constexpr double max_ejected_share = 0.5;
constexpr duration warm_up_after_ejection = 200ms;
// A sample of the pool's latency is capped at this multiple of the smoothed latency.
constexpr int max_outlier_factor = 4;
// A reported drain ends with a report without the mark that arrives at least this long after the last one
// with it. Calls end out of order, so an earlier report without the mark may have been created before the
// drain.
constexpr duration drain_report_hold_time = 5s;

/// Exponential moving average.
duration moving_average(duration old, duration sample, double weight) {
    return old + duration(static_cast<duration::rep>(static_cast<double>((sample - old).count()) * weight));
}

duration smoothed(duration old, duration sample) {
    return old == duration::zero() ? sample : moving_average(old, sample, smoothing);
}

void remove_in_flight(server_view& view, time_point started) {
    const auto it = std::lower_bound(view.in_flight.begin(), view.in_flight.end(), started);
    if (it != view.in_flight.end() && *it == started) {
        view.in_flight.erase(it);
    }
}

/// Latency that a load report implies: service time multiplied by the rounds that the slots need for all
/// calls.
duration implied_latency(const server_view& view, const load_report& report) {
    const double calls = static_cast<double>(report.running) + report.queued;
    const double rounds = std::max(1.0, calls / view.slots);
    return duration(static_cast<duration::rep>(static_cast<double>(report.service_time.count()) * rounds));
}

void note_latency(server_pool& pool, server_view& view, duration latency,
                  const std::optional<load_report>& report) {
    view.latency_estimate = smoothed(view.latency_estimate, latency);
    // Keeps a single outlier from raising the age limit of stragglers, which derives from this estimate.
    const auto limit = max_outlier_factor * pool.latency_estimate;
    const bool first = pool.latency_estimate == duration::zero();
    pool.latency_estimate = smoothed(pool.latency_estimate, first ? latency : std::min(latency, limit));
    if (report && report->service_time > duration::zero()) {
        const auto latency_error = latency - implied_latency(view, *report);
        view.report_error = moving_average(view.report_error, latency_error, report_error_smoothing);
    }
}

void note_failure(server_view& view, bool failed) {
    view.failure_ratio += ((failed ? 1.0 : 0.0) - view.failure_ratio) * smoothing;
}

void note_other_calls(server_pool& pool, const server_view& view) {
    const double all = static_cast<double>(view.last_report.running) + view.last_report.queued;
    const double others = std::max(0.0, all - view.in_flight_at_report);
    pool.other_calls_per_server += (others - pool.other_calls_per_server) * smoothing;
}

/// True if a call is overdue and either a second one is as well or the server has answered nothing since it
/// began.
bool is_straggling(const server_pool& pool, const server_view& view, time_point now) {
    if (view.in_flight.empty()) {
        return false;
    }
    const auto limit = std::max(min_straggler_age, straggler_factor * pool.latency_estimate);
    const auto oldest = view.in_flight.front();
    if (now - oldest <= limit) {
        return false;
    }
    const bool several = view.in_flight.size() > 1 && now - view.in_flight[1] > limit;
    return several || view.last_answer_at < oldest;
}

void eject(server_view& view, time_point now) {
    const auto doublings = std::min(view.ejections, max_ejection_doublings);
    view.state = server_state::ejected;
    view.ejected_until = now + first_ejection * (1U << doublings);
    ++view.ejections;
}

bool can_eject_another(const server_pool& pool) {
    std::size_t staying = 0;
    std::size_t ejected = 0;
    for (const auto& it : pool.servers) {
        staying += is_draining(it) || it.evacuated ? 0 : 1;
        ejected += !is_draining(it) && !it.evacuated && it.state == server_state::ejected ? 1 : 0;
    }
    return static_cast<double>(ejected + 1) <= max_ejected_share * static_cast<double>(staying);
}

void review_ejected(server_pool& pool, server_view& view, time_point now) {
    if (now < view.ejected_until || is_straggling(pool, view, now)) {
        return;
    }
    view.state = server_state::warming;
    view.warm_since = now;
    view.warm_up = warm_up_after_ejection;
    // At the limit itself, the next failure would eject the server again at once; half of it lets a recovered
    // server stay.
    view.failure_ratio = std::min(view.failure_ratio, max_failure_ratio / 2);
}

void review_active(server_pool& pool, server_view& view, time_point now) {
    const bool bad = view.failure_ratio > max_failure_ratio || is_straggling(pool, view, now);
    if (bad && can_eject_another(pool)) {
        eject(view, now);
        return;
    }
    if (view.state == server_state::warming && now - view.warm_since >= view.warm_up) {
        view.state = server_state::serving;
        view.ejections = 0;
    }
}

} // namespace detail

void note_dispatch(server_view& view, time_point now) {
    view.in_flight.insert(std::upper_bound(view.in_flight.begin(), view.in_flight.end(), now), now);
    note_request_sent(view.allowance, now);
    note_request_sent(view.warm_up_use, now);
}

void note_end(server_pool& pool, server_view& view, time_point started, time_point now, attempt_end end,
              const std::optional<load_report>& report) {
    detail::remove_in_flight(view, started);
    if (end == attempt_end::answered) {
        view.last_answer_at = now;
        detail::note_latency(pool, view, now - started, report);
    }
    if (end == attempt_end::shed) {
        view.shed_pressure = std::min(view.shed_pressure, 9.0) + 1.0;
        view.shed_at = now;
    }
    if (end != attempt_end::cancelled && end != attempt_end::shed) {
        detail::note_failure(view, end != attempt_end::answered);
    }
    if (report) {
        note_report(view, *report, now);
        detail::note_other_calls(pool, view);
    }
}

void note_report(server_view& view, const load_report& report, time_point now) {
    view.last_report = report;
    view.in_flight_at_report = static_cast<std::uint32_t>(view.in_flight.size());
    view.reported_at = now;
    const auto bit = static_cast<std::uint8_t>(drain_source::load_report);
    if (report.draining) {
        view.drain_sources = static_cast<std::uint8_t>(view.drain_sources | bit);
        view.drain_reported_at = now;
    } else if (now - view.drain_reported_at > detail::drain_report_hold_time) {
        view.drain_sources = static_cast<std::uint8_t>(view.drain_sources & ~bit);
    }
}

void review_servers(server_pool& pool, time_point now) {
    for (auto& it : pool.servers) {
        if (it.state == server_state::ejected) {
            detail::review_ejected(pool, it, now);
        } else {
            detail::review_active(pool, it, now);
        }
    }
}

} // namespace endivelever
