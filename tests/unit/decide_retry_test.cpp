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

// Guards against repeating a call that may have run, and against retries without budget or time.
TEST_P(retry_decision, takes_a_token_only_if_allowed) {
    retry_budget budget{.tokens = GetParam().tokens};
    EXPECT_EQ(allow_retry(budget, GetParam().attempt), GetParam().allowed);
    EXPECT_DOUBLE_EQ(budget.tokens, GetParam().tokens - (GetParam().allowed ? 1.0 : 0.0));
}

failed_attempt make_attempt(bool not_run, bool idempotent) {
    return {
        .certainly_not_run = not_run, .idempotent = idempotent, .body_replayable = true, .deadline_left = 1s};
}

failed_attempt modified_attempt(void (*modify)(failed_attempt&)) {
    auto attempt = make_attempt(true, true);
    modify(attempt);
    return attempt;
}

INSTANTIATE_TEST_SUITE_P(
    attempts, retry_decision,
    testing::Values(
        retry_case{"not_run", make_attempt(true, false), 5, true},
        retry_case{"idempotent", make_attempt(false, true), 5, true},
        retry_case{"may_have_run", make_attempt(false, false), 5, false},
        retry_case{"no_budget", make_attempt(true, true), 0.9, false},
        retry_case{"response_started", modified_attempt([](auto& it) { it.response_started = true; }), 5,
                   false},
        retry_case{"body_gone", modified_attempt([](auto& it) { it.body_replayable = false; }), 5, false},
        retry_case{"attempts_used", modified_attempt([](auto& it) { it.attempts = max_attempts; }), 5, false},
        retry_case{"caller_retries", modified_attempt([](auto& it) { it.caller_attempt = 1; }), 5, false},
        retry_case{"no_time", modified_attempt([](auto& it) { it.deadline_left = 0ms; }), 5, false}),
    [](const auto& it) { return it.param.name; });

// Guards against reporting "not run" for a call whose response has started.
TEST(retry_outcome, not_run_needs_certainty) {
    EXPECT_TRUE(can_report_not_run({.certainly_not_run = true}));
    EXPECT_FALSE(can_report_not_run({.certainly_not_run = false, .idempotent = true}));
    EXPECT_FALSE(can_report_not_run({.certainly_not_run = true, .response_started = true}));
}

// Guards against a budget that accumulates without bound during low failure rates and then allows a retry
// storm.
TEST(retry_credit, is_bounded) {
    retry_budget budget;
    for (int i = 0; i < 1000; ++i) {
        record_first_attempt(budget, 0.1);
    }
    EXPECT_DOUBLE_EQ(budget.tokens, budget.max_tokens);
}

struct fleet_case {
    const char* name;
    std::uint32_t allowance;
    std::size_t vms;
    double min_retrying_fraction; ///< minimum fraction of VMs that can retry at all
};

struct fleet_retries : testing::TestWithParam<fleet_case> {};

// Guards against dividing the allowance so finely that no VM holds a whole token and a large fleet never
// retries, and against VM budgets whose sum exceeds the allowance.
TEST_P(fleet_retries, vms_can_retry_and_stay_within_the_allowance) {
    double sum = 0.0;
    std::size_t retrying = 0;
    for (std::size_t i = 0; i < GetParam().vms; ++i) {
        const double sample = (static_cast<double>(i) + 0.5) / static_cast<double>(GetParam().vms);
        retry_budget budget{.tokens = 0.0,
                            .max_tokens = vm_retry_limit(GetParam().allowance, GetParam().vms, sample)};
        sum += budget.max_tokens;
        for (int request = 0; request < 20; ++request) {
            record_first_attempt(budget, 0.2);
        }
        retrying += allow_retry(budget, make_attempt(true, true)) ? 1 : 0;
    }
    EXPECT_LE(sum, GetParam().allowance);
    EXPECT_GE(static_cast<double>(retrying),
              GetParam().min_retrying_fraction * static_cast<double>(GetParam().vms));
}

INSTANTIATE_TEST_SUITE_P(sizes, fleet_retries,
                         testing::Values(fleet_case{"vms_13", 56, 13, 1.0}, fleet_case{"vms_16", 60, 16, 1.0},
                                         fleet_case{"vms_109", 176, 109, 1.0},
                                         fleet_case{"vms_138", 212, 138, 1.0},
                                         fleet_case{"vms_472", 630, 472, 1.0},
                                         fleet_case{"more_vms_than_allowance", 630, 2000, 0.2}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever
