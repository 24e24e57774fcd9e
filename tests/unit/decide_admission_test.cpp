#include "endivelever/decide/admission.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};

preset_kind_rule make_rule(const char* name, rank served_as, double share) {
    return {.kind = kind_id(name),
            .served_as = served_as,
            .guaranteed_share = share,
            .queue_items = 4,
            .queue_bytes = {1000}};
}

service_admission make_two_kinds(admission_policy policy = admission_policy::ranked) {
    service_admission admission;
    admission.service.admission = policy;
    admission.kinds.resize(2);
    admission.kinds[0].kind = kind_id("status");
    admission.kinds[1].kind = kind_id("order");
    apply_capacity(admission, 16, 1, {});
    preset rules;
    rules.kinds = {make_rule("status", rank::low, 0.25), make_rule("order", rank::urgent, 0.25)};
    apply_preset(admission, rules);
    return admission;
}

waiting_call make_call(call_number number, std::size_t kind, time_point arrived = start,
                       duration deadline = 1s) {
    return {.call = number,
            .kind = kind,
            .arrived = arrived,
            .deadline = arrived + deadline,
            .buffered_bytes = {10}};
}

struct refusal_case {
    const char* name;
    waiting_call call;
    std::size_t waiting;
    bool has_preset;
    refusal expected;
};

class refused_at_arrival : public testing::TestWithParam<refusal_case> {};

// Guards against unbounded queues and against queueing calls that cannot be answered in time.
TEST_P(refused_at_arrival, for_the_stated_reason) {
    auto admission = make_two_kinds();
    for (std::size_t i = 0; i < GetParam().waiting; ++i) {
        ASSERT_EQ(enqueue(admission, make_call(100 + i, 0), start), refusal::none);
    }
    admission.has_preset = GetParam().has_preset;
    EXPECT_EQ(enqueue(admission, GetParam().call, start), GetParam().expected);
}

waiting_call large_call() {
    auto call = make_call(1, 0);
    call.buffered_bytes = {1001};
    return call;
}

INSTANTIATE_TEST_SUITE_P(reasons, refused_at_arrival,
                         testing::Values(refusal_case{"accepted", make_call(1, 0), 3, true, refusal::none},
                                         refusal_case{"no_preset", make_call(1, 0), 0, false,
                                                      refusal::no_preset},
                                         refusal_case{"items", make_call(1, 0), 4, true, refusal::queue_full},
                                         refusal_case{"bytes", large_call(), 0, true, refusal::queue_full},
                                         refusal_case{"deadline", make_call(1, 0, start, 0ms), 0, true,
                                                      refusal::deadline_too_near}),
                         [](const auto& it) { return it.param.name; });

// Guards against low-rank calls overtaking urgent ones.
TEST(take_next_order, urgent_first_and_first_come_within_a_kind) {
    auto admission = make_two_kinds();
    enqueue(admission, make_call(1, 0), start);
    enqueue(admission, make_call(2, 0, start + 1ms), start + 1ms);
    enqueue(admission, make_call(3, 1, start + 2ms), start + 2ms);
    EXPECT_EQ(take_next(admission, start + 3ms)->call, 3U);
    EXPECT_EQ(take_next(admission, start + 3ms)->call, 1U);
}

TEST(take_next_order, fifo_baseline_ignores_ranks) {
    auto admission = make_two_kinds(admission_policy::fifo);
    enqueue(admission, make_call(1, 0), start);
    enqueue(admission, make_call(2, 1, start + 1ms), start + 1ms);
    EXPECT_EQ(take_next(admission, start + 3ms)->call, 1U);
}

// Guards against dispatching a call after its caller was told "not run".
TEST(waiting_calls, expired_and_removed_calls_are_never_taken) {
    auto admission = make_two_kinds();
    enqueue(admission, make_call(1, 0, start, 10ms), start);
    enqueue(admission, make_call(2, 0), start);
    enqueue(admission, make_call(3, 0), start);
    EXPECT_TRUE(remove_waiting(admission, 0, 2));
    EXPECT_FALSE(remove_waiting(admission, 0, 2));
    const auto expired = take_expired(admission, start + 10ms);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].call, 1U);
    EXPECT_EQ(admission.kinds[0].queued_bytes.value, 10U);
    EXPECT_EQ(take_next(admission, start + 10ms)->call, 3U);
    EXPECT_FALSE(take_next(admission, start + 10ms));
}

