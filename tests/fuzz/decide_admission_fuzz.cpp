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

constexpr int cases = 1000;

constexpr std::size_t kinds = 3;
constexpr std::uint32_t slots = 40;

/// The admission under test beside what the test itself knows of every call.
struct admission_world {
    service_admission admission;
    time_point now{1000s};
    call_number next = 1;
    std::map<call_number, waiting_call> waiting;
    std::set<call_number> given_up;   ///< may have expired under an earlier preset
    std::vector<std::size_t> running; ///< kinds of the calls in progress
};

void switch_preset(admission_world& w, const fuzz_step& step) {
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
    apply_preset(w.admission, rules);
}

std::size_t waiting_of(const admission_world& w, std::size_t kind) {
    return static_cast<std::size_t>(std::count_if(w.waiting.begin(), w.waiting.end(),
                                                  [kind](const auto& it) { return it.second.kind == kind; }));
}

byte_count bytes_of(const admission_world& w, std::size_t kind) {
    byte_count sum{};
    for (const auto& [number, call] : w.waiting) {
        sum.value += call.kind == kind ? call.held.value : 0;
    }
    return sum;
}

void arrive(admission_world& w, const fuzz_step& step) {
    const auto deadline = w.now + std::chrono::milliseconds(step.first % 300);
    const waiting_call call{w.next++, step.first % kinds, w.now, deadline, {step.second % 200}};
    if (enqueue(w.admission, call, w.now) != refusal::none) {
        return;
    }
    w.waiting[call.call] = call;
    const auto& rule = w.admission.kinds[call.kind].rule;
    RC_ASSERT(call.deadline > w.now);
    RC_ASSERT(waiting_of(w, call.kind) <= rule.queue_items);
    RC_ASSERT(w.admission.kinds[call.kind].queued_bytes.value <= rule.queue_bytes.value);
}

/// True if the call may not be given up yet: it is not in the last quarter of its time.
bool is_live(const admission_world& w, const waiting_call& call) {
    const auto limit = w.admission.kinds[call.kind].rule.max_queue_delay;
    const bool too_long = limit > duration::zero() && w.now - call.arrived >= limit;
    const bool in_time = call.deadline - (call.deadline - call.arrived) / 4 > w.now;
    return in_time && !too_long && w.given_up.count(call.call) == 0;
}

bool has_live_call(const admission_world& w, std::size_t kind) {
    return std::any_of(w.waiting.begin(), w.waiting.end(),
                       [&](const auto& it) { return it.second.kind == kind && is_live(w, it.second); });
}

/// A guaranteed share counts slots; its calls may be in progress for up to 8 times their time in a slot.
void check_window(const admission_world& w, std::size_t kind) {
    const auto& it = w.admission.kinds[kind];
    const double share = 1.05 * it.rule.guaranteed_share * slots * it.demand_fraction;
    RC_ASSERT(it.in_progress <= std::max(it.window, 8.0 * share) + 1.0);
}

void check_order(const admission_world& w, const waiting_call& taken) {
    const auto served_as = w.admission.kinds[taken.kind].rule.served_as;
    for (std::size_t i = 0; i < kinds; ++i) {
        const auto& it = w.admission.kinds[i];
        if (it.rule.served_as < served_as && has_live_call(w, i)) {
            RC_ASSERT(it.in_progress >= std::floor(it.window));
        }
    }
    for (const auto& [number, call] : w.waiting) {
        RC_ASSERT((call.kind != taken.kind || number > taken.call || !is_live(w, call)));
    }
}

void expire(admission_world& w) {
    for (const auto& it : take_expired(w.admission, w.now)) {
        RC_ASSERT(w.waiting.erase(it.call) == 1U);
        RC_ASSERT(!is_live(w, it));
    }
    for (const auto& [number, call] : w.waiting) {
        const auto latency = std::max(w.admission.kinds[call.kind].latency_estimate, duration{1});
        RC_ASSERT(call.deadline - std::min(latency, (call.deadline - call.arrived) / 4) > w.now);
    }
}

