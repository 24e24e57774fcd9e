#pragma once

#include <chrono>

namespace endivelever {

using duration = std::chrono::nanoseconds;

/// Clock that goes on while the process or the VM is paused (CLOCK_BOOTTIME), so that a lease that
/// lapsed during a pause is seen as lapsed on resume. Setting the wall clock does not move it.
struct boot_clock {
    using duration = endivelever::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    /// @return the present time; not comparable between VMs
    static time_point now();
};

using time_point = boot_clock::time_point;

/// @return microseconds since the Unix epoch, for people and traces only; it may jump
std::int64_t wall_clock_us();

constexpr double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

constexpr double to_milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

constexpr duration from_milliseconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

} // namespace endivelever
