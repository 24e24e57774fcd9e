#include "concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace endivelever::detail {

using namespace std::chrono_literals;

constexpr duration initial_latency = 5ms;
constexpr double queue_smoothing = 0.25;
constexpr double service_time_smoothing = 0.125;
// A kind without a guaranteed share still sends one call per ten latencies, to detect free capacity.
constexpr double min_window = 0.1;
// Limit on a report's relative excess over the queue threshold, so that a single overloaded server does not
// close a window.
constexpr double max_excess = 2.0;
constexpr double decrease_per_latency = 0.4;
constexpr double growth_per_latency = 0.25;
constexpr double unused_decay_per_latency = 0.05;
// Some responses of a kind that gets only its guaranteed share come after the deadline; the margin
// compensates for them.
constexpr double share_margin = 1.05;
// A guaranteed share counts slots, but network and queueing keep a call in progress longer than in its slot.
// This limits the ratio of the two times.
constexpr double max_latency_ratio = 8.0;
// A call that never ends must not close a small window permanently.
constexpr double max_deficit_latencies = 8.0;
// Without calls in progress no report can tell that an overload has ended, so its signals expire.
constexpr duration signal_lifetime = 50ms;
constexpr double max_window_per_slot = 3.0;

bool is_highest_rank(const service_admission& admission, rank served_as) {
    return std::none_of(admission.kinds.begin(), admission.kinds.end(),
                        [served_as](const kind_admission& it) { return it.rule.served_as < served_as; });
}

/// Queued calls per slot at which the windows of a rank stop growing. A lower rank stops earlier, so that it
/// yields to a higher rank on another entry as soon as the latter's calls lengthen the servers' queues. The
/// highest rank of a service has none to yield to and may keep all slots busy.
double queue_threshold(const service_admission& admission, rank served_as) {
    constexpr double urgent = 1.2;
    constexpr double normal = 0.8;
    constexpr double low = 0.3;
    if (served_as == rank::urgent || is_highest_rank(admission, served_as)) {
        return urgent;
    }
    return served_as == rank::normal ? normal : low;
}

duration expected_latency(const kind_admission& kind) {
    return kind.latency_estimate > duration::zero() ? kind.latency_estimate : initial_latency;
}

double slots_per_entry(const service_admission& admission) {
    return static_cast<double>(admission.total_slots) / admission.live_entries;
}

/// Ratio of a call's latency to its time in a slot.
double latency_ratio(const service_admission& admission, const kind_admission& kind) {
    if (admission.service_time == duration::zero()) {
        return 1.0;
    }
    return std::clamp(to_seconds(expected_latency(kind)) / to_seconds(admission.service_time), 1.0,
                      max_latency_ratio);
}

double guaranteed_window(const service_admission& admission, const kind_admission& kind) {
    const double slots =
        share_margin * kind.rule.guaranteed_share * admission.total_slots * kind.demand_fraction;
    return slots * latency_ratio(admission, kind);
}

double effective_window(const service_admission& admission, const kind_admission& kind) {
    return std::max({min_window, kind.window, guaranteed_window(admission, kind)});
}

bool has_room(const service_admission& admission, const kind_admission& kind) {
    const double integer_limit = std::floor(effective_window(admission, kind));
    if (kind.in_progress < integer_limit) {
        return true;
    }
    // One call beyond the integer part of the window is allowed while the mean stays within the window.
    return kind.in_progress <= integer_limit && kind.window_credit >= 0.0;
}

void update_credit(const service_admission& admission, kind_admission& kind, time_point now) {
    const double room = effective_window(admission, kind) - kind.in_progress;
    const double latency = to_seconds(expected_latency(kind));
    const double credit = kind.window_credit + room * to_seconds(now - kind.credit_updated_at);
    kind.window_credit = std::clamp(credit, -max_deficit_latencies * latency, latency);
    kind.credit_updated_at = now;
}

void init_windows(service_admission& admission) {
    for (auto& it : admission.kinds) {
        it.window = std::max(1.0, slots_per_entry(admission));
    }
}

bool is_used(const kind_admission& kind) {
    return !kind.queue.empty() || kind.in_progress + 1 >= 0.7 * kind.window;
}

double window_growth(const service_admission& admission, const kind_admission& kind, double room) {
    const double additive = std::max(0.5, 0.5 * slots_per_entry(admission));
    const bool idle_servers =
        admission.smoothed_queue < 0.25 * queue_threshold(admission, kind.rule.served_as);
    return room * (additive + (idle_servers ? growth_per_latency * kind.window : 0.0));
}

/// @param weight  fraction of this report among all reports that arrive within one latency
void adjust_window(const service_admission& admission, kind_admission& kind, double weight) {
    const double room = 1.0 - admission.smoothed_queue / queue_threshold(admission, kind.rule.served_as);
    if (room < 0.0) {
        kind.window -= weight * decrease_per_latency * std::min(max_excess, -room) * kind.window;
    } else if (is_used(kind)) {
        kind.window += weight * window_growth(admission, kind, room);
    } else if (kind.window > std::max(1.0, slots_per_entry(admission))) {
        kind.window -= weight * unused_decay_per_latency * kind.window;
    }
    const double limit = std::max(1.0, max_window_per_slot * admission.total_slots);
    kind.window = std::clamp(kind.window, min_window, limit);
}

double reported_queue(const admission_feedback& feedback) {
    if (feedback.shed) {
        return 1.0 + max_excess;
    }
    return feedback.report
               ? static_cast<double>(feedback.report->queued) / std::max(1U, feedback.server_slots)
               : 0.0;
}

void update_service_time(service_admission& admission, duration sample) {
    if (admission.service_time == duration::zero()) {
        admission.service_time = sample;
        return;
    }
    const double change = static_cast<double>((sample - admission.service_time).count());
    admission.service_time += duration(static_cast<duration::rep>(change * service_time_smoothing));
}

double calls_in_progress(const service_admission& admission) {
    double sum = 0.0;
    for (const auto& it : admission.kinds) {
        sum += it.in_progress;
    }
    return sum;
}

void adjust_windows(service_admission& admission, const admission_feedback& feedback, time_point now) {
    if (feedback.failed && !feedback.shed && !feedback.report) {
        return;
    }
    admission.reported_at = now;
    admission.smoothed_queue += (reported_queue(feedback) - admission.smoothed_queue) * queue_smoothing;
    if (feedback.report && feedback.report->service_time > duration::zero()) {
        update_service_time(admission, feedback.report->service_time);
    }
    const double weight = 1.0 / (1.0 + calls_in_progress(admission));
    for (auto& it : admission.kinds) {
        adjust_window(admission, it, weight);
    }
}

void reset_stale_signals(service_admission& admission, time_point now) {
    if (now - admission.reported_at < signal_lifetime || calls_in_progress(admission) > 0.0) {
        return;
    }
    admission.smoothed_queue = 0.0;
    admission.reported_at = now;
    init_windows(admission);
}

} // namespace endivelever::detail
