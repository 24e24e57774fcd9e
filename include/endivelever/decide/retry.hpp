#pragma once

#include "endivelever/base/time.hpp"

#include <cstdint>

namespace endivelever {

/// Token bucket that limits retries to a fraction of first attempts. One per service.
/// The number of tokens may be negative: retries by earlier hops are debited even without tokens.
struct retry_budget {
    double tokens = 10.0;
    double max_tokens = 10.0;
};

/// Properties of a failed attempt that decide on a retry.
struct failed_attempt {
    bool certainly_not_run = false; ///< the server did not start the request
    bool idempotent = false;
    bool response_started = false;    ///< part of the response was already sent to the caller
    bool body_replayable = false;     ///< the request body is empty or still fully buffered
    std::uint32_t attempts = 1;       ///< attempts so far, including this one
    std::uint32_t caller_attempt = 0; ///< retries already made by earlier hops
    duration deadline_left{};         ///< time left until the deadline
};

/// Attempts per request, including the first one.
constexpr std::uint32_t max_attempts = 3;

/// Computes this VM's part of the burst of retries that the fleet may make beyond the retry ratio. A retry
/// takes a whole token, so a budget below one token would never allow a retry: if there are more VMs than
/// the allowance covers, only those with a low sample get one token each.
/// @param allowance  retries beyond the ratio in one window, for the whole fleet
/// @param vms        number of VMs in the fleet, including those that may have failed
/// @param sample     value of this VM in [0, 1), distributed uniformly over the fleet
/// @return retry_budget::max_tokens of this VM; the sum over the fleet is at most the allowance
///         if the samples are evenly spread
double vm_retry_limit(std::uint32_t allowance, std::size_t vms, double sample);

/// Credits the budget for a first attempt, or debits it if the call is itself a retry by an earlier hop, so
/// that the retries of all hops together stay within the ratio.
/// @param ratio           retries per first attempt, 0 to 1
/// @param caller_attempt  retries already made by earlier hops
void record_first_attempt(retry_budget& budget, double ratio, std::uint32_t caller_attempt = 0);

/// Decides whether to retry, and takes a token if so.
bool allow_retry(retry_budget& budget, const failed_attempt& attempt);

/// True if a repeatable request should now be sent to a second server while the first attempt is in progress:
/// the attempt is slow and this is the last review at which a second response could still meet the latency
/// target, or the attempt seems stuck.
/// @param age     time since the request was sent
/// @param spent   time since it arrived
/// @param median  median response time of the service; 0 if unknown
/// @param target  latency target of the route
bool is_hedge_due(duration age, duration spent, duration median, duration target);

/// Decides the outcome reported to the caller when the call ends without a complete response.
/// @return true for "not-run", false for "unknown"
bool can_report_not_run(const failed_attempt& attempt);

} // namespace endivelever
