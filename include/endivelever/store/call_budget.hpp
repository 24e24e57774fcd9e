#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <deque>

namespace endivelever {

/// Sliding-window limit on the calls in any interval of one second. Unused calls do not accumulate, so the
/// end of an outage causes no burst.
struct call_budget {
    std::uint32_t calls_per_second = 20;
    std::uint64_t refused = 0;
    std::deque<time_point> recent; ///< times of calls in the window, oldest first; at most calls_per_second
};

/// Records a call if the limit permits it, and counts it in `refused` otherwise.
/// @return true if the call may be made now
bool try_take_call(call_budget& budget, time_point now);

/// Exponential back-off with jitter, which keeps members from retrying the store at the same time.
struct back_off {
    duration min_delay = std::chrono::milliseconds(100); ///< step after the first failure
    duration max_delay = std::chrono::seconds(5);
    std::uint32_t failures = 0; ///< since the last success; the user resets it
};

/// Counts a failure.
/// @return delay before the next attempt: random between half of the current step and the whole step. The
/// step starts at `min_delay` and doubles with each failure up to `max_delay`.
duration next_delay(back_off& state, random_source& random);

/// @return random duration between 90 % and 110 % of `value`
duration with_jitter(duration value, random_source& random);

} // namespace endivelever
