#pragma once

#include "endivelever/base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace endivelever {

/// Servers of one service. Their work takes longer above a share of busy slots and while their machine is
/// slow.
struct emulated_servers {
    std::size_t count = 14;
    std::uint32_t slots = 6;
    std::uint32_t queue_limit = 12;
    duration work = std::chrono::milliseconds(70); ///< median; most work differs by up to a third
    double free_share = 0.8;                       ///< share of busy slots without an effect on the work
    double full_factor = 1.7;
    double slow_share = 0.25; ///< part of the time in which a machine is slow
    double slowdown = 4.0;
    duration speed_period = std::chrono::milliseconds(300);
};

/// Requests of callers that repeat a refused request once.
struct emulated_callers {
    double per_second = 200.0;
    double burst_factor = 1.0; ///< applies from `burst_begin` to `end`
    duration target = std::chrono::milliseconds(250);
    duration deadline = std::chrono::milliseconds(1000);
    duration burst_begin = std::chrono::seconds(6);
    duration end = std::chrono::seconds(12);
};

/// Parts of the placement that a run may leave out.
struct emulated_policy {
    bool learns = true;  ///< response times and speeds are learned
    bool refuses = true; ///< requests are refused by the pace of the queue
};

/// What callers got for their requests that began after `burst_begin`.
struct emulated_outcome {
    std::size_t offered = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0;       ///< after the last attempt
    std::size_t refusals = 0;      ///< refused attempts
    std::size_t late_refusals = 0; ///< refusals that left less than the latency target until the deadline
};

/// Plays a load in virtual time: `vms` gateway VMs with the real decisions, each with its own delayed view of
/// the servers.
emulated_outcome play_overload(const emulated_servers& servers, const emulated_callers& callers,
                               const emulated_policy& policy, std::size_t vms, std::uint64_t seed);

} // namespace endivelever