struct window_case {
    const char* name;
    std::uint32_t queued; ///< at a server with 4 slots
    bool shed;
    bool low_grows;
    bool urgent_grows;
};

class window_by_rank : public testing::TestWithParam<window_case> {};

// Guards against low-rank calls that keep the servers' queues full while urgent calls wait in them, and
// against unbounded windows.
TEST_P(window_by_rank, follows_the_reported_queue) {
    auto admission = make_two_kinds();
    const double before = admission.kinds[0].window;
    enqueue(admission, make_call(1, 0), start);
    enqueue(admission, make_call(2, 1), start);
    for (int i = 0; i < 1000; ++i) {
        const admission_feedback feedback{.shed = GetParam().shed,
                                          .latency = 5ms,
                                          .report =
                                              load_report{.queued = GetParam().queued, .service_time = 5ms},
                                          .server_slots = 4};
        record_completion(admission, 1, feedback, start + i * 1ms);
    }
    EXPECT_EQ(admission.kinds[0].window > before, GetParam().low_grows);
    EXPECT_EQ(admission.kinds[1].window > before, GetParam().urgent_grows);
    EXPECT_LE(admission.kinds[1].window, 3.0 * 16);
    EXPECT_GT(admission.kinds[0].window, 0.0);
}

INSTANTIATE_TEST_SUITE_P(reports, window_by_rank,
                         testing::Values(window_case{"idle", 0, false, true, true},
                                         window_case{"short_queue", 3, false, false, true},
                                         window_case{"long_queue", 8, false, false, false},
                                         window_case{"shed", 0, true, false, false}),
                         [](const auto& it) { return it.param.name; });

// Guards against an entry without calls in progress that never leaves the overload state, because no report
// arrives that could reset it.
TEST(window_recovery, old_signals_are_forgotten) {
    auto admission = make_two_kinds();
    for (int i = 0; i < 100; ++i) {
        record_completion(admission, 0, {.shed = true, .latency = 5ms}, start);
    }
    EXPECT_LT(admission.kinds[0].window, 1.0);
    enqueue(admission, make_call(1, 0, start + 60ms), start + 60ms);
    EXPECT_TRUE(take_next(admission, start + 60ms));
    EXPECT_GE(admission.kinds[0].window, 1.0);
}

// Guards against queueing calls behind more calls than can be served before their deadline.
TEST(early_refusal, counts_the_calls_ahead) {
    auto admission = make_two_kinds();
    admission.kinds[0].rule.queue_items = 1000;
    admission.kinds[0].rule.guaranteed_share = 0.0;
    admission.kinds[0].window = 1.0;
    admission.kinds[0].rule.queue_bytes = {100000};
    call_number accepted = 0;
    while (accepted < 1000 &&
           enqueue(admission, make_call(accepted, 0, start, 100ms), start) == refusal::none) {
        ++accepted;
    }
    // With one call in progress at a time and 5 ms per call, 20 calls fit into 100 ms.
    EXPECT_GE(accepted, 10U);
    EXPECT_LE(accepted, 20U);
}

// Guards against a kind losing its guaranteed share to another kind's calls in progress.
TEST(guaranteed_share, is_kept_under_a_flood_of_another_kind) {
    auto admission = make_two_kinds();
    for (auto& it : admission.kinds) {
        it.window = 0.0;
        it.rule.queue_items = 100;
    }
    for (call_number i = 0; i < 100; ++i) {
        enqueue(admission, make_call(i, 1), start);
        enqueue(admission, make_call(1000 + i, 0), start);
    }
    while (take_next(admission, start)) {
    }
    EXPECT_GE(admission.kinds[0].in_progress, 4U);
    EXPECT_GE(admission.kinds[1].in_progress, 4U);
}

} // namespace
} // namespace endivelever
