#include "endivelever/decide/wait_queue.hpp"

#include <algorithm>
#include <tuple>

namespace endivelever {
namespace {

// A request with a large response may use another failure domain only after it has waited in the queue for
// this fraction (1/n) of its latency target.
constexpr int local_only_divisor = 10;
// Shortest plausible response time in percent of the typical one: the work of a request differs from the
// median by about this factor.
constexpr int min_response_percent = 60;

// Requests that stay in the queue however slow its pace is. They take slots as soon as these become free and
// keep the pace known.
constexpr std::size_t kept_in_time = 2;
constexpr std::size_t kept_late = 1;
// Interval between dispatches relative to the present one if another request is admitted: a longer queue
// finds more of the slots that become free.
constexpr double longer_queue_interval = 0.6;
// Weight of a new sample in the smoothed interval between dispatches.
constexpr double pace_smoothing = 0.25;

/// The latency target counts from the caller's first attempt.
bool meets_target(const waiting_request& it, duration needed, time_point now) {
    return now - it.arrived + it.prior_attempts_time + needed <= it.latency_target;
}

duration scaled(duration value, double factor) {
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

/// Order in which waiting requests get servers.
auto dispatch_order(const waiting_request& it) {
    return std::tuple(it.rank, it.arrived - it.prior_attempts_time);
}

/// Time until the request at `position` is sent. A pause longer than the usual interval counts as the
/// interval.
duration predicted_wait(const queue_pace& pace, std::size_t position, time_point now) {
    const auto elapsed = pace.waiting_since == time_point{} ? duration::zero() : now - pace.waiting_since;
    const auto interval = scaled(std::max(pace.interval, elapsed), longer_queue_interval);
    return std::max(duration::zero(), interval * static_cast<duration::rep>(position + 1) - elapsed);
}

void update_pace(queue_pace& pace, bool waits, time_point now) {
    if (!waits) {
        pace.waiting_since = {};
    } else if (pace.waiting_since == time_point{}) {
        pace.waiting_since = now;
    }
}

/// True if the request would probably meet its target at the server, or if it cannot expect a better server.
bool suits(const waiting_request& it, const server_offer& offer, const response_estimate& expected,
           time_point now) {
    if (meets_target(it, scaled(offer.predicted_latency, expected.margin), now)) {
        return true;
    }
    const bool can_wait = meets_target(it, likely_time(expected), now);
    return !can_wait && meets_target(it, offer.predicted_latency, now);
}

bool can_use(const waiting_request& it, const server_offer& offer, const response_estimate& expected,
             time_point now) {
    if (std::find(it.tried.begin(), it.tried.end(), offer.server) != it.tried.end()) {
        return false;
    }
    if (it.prefers_local_domain && !offer.in_local_domain &&
        now - it.queued_at < it.latency_target / local_only_divisor) {
        return false;
    }
    if (!offer.has_spare_capacity && !it.probing_done) {
        return false;
    }
    if (!offer.has_free_slot) {
        return false;
    }
    if (suits(it, offer, expected, now)) {
        return true;
    }
    const bool can_still_wait = meets_target(it, expected.light_load, now);
    return it.purpose != attempt_purpose::hedge && !can_still_wait &&
           now + offer.predicted_latency <= it.deadline;
}

} // namespace

duration likely_time(const response_estimate& expected) {
    return scaled(expected.light_load, expected.margin);
}

bool can_meet_target(const waiting_request& it, duration typical_time, time_point now) {
    return meets_target(it, typical_time, now);
}

void update_paces(queue_paces& paces, const wait_queue& queue, duration typical_time, time_point now) {
    const auto is_in_time = [&](const waiting_request& it) { return meets_target(it, typical_time, now); };
    update_pace(paces.in_time, std::any_of(queue.begin(), queue.end(), is_in_time), now);
    update_pace(paces.late, !std::all_of(queue.begin(), queue.end(), is_in_time), now);
}

void note_queue_dispatch(queue_paces& paces, bool in_time, time_point now) {
    auto& pace = in_time ? paces.in_time : paces.late;
    if (pace.waiting_since != time_point{}) {
        pace.interval += scaled(now - pace.waiting_since - pace.interval, pace_smoothing);
        pace.waiting_since = now;
    }
}

std::vector<request_number> select_refusals(const wait_queue& queue, const queue_paces& paces,
                                            const response_estimate& expected, time_point now) {
    const bool servers_are_full =
        std::any_of(queue.begin(), queue.end(), [](const waiting_request& it) { return it.probing_done; });
    if (!servers_are_full) {
        return {};
    }
    std::vector<const waiting_request*> ordered;
    for (const auto& it : queue) {
        ordered.push_back(&it);
    }
    std::sort(ordered.begin(), ordered.end(), [](const auto* left, const auto* right) {
        return dispatch_order(*left) < dispatch_order(*right);
    });
    std::vector<request_number> refused;
    std::size_t in_time_ahead = 0;
    std::size_t late_ahead = 0;
    for (const auto* it : ordered) {
        const bool in_time = meets_target(*it, expected.light_load, now);
        auto& ahead = in_time ? in_time_ahead : late_ahead;
        const auto response_after =
            predicted_wait(in_time ? paces.in_time : paces.late, ahead, now) + expected.light_load;
        const bool misses_target = in_time && ahead >= kept_in_time &&
                                   it->prior_attempts_time == duration::zero() &&
                                   !meets_target(*it, response_after, now);
        const bool misses_deadline = ahead >= kept_late && now + response_after > it->deadline;
        if (it->purpose == attempt_purpose::first && (misses_target || misses_deadline)) {
            refused.push_back(it->request);
        } else {
            ++ahead;
        }
    }
    return refused;
}

std::optional<std::size_t> select_request(const wait_queue& queue, const server_offer& offer,
                                          const response_estimate& expected, time_point now) {
    if (!offer.usable) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    std::tuple<bool, std::uint32_t, time_point> best_order{};
    for (std::size_t i = 0; i < queue.size(); ++i) {
        const auto& it = queue[i];
        if (!can_use(it, offer, expected, now)) {
            continue;
        }
        const auto order =
            std::tuple_cat(std::tuple(!meets_target(it, offer.predicted_latency, now)), dispatch_order(it));
        if (!best || order < best_order) {
            best = i;
            best_order = order;
        }
    }
    return best;
}

std::vector<request_number> requests_to_refuse(const wait_queue& queue, duration needed, time_point now) {
    std::vector<request_number> late;
    bool others_wait = false;
    for (const auto& it : queue) {
        if (meets_target(it, needed, now)) {
            others_wait = true;
        } else if (it.purpose == attempt_purpose::first && it.prior_attempts_time == duration::zero()) {
            late.push_back(it.request);
        }
    }
    return others_wait ? late : std::vector<request_number>{};
}

bool cannot_meet_deadline(const waiting_request& it, duration typical_time, time_point now) {
    return now + min_response_percent * typical_time / 100 > it.deadline;
}

bool remove_waiting(wait_queue& queue, request_number request) {
    return std::erase_if(queue, [request](const waiting_request& it) { return it.request == request; }) > 0;
}

} // namespace endivelever
