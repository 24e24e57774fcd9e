#include "endivelever/decide/observe.hpp"

#include <algorithm>

namespace endivelever {
namespace detail {

using namespace std::chrono_literals;

constexpr double smoothing = 0.125;
// Load shifts make single errors large; only a lasting contradiction shows that reports mislead.
constexpr double error_smoothing = 1.0 / 64;
// Six failures in a row move the smoothed ratio over this limit.
constexpr double failure_limit = 0.5;
constexpr duration min_straggler_age = 15ms;
constexpr int straggler_factor = 6;
constexpr duration first_ejection = 50ms;
constexpr std::uint32_t max_ejection_doublings = 6;
constexpr double max_ejected_share = 0.5;
constexpr duration warm_up_after_ejection = 200ms;
// An outlier counts as this many times the smoothed latency at most.
constexpr int max_outlier = 4;
// A server that reported a drain is used again only after this time without the mark, since reports of
// calls that ended out of order may precede the drain.
constexpr duration drain_memory = 5s;

duration moved_towards(duration old, duration sample, double part) {
    return old + duration(static_cast<duration::rep>(static_cast<double>((sample - old).count()) * part));
}

duration smoothed(duration old, duration sample) {
    return old == duration::zero() ? sample : moved_towards(old, sample, smoothing);
}

void remove_in_flight(server_view& view, time_point started) {
    const auto it = std::lower_bound(view.in_flight.begin(), view.in_flight.end(), started);
    if (it != view.in_flight.end() && *it == started) {
        view.in_flight.erase(it);
    }
}

duration implied_latency(const server_view& view, const load_report& report) {
    const double calls = static_cast<double>(report.running) + report.queued;
    const double rounds = std::max(1.0, calls / view.slots);
    return duration(static_cast<duration::rep>(static_cast<double>(report.service_time.count()) * rounds));
}

void note_latency(server_pool& pool, server_view& view, duration latency,
                  const std::optional<load_report>& report) {
    view.latency_estimate = smoothed(view.latency_estimate, latency);
    // One outlier must not raise the limit that detects stragglers.
    const auto limit = max_outlier * pool.latency_estimate;
    const bool first = pool.latency_estimate == duration::zero();
    pool.latency_estimate = smoothed(pool.latency_estimate, first ? latency : std::min(latency, limit));
    if (report && report->service_time > duration::zero()) {
        const auto contradiction = latency - implied_latency(view, *report);
        view.report_error = moved_towards(view.report_error, contradiction, error_smoothing);
    }
}

void note_failure(server_view& view, bool failed) {
    view.failure_ratio += ((failed ? 1.0 : 0.0) - view.failure_ratio) * smoothing;
}

void note_others(server_pool& pool, const server_view& view) {
    const double all = static_cast<double>(view.last_report.running) + view.last_report.queued;
    const double others = std::max(0.0, all - view.in_flight_at_report);
    pool.others_per_server += (others - pool.others_per_server) * smoothing;
}

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

bool may_eject_one_more(const server_pool& pool) {
    std::size_t staying = 0;
    std::size_t ejected = 0;
    for (const auto& it : pool.servers) {
        staying += is_draining(it) ? 0 : 1;
        ejected += !is_draining(it) && it.state == server_state::ejected ? 1 : 0;
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
    // The next failure ejects again at once; half of the limit lets a recovered server stay.
    view.failure_ratio = std::min(view.failure_ratio, failure_limit / 2);
}

void review_active(server_pool& pool, server_view& view, time_point now) {
    const bool bad = view.failure_ratio > failure_limit || is_straggling(pool, view, now);
    if (bad && may_eject_one_more(pool)) {
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
        detail::note_others(pool, view);
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
    } else if (now - view.drain_reported_at > detail::drain_memory) {
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
