#include "endivelever/decide/admission.hpp"

#include <algorithm>

namespace endivelever {
namespace detail {

double entry_share(const service_admission& admission, const kind_admission& kind) {
    return static_cast<double>(admission.total_slots) * kind.demand_fraction;
}

double floor_of(const service_admission& admission, const kind_admission& kind) {
    return std::max(1.0, kind.rule.guaranteed_share * entry_share(admission, kind));
}

const preset_kind_rule* find_rule(const preset& rules, const kind_id& kind) {
    const auto it = std::find_if(rules.kinds.begin(), rules.kinds.end(),
                                 [&kind](const preset_kind_rule& rule) { return rule.kind == kind; });
    return it == rules.kinds.end() ? nullptr : &*it;
}

bool fits(const kind_admission& kind, const waiting_call& call) {
    return kind.queue.size() < kind.rule.queue_items &&
           kind.queued_bytes.value + call.held.value <= kind.rule.queue_bytes.value;
}

bool is_earlier(const service_admission& admission, const kind_admission& left, const kind_admission& right) {
    if (admission.service.admission == admission_policy::ranked &&
        left.rule.served_as != right.rule.served_as) {
        return left.rule.served_as < right.rule.served_as;
    }
    return left.queue.front().arrived < right.queue.front().arrived;
}

void drop_bytes(kind_admission& kind, const waiting_call& call) {
    kind.queued_bytes.value -= call.held.value;
}

bool is_expired(const kind_admission& kind, const waiting_call& call, time_point now) {
    const auto limit = kind.rule.max_queue_delay;
    return call.deadline <= now || (limit > duration::zero() && now - call.arrived >= limit);
}

} // namespace detail

void apply_preset(service_admission& admission, const preset& rules) {
    for (auto& it : admission.kinds) {
        const auto* rule = detail::find_rule(rules, it.kind);
        it.rule = rule != nullptr ? *rule : preset_kind_rule{.kind = it.kind};
    }
    admission.has_preset = true;
}

void apply_capacity(service_admission& admission, std::uint32_t total_slots, std::uint32_t live_entries,
                    const std::vector<double>& demand_fractions) {
    admission.total_slots = total_slots;
    admission.live_entries = std::max(1U, live_entries);
    for (std::size_t i = 0; i < admission.kinds.size(); ++i) {
        const double equal = 1.0 / admission.live_entries;
        const double wanted = i < demand_fractions.size() ? demand_fractions[i] : equal;
        admission.kinds[i].demand_fraction = std::clamp(wanted, 0.0, 1.0);
    }
}

refusal enqueue(service_admission& admission, const waiting_call& call, time_point now) {
    if (!admission.has_preset) {
        return refusal::no_preset;
    }
    auto& kind = admission.kinds[call.kind];
    if (call.deadline <= now) {
        return refusal::deadline_too_near;
    }
    if (!detail::fits(kind, call)) {
        return refusal::queue_full;
    }
    kind.queue.push_back(call);
    kind.queued_bytes.value += call.held.value;
    return refusal::none;
}

std::optional<waiting_call> take_next(service_admission& admission, time_point /*now*/) {
    kind_admission* next = nullptr;
    for (auto& it : admission.kinds) {
        if (it.queue.empty() || it.in_progress >= std::max(it.window, detail::floor_of(admission, it))) {
            continue;
        }
        if (next == nullptr || detail::is_earlier(admission, it, *next)) {
            next = &it;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    const auto call = next->queue.front();
    next->queue.pop_front();
    detail::drop_bytes(*next, call);
    ++next->in_progress;
    return call;
}

std::vector<waiting_call> take_expired(service_admission& admission, time_point now) {
    std::vector<waiting_call> expired;
    for (auto& kind : admission.kinds) {
        const auto end =
            std::stable_partition(kind.queue.begin(), kind.queue.end(), [&](const waiting_call& call) {
                return !detail::is_expired(kind, call, now);
            });
        std::for_each(end, kind.queue.end(),
                      [&](const waiting_call& call) { detail::drop_bytes(kind, call); });
        expired.insert(expired.end(), end, kind.queue.end());
        kind.queue.erase(end, kind.queue.end());
    }
    return expired;
}

bool remove_waiting(service_admission& admission, std::size_t kind, call_number call) {
    auto& owner = admission.kinds[kind];
    const auto it = std::find_if(owner.queue.begin(), owner.queue.end(),
                                 [call](const waiting_call& waiting) { return waiting.call == call; });
    if (it == owner.queue.end()) {
        return false;
    }
    detail::drop_bytes(owner, *it);
    owner.queue.erase(it);
    return true;
}

void note_finished(service_admission& admission, std::size_t kind, const admission_feedback& feedback,
                   time_point now) {
    auto& owner = admission.kinds[kind];
    owner.in_progress -= owner.in_progress > 0 ? 1U : 0U;
    const bool queueing = feedback.report && feedback.report->queued > feedback.server_slots;
    const double limit = std::max(1.0, static_cast<double>(2 * admission.total_slots));
    if (!feedback.shed && !queueing) {
        owner.window = std::min(limit, owner.window + 1.0 / std::max(1.0, owner.window));
        return;
    }
    if (now - owner.last_cut >= feedback.latency) {
        owner.window = std::max(1.0, owner.window * 0.7);
        owner.last_cut = now;
    }
}

} // namespace endivelever
