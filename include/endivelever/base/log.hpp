#pragma once

#include "endivelever/base/time.hpp"

#include <cstdint>
#include <easylogging++.h>
#include <string>

namespace endivelever {

/// Limits one message to a number of lines a second, so that a flood of calls is no flood of log lines.
struct log_limit {
    std::uint32_t lines_per_second = 10;
    time_point window_start{};
    std::uint32_t lines_in_window = 0;
    std::uint64_t suppressed = 0;
};

/// @return true if the line may be written now; counts it as suppressed otherwise
bool allow_line(log_limit& limit, time_point now);

/// Sends logs to standard error only. Call once at program start.
/// @param level  "debug", "info", "warning" or "error"
void configure_logging(const std::string& level);

} // namespace endivelever
