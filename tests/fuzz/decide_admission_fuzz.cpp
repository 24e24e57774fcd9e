#include "endivelever/decide/admission.hpp"

#include "fuzz/fixed_seed.hpp"
#include "fuzz/fuzz_step.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr int num_cases = 1000;

constexpr std::size_t kinds = 3;
constexpr std::uint32_t slots = 40;

/// The admission under test and the reference model of all calls.
struct admission_model {
    service_admission admission;
    time_point now{1000s};
    call_number next = 1;
    std::map<call_number, waiting_call> waiting;
    std::set<call_number> possibly_expired; ///< calls that may have expired, possibly under an earlier preset
    std::vector<std::size_t> running;       ///< kinds of the calls in progress
};

void switch_preset(admission_model& model, const fuzz_step& step) {
    preset rules;
    for (unsigned i = 0; i < kinds; ++i) {
        preset_kind_rule rule;
        rule.kind = kind_id(std::to_string(i));
        rule.served_as = static_cast<rank>((step.first + i) % 3);
        rule.guaranteed_share = 0.1 * (step.second % 4);
        rule.queue_items = 1 + step.second % 20;
        rule.queue_bytes = byte_count{1000};
        rule.max_queue_delay = step.first % 4 == 0 ? 50ms : 0ms;
        rules.kinds.push_back(rule);
    }
    apply_preset(model.admission, rules);
}

std::size_t count_waiting(const admission_model& model, std::size_t kind) {
    return static_cast<std::size_t>(std::count_if(model.waiting.begin(), model.waiting.end(),
                                                  [kind](const auto& it) { return it.second.kind == kind; }));
}

byte_count count_bytes(const admission_model& model, std::size_t kind) {
    byte_count sum{};
    for (const auto& [number, call] : model.waiting) {
        sum.value += call.kind == kind ? call.buffered_bytes.value : 0;
    }
    return sum;
}

void arrive(admission_model& model, const fuzz_step& step) {
    const auto deadline = model.now + std::chrono::milliseconds(step.first % 300);
    const waiting_call call{model.next++, step.first % kinds, model.now, deadline, {step.second % 200}};
    if (enqueue(model.admission, call, model.now) != refusal::none) {
        return;
    }
    model.waiting[call.call] = call;
    const auto& rule = model.admission.kinds[call.kind].rule;
    RC_ASSERT(call.deadline > model.now);
    RC_ASSERT(count_waiting(model, call.kind) <= rule.queue_items);
    RC_ASSERT(model.admission.kinds[call.kind].queued_bytes.value <= rule.queue_bytes.value);
}

/// True if the call must not be dropped yet: it is not in the last quarter of its time and has not waited for
/// max_queue_delay.
bool is_live(const admission_model& model, const waiting_call& call) {
    const auto limit = model.admission.kinds[call.kind].rule.max_queue_delay;
    const bool too_long = limit > duration::zero() && model.now - call.arrived >= limit;
    const bool in_time = call.deadline - (call.deadline - call.arrived) / 4 > model.now;
    return in_time && !too_long && model.possibly_expired.count(call.call) == 0;
}

bool has_live_call(const admission_model& model, std::size_t kind) {
    return std::any_of(model.waiting.begin(), model.waiting.end(),
                       [&](const auto& it) { return it.second.kind == kind && is_live(model, it.second); });
}

/// A guaranteed share counts slots; its calls may be in progress for up to 8 times their time in a slot.
void check_window(const admission_model& model, std::size_t kind) {
    const auto& it = model.admission.kinds[kind];
    const double share = 1.05 * it.rule.guaranteed_share * slots * it.demand_fraction;
    RC_ASSERT(it.in_progress <= std::max(it.window, 8.0 * share) + 1.0);
}

void check_order(const admission_model& model, const waiting_call& taken) {
    const auto served_as = model.admission.kinds[taken.kind].rule.served_as;
    for (std::size_t i = 0; i < kinds; ++i) {
        const auto& it = model.admission.kinds[i];
        if (it.rule.served_as < served_as && has_live_call(model, i)) {
            RC_ASSERT(it.in_progress >= std::floor(it.window));
        }
    }
    for (const auto& [number, call] : model.waiting) {
        RC_ASSERT((call.kind != taken.kind || number > taken.call || !is_live(model, call)));
    }
}

