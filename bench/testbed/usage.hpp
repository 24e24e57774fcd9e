#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"

#include <sys/types.h>

namespace endivelever::testbed {

/// What one process uses.
struct process_usage {
    duration cpu{};        ///< user and system time since the start
    byte_count resident{}; ///< resident memory
};

/// @return usage of a process that was started here; zeros if it has ended
process_usage usage_of(pid_t pid);

} // namespace endivelever::testbed
