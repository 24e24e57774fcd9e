#include "endivelever/decide/run_evidence.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace endivelever {
namespace {

using proofs = std::vector<not_run_proof>;

constexpr auto none = not_run_proof::none;
constexpr auto not_sent = not_run_proof::not_sent;
constexpr auto rejected = not_run_proof::rejected;
constexpr auto misdirected = not_run_proof::misdirected;

struct evidence_case {
    const char* name;
    proofs attempts;
    bool may_run;
};

struct run_evidence : testing::TestWithParam<evidence_case> {};

TEST_P(run_evidence, needs_a_proof_for_every_attempt) {
    EXPECT_EQ(GetParam().may_run, may_have_run(GetParam().attempts));
}

// Guards against a response that tells the caller that a request was not run although one attempt may have
// run it.
TEST_P(run_evidence, permits_a_promise_only_if_nothing_has_run) {
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        const auto permitted = response_status::permit(status, GetParam().attempts);
        EXPECT_EQ(GetParam().may_run ? 502U : status, permitted.value()) << status;
        EXPECT_EQ(GetParam().may_run, permitted.is_replaced()) << status;
    }
    for (const unsigned status : {200U, 206U, 304U, 400U, 404U, 413U, 431U, 500U, 502U, 504U}) {
        const auto permitted = response_status::permit(status, GetParam().attempts);
        EXPECT_EQ(status, permitted.value());
        EXPECT_FALSE(permitted.is_replaced()) << status;
    }
}

// Guards against a number that reaches callers as a status although no final response has it.
TEST_P(run_evidence, permits_only_statuses_of_final_responses) {
    for (const unsigned status : {0U, 1U, 99U, 100U, 101U, 199U, 600U, 999U}) {
        const auto permitted = response_status::permit(status, GetParam().attempts);
        EXPECT_EQ(502U, permitted.value()) << status;
        EXPECT_TRUE(permitted.is_replaced()) << status;
    }
}

INSTANTIATE_TEST_SUITE_P(
    attempts, run_evidence,
    testing::Values(evidence_case{"sent_nowhere", {}, false}, evidence_case{"may_have_run", {none}, true},
                    evidence_case{"not_sent", {not_sent}, false},
                    evidence_case{"rejected", {rejected}, false},
                    evidence_case{"misdirected", {misdirected}, false},
                    evidence_case{"first_may_have_run", {none, rejected}, true},
                    evidence_case{"last_may_have_run", {misdirected, none}, true},
                    evidence_case{"middle_may_have_run", {rejected, none, not_sent}, true},
                    evidence_case{"all_proven", {rejected, not_sent, misdirected}, false}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever
