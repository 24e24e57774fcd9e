#pragma once

#include "endivelever/base/time.hpp"

#include <cstdint>

namespace endivelever {

/// Token bucket that limits retries to a fraction of first attempts. One per service.
struct retry_budget {
    double tokens = 10.0;
    double max_tokens = 10.0;
};

/// What is known of a failed attempt.
struct failed_attempt {
    bool certainly_not_run = false;
    bool idempotent = false;
    bool response_started = false;    ///< part of the response already went to the caller
    bool body_replayable = false;     ///< the request body is empty or still held in memory
    std::uint32_t attempts = 1;       ///< so far, this one included
    std::uint32_t caller_attempt = 0; ///< retries already made by hops before this one
    duration deadline_left{};
};

constexpr std::uint32_t max_attempts = 3;

/// Part of the retries that a fleet may make beyond the ratio which one VM may keep ready. A retry takes a
/// whole token, so a share is at least one token; where the fleet has more VMs than its allowance covers,
/// only VMs with a low draw get one.
/// @param allowance  retries beyond the ratio in one window, over all VMs
/// @param vms        VMs of the fleet, those included that may not live any more
/// @param draw       number of this VM from 0 to 1, spread evenly over the fleet
/// @return limit of the VM's budget in tokens; over the fleet at most the allowance
double retry_share(std::uint32_t allowance, std::size_t vms, double draw);

/// Credits the budget for a first attempt, or debits it when the call itself is a retry of an earlier hop,
/// so that the retries of all hops together stay within the ratio.
/// @param ratio           retries per first attempt, 0 to 1
/// @param caller_attempt  retries already made by hops before this one
void note_first_attempt(retry_budget& budget, double ratio, std::uint32_t caller_attempt = 0);

/// Decides on a retry and takes a token if it is allowed.
bool allow_retry(retry_budget& budget, const failed_attempt& attempt);

/// True if a request that may be repeated should be sent to a second server although the first one may still
/// answer: a response of the second one would come within the latency target, or the first one seems stuck.
/// @param age     time since the request was sent
/// @param spent   time since it arrived
/// @param usual   median time of the service's responses; 0 if not known
/// @param target  latency target of the route
bool is_hedge_due(duration age, duration spent, duration usual, duration target);

/// What the caller may be told when the call ends without a complete response.
/// @return true if "not-run" is certain; otherwise the outcome is unknown
bool may_say_not_run(const failed_attempt& attempt);

} // namespace endivelever
