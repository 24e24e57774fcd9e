#include "endivelever/decide/call_registry.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

struct id_case {
    const char* name;
    std::string text;
    bool valid;
};

class call_id_text : public testing::TestWithParam<id_case> {};

// Guards against two accepted spellings of one id, which would count as two calls.
TEST_P(call_id_text, has_one_spelling) {
    const auto parts = parse_call_id(call_id(GetParam().text));
    ASSERT_EQ(parts.has_value(), GetParam().valid);
    if (parts) {
        EXPECT_EQ(call_id_prefix(parts->vm, parts->life, parts->generation) + "." + parts->unique,
                  GetParam().text);
    }
}

INSTANTIATE_TEST_SUITE_P(
    ids, call_id_text,
    testing::Values(id_case{"usual", "vm-03.9f2c41aa.12.a_B-1", true},
                    id_case{"largest", "v.ffffffffffffffff.18446744073709551615.x", true},
                    id_case{"longest", "v.1.1." + std::string(64, 'x'), true},
                    id_case{"too_long", "v.1.1." + std::string(65, 'x'), false}, id_case{"empty", "", false},
                    id_case{"no_unique", "v.1.1", false}, id_case{"empty_unique", "v.1.1.", false},
                    id_case{"five_parts", "v.1.1.x.y", false}, id_case{"no_vm", ".1.1.x", false},
                    id_case{"no_life", "v..1.x", false}, id_case{"upper_life", "v.9F.1.x", false},
                    id_case{"padded_life", "v.09.1.x", false}, id_case{"life_0", "v.0.1.x", false},
                    id_case{"wide_life", "v.10000000000000000.1.x", false},
                    id_case{"generation_0", "v.1.0.x", false}, id_case{"hex_generation", "v.1.a.x", false},
                    id_case{"signed_generation", "v.1.+1.x", false},
                    id_case{"padded_generation", "v.1.01.x", false}, id_case{"space", "v.1.1.x y", false},
                    id_case{"line_break", "v.1.1.x\n", false},
                    id_case{"zero_byte", std::string("v.1.1.x\0", 8), false}),
    [](const auto& it) { return it.param.name; });

struct registry_test : testing::Test {
    call_registry registry;
    time_point now{1000s};
    call_id id{"vm-1.a.1.x"};

    void SetUp() override {
        registry.vm = vm_id("vm-1");
        registry.life = incarnation{10};
        registry.generation_start = now;
    }

    arrival arrive(std::uint64_t waiter = 0, std::uint64_t fingerprint = 7) {
        return register_arrival(registry, id, fingerprint, waiter, now);
    }
};

TEST_F(registry_test, duplicate_waits_and_then_gets_the_cached_response) {
    EXPECT_EQ(arrive().action, arrival_action::run);
    EXPECT_EQ(arrive(1).action, arrival_action::wait);
    EXPECT_EQ(arrive(2).action, arrival_action::wait);
    remove_waiter(registry, id, 1);
    const auto waiters = finish_call(registry, id, call_outcome::done, {201, "text/plain", "taken", true});
    EXPECT_EQ(waiters, std::vector<std::uint64_t>{2});
    const auto again = arrive();
    ASSERT_EQ(again.action, arrival_action::answer_done);
    EXPECT_EQ(again.call->response.status, 201U);
    EXPECT_EQ(again.call->response.body, "taken");
    EXPECT_TRUE(again.call->response.complete);
}

TEST_F(registry_test, id_reused_for_another_request_is_refused) {
    arrive();
    EXPECT_EQ(arrive(0, 8).action, arrival_action::refuse_invalid);
}

TEST_F(registry_test, outcome_decides_whether_an_id_runs_again) {
    arrive();
    finish_call(registry, id, call_outcome::not_run, {});
    EXPECT_EQ(arrive().action, arrival_action::run);
    finish_call(registry, id, call_outcome::unknown, {});
    EXPECT_EQ(arrive().action, arrival_action::answer_unknown);
    finish_call(registry, id, call_outcome::not_run, {});
    EXPECT_EQ(arrive().action, arrival_action::answer_unknown);
}

// Guards against a flood of refused calls that fills the registry until their generations expire, ten minutes
// later.
TEST_F(registry_test, calls_that_did_not_run_take_no_space) {
    registry.max_calls = 1;
    for (int i = 0; i < 3; ++i) {
        id = call_id("vm-1.a.1." + std::to_string(i));
        EXPECT_EQ(arrive().action, arrival_action::run);
        finish_call(registry, id, call_outcome::not_run, {});
    }
    EXPECT_EQ(arrive().action, arrival_action::run);
    id = call_id("vm-1.a.1.other");
    EXPECT_EQ(arrive().action, arrival_action::answer_not_run);
}

TEST_F(registry_test, id_is_accepted_for_two_generations) {
    now += 9min + 59s;
    EXPECT_EQ(arrive().action, arrival_action::run);
    now += 1s;
    EXPECT_EQ(arrive().action, arrival_action::answer_unknown);
}

// Guards against losing the waiting callers of a running call when its generation expires.
TEST_F(registry_test, call_that_outlives_its_generation_still_answers_its_waiters) {
    arrive();
    arrive(3);
    now += 11min;
    advance_generation(registry, now);
    EXPECT_EQ(finish_call(registry, id, call_outcome::done, {}), std::vector<std::uint64_t>{3});
    EXPECT_EQ(registry.registered, 0U);
}

TEST_F(registry_test, ids_of_other_vms_incarnations_and_generations_never_run) {
    id = call_id("vm-2.a.1.x");
    EXPECT_EQ(arrive().action, arrival_action::forward);
    EXPECT_EQ(arrive().issuer, vm_id("vm-2"));
    id = call_id("vm-1.b.1.x");
    EXPECT_EQ(arrive().action, arrival_action::answer_unknown);
    id = call_id("vm-1.9.1.x");
    EXPECT_EQ(arrive().action, arrival_action::answer_unknown);
    id = call_id("vm-1.a.2.x");
    EXPECT_EQ(arrive().action, arrival_action::refuse_invalid);
    EXPECT_EQ(registry.registered, 0U);
}

TEST_F(registry_test, response_that_does_not_fit_is_marked_incomplete) {
    registry.max_cached_bytes = byte_count{8};
    arrive();
    finish_call(registry, id, call_outcome::done, {200, "a", "12345678", true});
    const auto again = arrive();
    ASSERT_EQ(again.action, arrival_action::answer_done);
    EXPECT_EQ(again.call->response.status, 200U);
    EXPECT_FALSE(again.call->response.complete);
    EXPECT_EQ(registry.cached_bytes.value, 0U);
}

// Guards against clearing a full registry in a single step, which would block all other calls.
TEST_F(registry_test, expired_ids_are_removed_incrementally) {
    registry.max_calls = 1000;
    for (int i = 0; i < 1000; ++i) {
        id = call_id("vm-1.a.1." + std::to_string(i));
        arrive();
        finish_call(registry, id, call_outcome::done, {});
    }
    now += 10min;
    advance_generation(registry, now);
    EXPECT_GT(registry.registered, 500U);
    EXPECT_EQ(arrive().action, arrival_action::answer_unknown);
    for (int i = 0; i < 4; ++i) {
        advance_generation(registry, now);
    }
    EXPECT_EQ(registry.registered, 0U);
    EXPECT_TRUE(registry.by_generation.empty());
}

} // namespace
} // namespace endivelever
