#include "endivelever/decide/retry.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

struct retry_case {
    const char* name;
    failed_attempt attempt;
    double tokens;
    bool allowed;
};

class retry_decision : public testing::TestWithParam<retry_case> {};

// Guards against a repeated call that may have run, and against retries without budget or time.
TEST_P(retry_decision, takes_a_token_only_if_allowed) {
    retry_budget budget{.tokens = GetParam().tokens};
    EXPECT_EQ(allow_retry(budget, GetParam().attempt), GetParam().allowed);
    EXPECT_DOUBLE_EQ(budget.tokens, GetParam().tokens - (GetParam().allowed ? 1.0 : 0.0));
}

failed_attempt attempt_with(bool not_run, bool idempotent) {
    return {
        .certainly_not_run = not_run, .idempotent = idempotent, .body_replayable = true, .deadline_left = 1s};
}

failed_attempt changed(void (*change)(failed_attempt&)) {
    auto attempt = attempt_with(true, true);
    change(attempt);
    return attempt;
}

INSTANTIATE_TEST_SUITE_P(
    attempts, retry_decision,
    testing::Values(
        retry_case{"not_run", attempt_with(true, false), 5, true},
        retry_case{"idempotent", attempt_with(false, true), 5, true},
        retry_case{"may_have_run", attempt_with(false, false), 5, false},
        retry_case{"no_budget", attempt_with(true, true), 0.9, false},
        retry_case{"response_started", changed([](auto& it) { it.response_started = true; }), 5, false},
        retry_case{"body_gone", changed([](auto& it) { it.body_replayable = false; }), 5, false},
        retry_case{"attempts_used", changed([](auto& it) { it.attempts = max_attempts; }), 5, false},
        retry_case{"caller_retries", changed([](auto& it) { it.caller_attempt = 1; }), 5, false},
        retry_case{"no_time", changed([](auto& it) { it.deadline_left = 0ms; }), 5, false}),
    [](const auto& it) { return it.param.name; });

// Guards against reporting "not run" for a call of which a part of the response was seen.
TEST(retry_outcome, not_run_needs_certainty) {
    EXPECT_TRUE(may_say_not_run({.certainly_not_run = true}));
    EXPECT_FALSE(may_say_not_run({.certainly_not_run = false, .idempotent = true}));
    EXPECT_FALSE(may_say_not_run({.certainly_not_run = true, .response_started = true}));
}

// Guards against a budget that grows without bound in quiet times and then allows a storm.
TEST(retry_credit, is_bounded) {
    retry_budget budget;
    for (int i = 0; i < 1000; ++i) {
        note_first_attempt(budget, 0.1);
    }
    EXPECT_DOUBLE_EQ(budget.tokens, budget.max_tokens);
}

} // namespace
} // namespace endivelever
