#include "endivelever/decide/currency.hpp"

#include <algorithm>
#include <functional>

namespace endivelever {
namespace detail {

// Last heartbeats of the listed VMs, latest first. This VM counts as heard now.
std::vector<time_point> contacts_of_listed(const preset_lease_state& state, const vm_id& self,
                                           const std::vector<vm_id>& listed, time_point now) {
    std::vector<time_point> contacts;
    for (const auto& vm : listed) {
        if (vm == self) {
            contacts.push_back(now);
            continue;
        }
        const auto it = state.last_heartbeats.find(vm);
        if (it != state.last_heartbeats.end()) {
            contacts.push_back(std::min(it->second, now));
        }
    }
    std::sort(contacts.begin(), contacts.end(), std::greater<>());
    return contacts;
}

} // namespace detail

time_point last_majority_contact(const preset_lease_state& state, const vm_id& self,
                                 const std::vector<vm_id>& listed, time_point now) {
    const auto contacts = detail::contacts_of_listed(state, self, listed, now);
    const std::size_t majority = listed.size() / 2 + 1;
    return contacts.size() < majority ? time_point{} : contacts[majority - 1];
}

duration remaining_preset_lease(const preset_lease_state& state, const vm_id& self,
                                const std::vector<vm_id>& listed, time_point now) {
    const auto store_read = std::min(state.last_store_read, now);
    const auto evidence = std::max(store_read, last_majority_contact(state, self, listed, now));
    if (evidence == time_point{}) {
        return duration::zero();
    }
    return std::max(evidence + preset_lease_limit - now, duration::zero());
}

} // namespace endivelever
