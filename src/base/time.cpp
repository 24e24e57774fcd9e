#include "endivelever/base/time.hpp"

#include <ctime>

namespace endivelever {

boot_clock::time_point boot_clock::now() {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
}

std::int64_t wall_clock_us() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

} // namespace endivelever
