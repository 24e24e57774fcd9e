#include "endivelever/base/random.hpp"
#include "endivelever/decide/retry.hpp"

#include "fuzz/fixed_seed.hpp"
#include "fuzz/fuzz_step.hpp"

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr int num_cases = 1000;

// Guards against retries beyond the budget and against repeating a call that may have run.
TEST(retry_fuzz, budget_is_never_exceeded) {
    check_with_seed(20261204, num_cases, [] {
        retry_budget budget;
        const double ratio = *rc::gen::inRange(0, 100) / 100.0;
        double first_attempts = 0;
        double retries = 0;
        for (const auto& it : any_steps(2, 400)) {
            if (it.action == 0) {
                const bool repeated_by_caller = it.first % 8 == 0;
                record_first_attempt(budget, ratio, repeated_by_caller ? 1 : 0);
                first_attempts += repeated_by_caller ? 0 : 1;
                continue;
            }
            const failed_attempt attempt{.certainly_not_run = it.first % 2 == 0,
                                         .idempotent = it.first % 3 == 0,
                                         .response_started = it.first % 5 == 0,
                                         .body_replayable = it.first % 7 != 0,
                                         .attempts = 1 + it.second % 3,
                                         .caller_attempt = it.second % 11 == 0 ? 1U : 0U,
                                         .deadline_left = 100ms};
            if (allow_retry(budget, attempt)) {
                ++retries;
                RC_ASSERT((attempt.certainly_not_run || attempt.idempotent));
                RC_ASSERT((!attempt.response_started && attempt.body_replayable));
                RC_ASSERT((attempt.caller_attempt == 0U && attempt.attempts < max_attempts));
            }
            RC_ASSERT(retries <= budget.max_tokens + ratio * first_attempts + 1e-6);
        }
    });
}

/// Services that call each other in a chain. The entry in front of each one has its own retry budget.
struct call_chain {
    std::vector<retry_budget> budgets;
    std::vector<std::size_t> load; ///< attempts that reach the servers of each hop
    double shed_ratio = 0.5;
    random_source random{1, 1};
};

bool call_hop(call_chain& chain, std::size_t hop, std::uint32_t caller_attempt) {
    if (hop == chain.budgets.size()) {
        return true;
    }
    auto& budget = chain.budgets[hop];
    record_first_attempt(budget, 0.1, caller_attempt);
    for (std::uint32_t attempt = 1;; ++attempt) {
        ++chain.load[hop];
        const bool shed = random_unit(chain.random) < chain.shed_ratio;
        if (!shed && call_hop(chain, hop + 1, caller_attempt + attempt - 1)) {
            return true;
        }
        const failed_attempt failure{.certainly_not_run = shed,
                                     .idempotent = true,
                                     .body_replayable = true,
                                     .attempts = attempt,
                                     .caller_attempt = caller_attempt,
                                     .deadline_left = 1s};
        if (!allow_retry(budget, failure)) {
            return false;
        }
    }
}

// Guards against retries that multiply over several hops: 13 hops with 10 % retries each would cause 1.1^13
// = 3.5 times the load.
TEST(retry_fuzz, retries_of_13_hops_do_not_multiply) {
    check_with_seed(20261204, num_cases, [] {
        constexpr std::size_t calls = 2000;
        const auto hops = static_cast<std::size_t>(*rc::gen::inRange(1, 14));
        call_chain chain{std::vector<retry_budget>(hops), std::vector<std::size_t>(hops, 0)};
        chain.shed_ratio = *rc::gen::inRange(0, 100) / 100.0;
        chain.random.seed(*rc::gen::arbitrary<std::uint64_t>());
        for (std::size_t i = 0; i < calls; ++i) {
            call_hop(chain, 0, 0);
        }
        for (const auto& it : chain.load) {
            RC_ASSERT(static_cast<double>(it) <= 1.1 * calls + retry_budget{}.max_tokens);
        }
    });
}

} // namespace
} // namespace endivelever
