#include "concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace endivelever::detail {

using namespace std::chrono_literals;

constexpr duration first_latency = 5ms;
constexpr double queue_smoothing = 0.25;
constexpr double service_smoothing = 0.125;
// A kind without a guaranteed share still sends one call in this many latencies, to learn of free capacity.
constexpr double min_window = 0.1;
// Bound on one report's excess over the threshold, so that one overloaded server does not close a window.
constexpr double max_excess = 2.0;
constexpr double cut_per_latency = 0.4;
constexpr double growth_per_latency = 0.25;
constexpr double unused_decay_per_latency = 0.05;
// A guaranteed share counts slots; network and queueing keep a call in progress longer than in its slot.
constexpr double max_stretch = 4.0;
constexpr double window_limit_per_slot = 3.0;

/// Queue per slot at which a rank stops growing. A lower rank stops earlier, so it gives way to a higher
/// rank on another entry as soon as that one's calls lengthen the servers' queues.
double queue_threshold(rank served_as) {
    switch (served_as) {
    case rank::urgent:
        return 1.0;
    case rank::normal:
        return 0.6;
    case rank::low:
        break;
    }
    return 0.3;
}

duration expected_latency(const kind_admission& kind) {
    return kind.latency_estimate > duration::zero() ? kind.latency_estimate : first_latency;
}

double slots_per_entry(const service_admission& admission) {
    return static_cast<double>(admission.total_slots) / admission.live_entries;
}

double stretch(const service_admission& admission, const kind_admission& kind) {
    if (admission.service_time == duration::zero()) {
        return 1.0;
    }
    return std::clamp(to_seconds(expected_latency(kind)) / to_seconds(admission.service_time), 1.0,
                      max_stretch);
}

double guaranteed_window(const service_admission& admission, const kind_admission& kind) {
    const double slots = kind.rule.guaranteed_share * admission.total_slots * kind.demand_fraction;
    return slots * stretch(admission, kind);
}

double effective_window(const service_admission& admission, const kind_admission& kind) {
    return std::max({min_window, kind.window, guaranteed_window(admission, kind)});
}

bool has_room(const service_admission& admission, const kind_admission& kind, time_point now) {
    const double window = effective_window(admission, kind);
    const double whole = std::floor(window);
    if (kind.in_progress < whole) {
        return true;
    }
    const double fraction = window - whole;
    const double waited = to_seconds(now - kind.last_paced) * fraction;
    return kind.in_progress <= whole && fraction > 0.0 && waited >= to_seconds(expected_latency(kind));
}

void note_sent(const service_admission& admission, kind_admission& kind, time_point now) {
    if (kind.in_progress >= std::floor(effective_window(admission, kind))) {
        kind.last_paced = now;
    }
    ++kind.in_progress;
}

void start_windows(service_admission& admission) {
    for (auto& it : admission.kinds) {
        it.window = std::max(1.0, slots_per_entry(admission));
    }
}

bool is_used(const kind_admission& kind) {
    return !kind.queue.empty() || kind.in_progress + 1 >= 0.7 * kind.window;
}

double grown(const service_admission& admission, const kind_admission& kind, double room) {
    const double additive = std::max(0.5, 0.5 * slots_per_entry(admission));
    const bool idle_servers = admission.smoothed_queue < 0.25 * queue_threshold(kind.rule.served_as);
    return room * (additive + (idle_servers ? growth_per_latency * kind.window : 0.0));
}

/// @param part  this report's part of all reports that arrive within one latency
void adjust_window(const service_admission& admission, kind_admission& kind, double queue, double part) {
    const double room = 1.0 - queue / queue_threshold(kind.rule.served_as);
    if (room < 0.0) {
        kind.window -= part * cut_per_latency * std::min(max_excess, -room) * kind.window;
    } else if (is_used(kind)) {
        kind.window += part * grown(admission, kind, room);
    } else if (kind.window > std::max(1.0, slots_per_entry(admission))) {
        kind.window -= part * unused_decay_per_latency * kind.window;
    }
    const double limit = std::max(1.0, window_limit_per_slot * admission.total_slots);
    kind.window = std::clamp(kind.window, min_window, limit);
}

void adjust_windows(service_admission& admission, const admission_feedback& feedback) {
    if (!feedback.shed && !feedback.report) {
        return;
    }
    double queue = feedback.report
                       ? static_cast<double>(feedback.report->queued) / std::max(1U, feedback.server_slots)
                       : 0.0;
    queue = feedback.shed ? std::max(queue, 1.0 + max_excess) : queue;
    admission.smoothed_queue += (queue - admission.smoothed_queue) * queue_smoothing;
    if (feedback.report && feedback.report->service_time > duration::zero()) {
        const auto sample = feedback.report->service_time;
        const double change =
            static_cast<double>((sample - admission.service_time).count()) * service_smoothing;
        const bool first = admission.service_time == duration::zero();
        admission.service_time =
            first ? sample : admission.service_time + duration(static_cast<duration::rep>(change));
    }
    double reports_per_latency = 1.0;
    for (const auto& it : admission.kinds) {
        reports_per_latency += it.in_progress;
    }
    for (auto& it : admission.kinds) {
        adjust_window(admission, it, queue, 1.0 / reports_per_latency);
    }
}

} // namespace endivelever::detail
