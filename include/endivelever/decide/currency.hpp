#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"

#include <map>
#include <vector>

namespace endivelever {

/// Longest time without proof that the preset is current. Leaves 2 s of the 6 s limit for spreading.
constexpr duration currency_limit = std::chrono::seconds(4);

/// When this control last had proof that it knows the preset in force.
struct currency_state {
    time_point store_read{};                ///< start of the last successful read of the store
    std::map<vm_id, time_point> heartbeats; ///< last heartbeat received from each member
};

/// @param listed  live entry VMs of the last VM list
/// @return the latest time by which a majority of `listed` had been heard of, this VM counted if it is
///         listed; the default time if there was none
time_point majority_contact(const currency_state& state, const vm_id& self, const std::vector<vm_id>& listed,
                            time_point now);

/// @param listed  live entry VMs of the last VM list, this VM included
/// @return how long an entry may still treat the preset as current; zero if not at all
duration remaining_currency(const currency_state& state, const vm_id& self, const std::vector<vm_id>& listed,
                            time_point now);

} // namespace endivelever
