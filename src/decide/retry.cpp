#include "endivelever/decide/retry.hpp"

#include <algorithm>

namespace endivelever {
namespace detail {

// A retry that cannot be answered within this time only adds load.
constexpr duration min_deadline_left = std::chrono::milliseconds(1);

// Retries of earlier hops come in bursts; a debt that is cut off would be repaid by no one.
constexpr double max_debt_factor = 10.0;

// A response of a second server is expected within this part of the median.
constexpr int rescue_factor_percent = 120;
// Before this part of the median most requests still end by themselves.
constexpr int late_factor_percent = 125;
// Requests are reviewed this often; the last review before it would be too late decides.
constexpr duration review_gap = std::chrono::milliseconds(15);
// A request that takes this many medians is taken as stuck.
constexpr int stuck_factor = 5;

// Part of the allowance that is handed out; the rest covers VMs that are not counted yet.
constexpr double used_allowance = 0.8;

bool is_safe_to_repeat(const failed_attempt& attempt) {
    if (attempt.response_started || !attempt.body_replayable) {
        return false;
    }
    return attempt.certainly_not_run || attempt.idempotent;
}

} // namespace detail

double retry_share(std::uint32_t allowance, std::size_t vms, double draw) {
    const double share =
        detail::used_allowance * allowance / static_cast<double>(std::max<std::size_t>(1, vms));
    if (share >= 1.0) {
        return share;
    }
    return draw < share ? 1.0 : 0.0;
}

void note_first_attempt(retry_budget& budget, double ratio, std::uint32_t caller_attempt) {
    const double change = caller_attempt > 0 ? -1.0 : std::clamp(ratio, 0.0, 1.0);
    budget.tokens =
        std::clamp(budget.tokens + change, detail::max_debt_factor * -budget.max_tokens, budget.max_tokens);
}

bool allow_retry(retry_budget& budget, const failed_attempt& attempt) {
    if (!detail::is_safe_to_repeat(attempt)) {
        return false;
    }
    // A hop that already repeats the call has the budget for it; a second repetition here would multiply.
    if (attempt.caller_attempt > 0 || attempt.attempts >= max_attempts) {
        return false;
    }
    if (attempt.deadline_left < detail::min_deadline_left || budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

bool is_hedge_due(duration age, duration spent, duration usual, duration target) {
    if (usual <= duration::zero()) {
        return false;
    }
    const auto latest_rescue = target - detail::rescue_factor_percent * usual / 100;
    const bool in_time = spent <= latest_rescue;
    const bool can_wait = spent + detail::review_gap <= latest_rescue;
    const bool is_late = age >= detail::late_factor_percent * usual / 100;
    return (is_late && in_time && !can_wait) || age >= detail::stuck_factor * usual;
}

bool may_say_not_run(const failed_attempt& attempt) {
    return attempt.certainly_not_run && !attempt.response_started;
}

} // namespace endivelever
