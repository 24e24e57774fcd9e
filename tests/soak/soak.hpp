#pragma once

#include "endivelever/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace endivelever::soak {

struct soak_options {
    std::uint64_t seed = 1;
    duration fault_time = std::chrono::seconds(4); ///< in which faults come; recovery follows
    int fault_gap_factor = 1; ///< makes faults rarer: quotas are in use only some seconds after a takeover
    std::size_t gateways = 3;
    std::size_t servers = 5;
    std::string program; ///< path of endivelever-gateway
};

struct soak_report {
    std::uint32_t calls = 0;
    std::uint32_t done = 0;
    std::uint32_t refused = 0; ///< certainly not run
    std::uint32_t unclear = 0;
    std::size_t most_in_window = 0;      ///< requests of the limited tenant that ran in a window of its quota
    std::vector<std::string> faults;     ///< in the order of their begin
    std::vector<std::string> violations; ///< promises that were broken
};

/// Runs real gateway processes on loopback with stand-ins of store and servers, injects random faults from
/// outside and checks from the callers' and servers' side:
/// - a request that may run once runs once at most;
/// - a status that denies a run is true;
/// - a success is the whole response of the request's own server;
/// - a server gets the tenant of the caller's key, and no key;
/// - a request with an unknown key, or one that was revoked longer ago than its bound, does not run;
/// - no request reaches an evacuated failure domain later than its bound;
/// - a tenant's quota is not passed in any window;
/// - within one life of a process a configuration never goes back;
/// - after the faults every gateway serves again with the newest configuration.
soak_report run_soak(const soak_options& options);

} // namespace endivelever::soak
