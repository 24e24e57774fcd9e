#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"

#include <map>
#include <vector>

namespace endivelever {

/// Longest time for which the preset is considered current without new evidence. Leaves 2 s of the 6 s limit
/// on applying a switch for the propagation of the new preset.
constexpr duration preset_lease_limit = std::chrono::seconds(4);

/// When this control last had evidence that it knows the preset in force.
struct preset_lease_state {
    time_point last_store_read{};                ///< start of the last successful read of the store
    std::map<vm_id, time_point> last_heartbeats; ///< last heartbeat received from each member
};

/// @param listed  live entry VMs of the last VM list
/// @return the latest time such that a majority of `listed` was heard at that time or later; this VM, if
///         listed, counts as heard at `now`; the default time if fewer than a majority were ever heard
time_point last_majority_contact(const preset_lease_state& state, const vm_id& self,
                                 const std::vector<vm_id>& listed, time_point now);

/// @param listed  live entry VMs of the last VM list, this VM included
/// @return how long an entry may continue to treat the preset as current; zero if not at all
duration remaining_preset_lease(const preset_lease_state& state, const vm_id& self,
                                const std::vector<vm_id>& listed, time_point now);

} // namespace endivelever
