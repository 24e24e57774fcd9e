#include "endivelever/decide/admission.hpp"

#include "concurrency_limit.hpp"

#include <algorithm>

namespace endivelever {
namespace detail {

using namespace std::chrono_literals;

constexpr double latency_smoothing = 0.125;
// A queueing delay above the target for this long is a standing queue, which indicates overload. A shorter
// one is a burst that drains by itself.
constexpr duration standing_interval = 100ms;
// With a standing queue, a call is refused if its expected wait exceeds this fraction (1/n) of the time left
// until its deadline.
constexpr int standing_wait_divisor = 4;
// The target delay of a standing queue is at most this fraction (1/n) of a call's total time.
constexpr int target_queue_delay_divisor = 8;
// At most this fraction (1/n) of a call's total time is reserved for its response. Otherwise a latency
// estimate above the deadline would refuse all calls, and no completed call would ever correct it.
constexpr int response_reserve_divisor = 4;

bool is_fifo(const service_admission& admission) {
    return admission.service.admission == admission_policy::fifo;
}

const preset_kind_rule* find_rule(const preset& rules, const kind_id& kind) {
    const auto it = std::find_if(rules.kinds.begin(), rules.kinds.end(),
                                 [&kind](const preset_kind_rule& rule) { return rule.kind == kind; });
    return it == rules.kinds.end() ? nullptr : &*it;
}

bool has_queue_space(const kind_admission& kind, const waiting_call& call) {
    return kind.queue.size() + kind.expired.size() < kind.rule.queue_items &&
           kind.queued_bytes.value + call.buffered_bytes.value <= kind.rule.queue_bytes.value;
}

time_point apply_max_queue_delay(const kind_admission& kind, const waiting_call& call, time_point expiry) {
    const auto limit = kind.rule.max_queue_delay;
    return limit > duration::zero() ? std::min(expiry, call.arrived + limit) : expiry;
}

duration max_response_reserve(const waiting_call& call) {
    return (call.deadline - call.arrived) / response_reserve_divisor;
}

/// Time from which a queued call is dropped because its response would come after its deadline.
time_point expiry_of(const kind_admission& kind, const waiting_call& call) {
    const auto response_reserve = std::min(expected_latency(kind), max_response_reserve(call));
    return apply_max_queue_delay(kind, call, call.deadline - response_reserve);
}

/// Lower bound on expiry_of() for any future latency estimate.
time_point earliest_expiry(const kind_admission& kind, const waiting_call& call) {
    return apply_max_queue_delay(kind, call, call.deadline - max_response_reserve(call));
}

duration expected_wait(const service_admission& admission, const kind_admission& kind) {
    const double window = effective_window(admission, kind);
    const double ahead = static_cast<double>(kind.queue.size()) + 1.0 + kind.in_progress - window;
    const double rounds = std::max(0.0, ahead) / window;
    return from_milliseconds(to_milliseconds(expected_latency(kind)) * rounds);
}

bool has_standing_queue(const kind_admission& kind, time_point now) {
    return kind.standing_queue_since != time_point{} && now - kind.standing_queue_since >= standing_interval;
}

duration max_allowed_wait(const kind_admission& kind, const waiting_call& call, time_point now) {
    auto allowed = call.deadline - now;
    if (kind.rule.max_queue_delay > duration::zero()) {
        allowed = std::min(allowed, kind.rule.max_queue_delay);
    }
    if (has_standing_queue(kind, now)) {
        allowed = std::min(allowed, (call.deadline - now) / standing_wait_divisor);
    }
    return allowed;
}

refusal early_refusal(const service_admission& admission, const kind_admission& kind,
                      const waiting_call& call, time_point now) {
    // An empty queue always accepts a call: without new calls an outdated estimate would never be corrected.
    if (is_fifo(admission) || kind.queue.empty()) {
        return refusal::none;
    }
    const auto wait = expected_wait(admission, kind);
    if (now + wait + expected_latency(kind) > call.deadline) {
        return refusal::deadline_too_near;
    }
    return wait > max_allowed_wait(kind, call, now) ? refusal::queue_full : refusal::none;
}

void subtract_queued_bytes(kind_admission& kind, const waiting_call& call) {
    kind.queued_bytes.value -= call.buffered_bytes.value;
}

void expire_queue_front(kind_admission& kind, time_point now) {
    while (!kind.queue.empty() && expiry_of(kind, kind.queue.front()) <= now) {
        kind.expired.push_back(kind.queue.front());
        kind.queue.pop_front();
    }
}

/// Longest queueing delay that does not indicate overload.
duration target_queue_delay(const kind_admission& kind, const waiting_call& call) {
    return std::min(2 * expected_latency(kind), (call.deadline - call.arrived) / target_queue_delay_divisor);
}

void update_standing_queue(kind_admission& kind, time_point now) {
    const auto waited = kind.queue.empty() ? duration::zero() : now - kind.queue.front().arrived;
    const auto target = kind.queue.empty() ? duration::zero() : target_queue_delay(kind, kind.queue.front());
    // Hysteresis: with a single threshold the stricter limit would switch on and off, and the queue would
    // alternately fill up and drain.
    if (waited <= target / 2) {
        kind.standing_queue_since = time_point{};
    } else if (waited >= target && kind.standing_queue_since == time_point{}) {
        kind.standing_queue_since = now;
    }
}

bool fifo_has_free_slot(const service_admission& admission) {
    std::uint32_t total = 0;
    for (const auto& it : admission.kinds) {
        total += it.in_progress;
    }
    return total < std::max(1U, admission.total_slots);
}

bool can_dispatch(const service_admission& admission, const kind_admission& kind) {
    if (kind.queue.empty()) {
        return false;
    }
    return is_fifo(admission) ? fifo_has_free_slot(admission) : has_room(admission, kind);
}

bool precedes(const service_admission& admission, const kind_admission& left, const kind_admission& right) {
    if (!is_fifo(admission) && left.rule.served_as != right.rule.served_as) {
        return left.rule.served_as < right.rule.served_as;
    }
    return left.queue.front().arrived < right.queue.front().arrived;
}

template <typename Queue>
bool erase_call(Queue& queue, kind_admission& kind, call_number call) {
    const auto it = std::find_if(queue.begin(), queue.end(),
                                 [call](const waiting_call& waiting) { return waiting.call == call; });
    if (it == queue.end()) {
        return false;
    }
    subtract_queued_bytes(kind, *it);
    queue.erase(it);
    return true;
}

} // namespace detail

void apply_preset(service_admission& admission, const preset& rules) {
    for (auto& it : admission.kinds) {
        const auto* rule = detail::find_rule(rules, it.kind);
        it.rule = rule != nullptr ? *rule : preset_kind_rule{.kind = it.kind};
        it.earliest_expiry_bound = time_point{};
    }
    admission.has_preset = true;
}

void apply_capacity(service_admission& admission, std::uint32_t total_slots, std::uint32_t live_entries,
                    const std::vector<double>& demand_fractions) {
    const bool first = admission.total_slots == 0;
    admission.total_slots = total_slots;
    admission.live_entries = std::max(1U, live_entries);
    for (std::size_t i = 0; i < admission.kinds.size(); ++i) {
        const double equal = 1.0 / admission.live_entries;
        const double wanted = i < demand_fractions.size() ? demand_fractions[i] : equal;
        admission.kinds[i].demand_fraction = std::clamp(wanted, 0.0, 1.0);
    }
    if (first) {
        detail::init_windows(admission);
    }
}

refusal enqueue(service_admission& admission, const waiting_call& call, time_point now) {
    if (!admission.has_preset) {
        return refusal::no_preset;
    }
    auto& kind = admission.kinds[call.kind];
    const auto expiry = detail::expiry_of(kind, call);
    if (expiry <= now) {
        return refusal::deadline_too_near;
    }
    if (!detail::has_queue_space(kind, call)) {
        return refusal::queue_full;
    }
    const auto early = detail::early_refusal(admission, kind, call, now);
    if (early != refusal::none) {
        return early;
    }
    const auto earliest = detail::earliest_expiry(kind, call);
    kind.earliest_expiry_bound =
        kind.queue.empty() ? earliest : std::min(kind.earliest_expiry_bound, earliest);
    kind.queue.push_back(call);
    kind.queued_bytes.value += call.buffered_bytes.value;
    return refusal::none;
}

std::optional<waiting_call> take_next(service_admission& admission, time_point now) {
    detail::reset_stale_signals(admission, now);
    kind_admission* next = nullptr;
    for (auto& it : admission.kinds) {
        detail::expire_queue_front(it, now);
        detail::update_standing_queue(it, now);
        detail::update_credit(admission, it, now);
        if (!detail::can_dispatch(admission, it)) {
            continue;
        }
        if (next == nullptr || detail::precedes(admission, it, *next)) {
            next = &it;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    const auto call = next->queue.front();
    next->queue.pop_front();
    detail::subtract_queued_bytes(*next, call);
    ++next->in_progress;
    return call;
}

std::vector<waiting_call> take_expired(service_admission& admission, time_point now) {
    std::vector<waiting_call> expired;
    for (auto& kind : admission.kinds) {
        if (kind.expired.empty() && now < kind.earliest_expiry_bound) {
            continue;
        }
        kind.earliest_expiry_bound = time_point::max();
        const auto is_live = [&](const waiting_call& call) {
            const auto expiry = detail::expiry_of(kind, call);
            if (expiry > now) {
                kind.earliest_expiry_bound =
                    std::min(kind.earliest_expiry_bound, detail::earliest_expiry(kind, call));
            }
            return expiry > now;
        };
        const auto end = std::stable_partition(kind.queue.begin(), kind.queue.end(), is_live);
        kind.expired.insert(kind.expired.end(), end, kind.queue.end());
        kind.queue.erase(end, kind.queue.end());
        for (const auto& it : kind.expired) {
            detail::subtract_queued_bytes(kind, it);
        }
        expired.insert(expired.end(), kind.expired.begin(), kind.expired.end());
        kind.expired.clear();
    }
    return expired;
}

bool remove_waiting(service_admission& admission, std::size_t kind, call_number call) {
    auto& owner = admission.kinds[kind];
    return detail::erase_call(owner.queue, owner, call) || detail::erase_call(owner.expired, owner, call);
}

void record_completion(service_admission& admission, std::size_t kind, const admission_feedback& feedback,
                       time_point now) {
    auto& owner = admission.kinds[kind];
    detail::update_credit(admission, owner, now);
    owner.in_progress -= owner.in_progress > 0 ? 1U : 0U;
    if (feedback.shed) {
        owner.last_overload_at = now;
    } else if (!feedback.failed && feedback.latency > duration::zero()) {
        const double change = static_cast<double>((feedback.latency - owner.latency_estimate).count());
        const bool first = owner.latency_estimate == duration::zero();
        owner.latency_estimate =
            first ? feedback.latency
                  : owner.latency_estimate +
                        duration(static_cast<duration::rep>(change * detail::latency_smoothing));
    }
    detail::adjust_windows(admission, feedback, now);
}

} // namespace endivelever