void expire(admission_model& model) {
    for (const auto& it : take_expired(model.admission, model.now)) {
        RC_ASSERT(model.waiting.erase(it.call) == 1U);
        RC_ASSERT(!is_live(model, it));
    }
    for (const auto& [number, call] : model.waiting) {
        const auto latency = std::max(model.admission.kinds[call.kind].latency_estimate, duration{1});
        RC_ASSERT(call.deadline - std::min(latency, (call.deadline - call.arrived) / 4) > model.now);
    }
}

void dispatch(admission_model& model, const fuzz_step& step) {
    if (step.first % 2 == 0) {
        expire(model);
    }
    for (const auto& [number, call] : model.waiting) {
        if (!is_live(model, call)) {
            model.possibly_expired.insert(number);
        }
    }
    while (const auto call = take_next(model.admission, model.now)) {
        RC_ASSERT(model.waiting.erase(call->call) == 1U);
        RC_ASSERT(call->deadline > model.now);
        model.running.push_back(call->kind);
        check_order(model, *call);
        check_window(model, call->kind);
    }
    for (std::size_t i = 0; i < kinds; ++i) {
        const auto& it = model.admission.kinds[i];
        const double share = it.rule.guaranteed_share * slots * it.demand_fraction;
        RC_ASSERT((it.in_progress >= std::floor(share) || !has_live_call(model, i)));
    }
}

void finish(admission_model& model, const fuzz_step& step) {
    if (model.running.empty()) {
        return;
    }
    const auto index = step.first % model.running.size();
    const auto kind = model.running[index];
    model.running.erase(model.running.begin() + static_cast<std::ptrdiff_t>(index));
    admission_feedback feedback{.shed = step.second % 13 == 0, .failed = step.second % 17 == 0};
    feedback.latency = std::chrono::microseconds(step.first * 50);
    feedback.server_slots = 4;
    if (step.second % 5 != 0) {
        feedback.report = load_report{.running = 4, .queued = step.second % 9, .service_time = 5ms};
    }
    record_completion(model.admission, kind, feedback, model.now);
}

void cancel(admission_model& model, const fuzz_step& step) {
    const auto it = model.waiting.find(step.first % model.next);
    const auto kind = it == model.waiting.end() ? step.second % kinds : it->second.kind;
    const bool removed = remove_waiting(model.admission, kind, step.first % model.next);
    RC_ASSERT(removed == (it != model.waiting.end()));
    if (removed) {
        model.waiting.erase(it);
    }
}

void check_limits(const admission_model& model) {
    for (std::size_t i = 0; i < kinds; ++i) {
        const auto& it = model.admission.kinds[i];
        const auto running =
            static_cast<std::size_t>(std::count(model.running.begin(), model.running.end(), i));
        RC_ASSERT(it.in_progress == running);
        RC_ASSERT(it.queue.size() + it.expired.size() == count_waiting(model, i));
        RC_ASSERT(it.queued_bytes == count_bytes(model, i));
        RC_ASSERT((it.window > 0.0 && it.window <= 3.0 * slots));
    }
}

// Guards against calls that are lost or dispatched twice, queues and windows above their limits, violated
// guaranteed shares and low-rank calls that overtake urgent ones.
TEST(admission_fuzz, queues_agree_with_the_model) {
    check_with_seed(20261204, num_cases, [] {
        admission_model model;
        for (std::size_t i = 0; i < kinds; ++i) {
            model.admission.kinds.push_back({.kind = kind_id(std::to_string(i))});
        }
        apply_capacity(model.admission, slots, 4, {1.0, 0.25, 0.25});
        switch_preset(model, *rc::gen::construct<fuzz_step>(rc::gen::just(0U), rc::gen::inRange(0U, 9U),
                                                            rc::gen::inRange(0U, 20U)));
        for (const auto& step : any_steps(16, 600)) {
            switch (step.action) {
            case 0:
                switch_preset(model, step);
                break;
            case 1:
                cancel(model, step);
                break;
            case 2:
            case 3:
            case 4:
                model.now += std::chrono::microseconds(step.first * 10);
                break;
            case 5:
            case 6:
            case 7:
                finish(model, step);
                break;
            case 8:
            case 9:
                dispatch(model, step);
                break;
            default:
                arrive(model, step);
            }
            check_limits(model);
        }
    });
}

} // namespace
} // namespace endivelever