void take(admission_world& w, const fuzz_step& step) {
    if (step.first % 2 == 0) {
        expire(w);
    }
    for (const auto& [number, call] : w.waiting) {
        if (!is_live(w, call)) {
            w.given_up.insert(number);
        }
    }
    while (const auto call = take_next(w.admission, w.now)) {
        RC_ASSERT(w.waiting.erase(call->call) == 1U);
        RC_ASSERT(call->deadline > w.now);
        w.running.push_back(call->kind);
        check_order(w, *call);
        check_window(w, call->kind);
    }
    for (std::size_t i = 0; i < kinds; ++i) {
        const auto& it = w.admission.kinds[i];
        const double share = it.rule.guaranteed_share * slots * it.demand_fraction;
        RC_ASSERT((it.in_progress >= std::floor(share) || !has_live_call(w, i)));
    }
}

void finish(admission_world& w, const fuzz_step& step) {
    if (w.running.empty()) {
        return;
    }
    const auto index = step.first % w.running.size();
    const auto kind = w.running[index];
    w.running.erase(w.running.begin() + static_cast<std::ptrdiff_t>(index));
    admission_feedback feedback{.shed = step.second % 13 == 0, .failed = step.second % 17 == 0};
    feedback.latency = std::chrono::microseconds(step.first * 50);
    feedback.server_slots = 4;
    if (step.second % 5 != 0) {
        feedback.report = load_report{.running = 4, .queued = step.second % 9, .service_time = 5ms};
    }
    note_finished(w.admission, kind, feedback, w.now);
}

void give_up(admission_world& w, const fuzz_step& step) {
    const auto it = w.waiting.find(step.first % w.next);
    const auto kind = it == w.waiting.end() ? step.second % kinds : it->second.kind;
    const bool removed = remove_waiting(w.admission, kind, step.first % w.next);
    RC_ASSERT(removed == (it != w.waiting.end()));
    if (removed) {
        w.waiting.erase(it);
    }
}

void check_limits(const admission_world& w) {
    for (std::size_t i = 0; i < kinds; ++i) {
        const auto& it = w.admission.kinds[i];
        const auto running = static_cast<std::size_t>(std::count(w.running.begin(), w.running.end(), i));
        RC_ASSERT(it.in_progress == running);
        RC_ASSERT(it.queue.size() + it.expired.size() == waiting_of(w, i));
        RC_ASSERT(it.queued_bytes == bytes_of(w, i));
        RC_ASSERT((it.window > 0.0 && it.window <= 3.0 * slots));
    }
}

// Guards against calls that are lost or sent twice, queues and windows over their limits, shares that are
// not kept and low-rank calls that overtake urgent ones.
TEST(admission_fuzz, queues_agree_with_the_model) {
    check_with_seed(20261204, cases, [] {
        admission_world w;
        for (std::size_t i = 0; i < kinds; ++i) {
            w.admission.kinds.push_back({.kind = kind_id(std::to_string(i))});
        }
        apply_capacity(w.admission, slots, 4, {1.0, 0.25, 0.25});
        switch_preset(w, *rc::gen::construct<fuzz_step>(rc::gen::just(0U), rc::gen::inRange(0U, 9U),
                                                        rc::gen::inRange(0U, 20U)));
        for (const auto& step : any_steps(16, 600)) {
            switch (step.action) {
            case 0:
                switch_preset(w, step);
                break;
            case 1:
                give_up(w, step);
                break;
            case 2:
            case 3:
            case 4:
                w.now += std::chrono::microseconds(step.first * 10);
                break;
            case 5:
            case 6:
            case 7:
                finish(w, step);
                break;
            case 8:
            case 9:
                take(w, step);
                break;
            default:
                arrive(w, step);
            }
            check_limits(w);
        }
    });
}

} // namespace
} // namespace endivelever
