#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <string_view>

namespace endivelever {

/// What a server says of its own load. It is stale when it arrives and may be wrong.
struct load_report {
    std::uint32_t running = 0; ///< calls in slots
    std::uint32_t queued = 0;  ///< calls waiting for a slot
    duration service_time{};   ///< recent mean time in a slot
    bool draining = false;
    /// How long work takes at this moment compared with the server's usual speed; 0 means not reported.
    double slowdown = 0.0;
};

/// Parses the Endivelever-Load header, for instance "running=3;queued=2;service_us=4800;draining=0".
/// @return the report, or error [decide.1]; unknown fields are ignored
result<load_report> parse_load_report(std::string_view text);

} // namespace endivelever
