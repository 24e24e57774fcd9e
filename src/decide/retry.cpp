#include "endivelever/decide/retry.hpp"

#include <algorithm>

namespace endivelever {
namespace detail {

// With less time left, no response can be expected and a retry would only add load.
constexpr duration min_deadline_left = std::chrono::milliseconds(1);

// Limit on the token debt, in multiples of max_tokens. Retries by earlier hops come in bursts, and debt
// beyond the limit would never be repaid by later first attempts.
constexpr double max_debt_factor = 10.0;

// A second attempt is expected to respond within this percentage of the median.
constexpr int hedge_response_percent = 120;
// An attempt is slow from this percentage of the median on. Most attempts end earlier by themselves.
constexpr int slow_attempt_percent = 125;
// Interval between two reviews of a request. The hedge is sent at the last review that is early enough.
constexpr duration review_interval = std::chrono::milliseconds(15);
// An attempt that has taken this many medians is considered stuck.
constexpr int stuck_medians = 5;

// Fraction of the allowance that is distributed; the rest is a reserve for VMs that are not counted yet.
constexpr double distributed_fraction = 0.8;

bool is_safe_to_repeat(const failed_attempt& attempt) {
    if (attempt.response_started || !attempt.body_replayable) {
        return false;
    }
    return attempt.certainly_not_run || attempt.idempotent;
}

} // namespace detail

double vm_retry_limit(std::uint32_t allowance, std::size_t vms, double sample) {
    const double share =
        detail::distributed_fraction * allowance / static_cast<double>(std::max<std::size_t>(1, vms));
    if (share >= 1.0) {
        return share;
    }
    return sample < share ? 1.0 : 0.0;
}

void record_first_attempt(retry_budget& budget, double ratio, std::uint32_t caller_attempt) {
    const double change = caller_attempt > 0 ? -1.0 : std::clamp(ratio, 0.0, 1.0);
    budget.tokens =
        std::clamp(budget.tokens + change, detail::max_debt_factor * -budget.max_tokens, budget.max_tokens);
}

bool allow_retry(retry_budget& budget, const failed_attempt& attempt) {
    if (!detail::is_safe_to_repeat(attempt)) {
        return false;
    }
    // An earlier hop is already retrying the call within its own budget; retries at several hops would
    // multiply.
    if (attempt.caller_attempt > 0 || attempt.attempts >= max_attempts) {
        return false;
    }
    if (attempt.deadline_left < detail::min_deadline_left || budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

bool is_hedge_due(duration age, duration spent, duration median, duration target) {
    if (median <= duration::zero()) {
        return false;
    }
    const auto latest_hedge = target - detail::hedge_response_percent * median / 100;
    const bool in_time = spent <= latest_hedge;
    const bool can_wait = spent + detail::review_interval <= latest_hedge;
    const bool is_slow = age >= detail::slow_attempt_percent * median / 100;
    return (is_slow && in_time && !can_wait) || age >= detail::stuck_medians * median;
}

bool can_report_not_run(const failed_attempt& attempt) {
    return attempt.certainly_not_run && !attempt.response_started;
}

} // namespace endivelever
