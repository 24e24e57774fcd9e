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

/// Credits the budget for a first attempt, or debits it when the call itself is a retry of an earlier hop,
/// so that the retries of all hops together stay within the ratio.
/// @param ratio           retries per first attempt, 0 to 1
/// @param caller_attempt  retries already made by hops before this one
void note_first_attempt(retry_budget& budget, double ratio, std::uint32_t caller_attempt = 0);

/// Decides on a retry and takes a token if it is allowed.
bool allow_retry(retry_budget& budget, const failed_attempt& attempt);

/// What the caller may be told when the call ends without a complete response.
/// @return true if "not-run" is certain; otherwise the outcome is unknown
bool may_say_not_run(const failed_attempt& attempt);

} // namespace endivelever
