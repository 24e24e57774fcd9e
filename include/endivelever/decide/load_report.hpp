#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <string_view>

namespace endivelever {

/// Load that a server reports about itself. It is out of date on arrival and may be wrong.
struct load_report {
    std::uint32_t running = 0; ///< calls that occupy a slot
    std::uint32_t queued = 0;  ///< calls waiting for a slot
    duration service_time{};   ///< recent mean time that a call occupies a slot
    bool draining = false;
    /// Current processing time relative to that at the server's usual speed; 0 means not reported.
    double slowdown = 0.0;
};

/// Parses the Endivelever-Load header, for instance "running=3;queued=2;service_us=4800;draining=0".
/// Unknown fields are ignored.
/// @return the report, or error [decide.1] if a known field is malformed or "running" is missing
result<load_report> parse_load_report(std::string_view text);

} // namespace endivelever
