#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <deque>

namespace endivelever {

/// Strict limit on calls in any window of one second, whatever happened before. Unused calls are not saved
/// up, so the end of an outage brings no burst.
struct call_budget {
    std::uint32_t calls_per_second = 20;
    std::uint64_t refused = 0;
    std::deque<time_point> recent; ///< at most calls_per_second times, oldest first
};

/// @return true if the call may be made now; counts it as refused otherwise
bool take_call(call_budget& budget, time_point now);

/// Exponential back-off with jitter, so that members do not return to the store all at once.
struct back_off {
    duration shortest = std::chrono::milliseconds(100);
    duration longest = std::chrono::seconds(5);
    std::uint32_t failures = 0;
};

/// Counts a failure. @return delay before the next attempt, between half the present step and the step
duration next_delay(back_off& state, random_source& random);

/// @return a duration between 90 % and 110 % of `value`
duration with_jitter(duration value, random_source& random);

} // namespace endivelever
