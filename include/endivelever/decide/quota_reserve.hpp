#pragma once

#include "endivelever/base/time.hpp"
#include "endivelever/decide/quota_bounds.hpp"
#include "endivelever/decide/quota_lease.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace endivelever {

/// Tokens of one tenant at one VM.
struct quota_reserve {
    std::deque<time_point> tokens;     ///< expiry of each token, earliest first
    time_point refused_until{};        ///< until then the allocator is not asked again
    duration retry_after{};            ///< that the allocator named when it refused
    std::deque<time_point> floor_uses; ///< requests let through without a grant, oldest first
};

/// How long a VM refuses requests of a tenant without asking, after the allocator refused one.
/// @param retry_after  that the allocator named
duration refusal_time(duration retry_after);

bool has_token(quota_reserve& reserve, time_point now);

/// Takes a token.
/// @return its expiry, or a default time_point if there is none
time_point take_token(quota_reserve& reserve, time_point now);

/// Adds tokens, unless they have expired.
void add_tokens(quota_reserve& reserve, std::uint32_t tokens, time_point expiry, time_point now);

/// Lets a request through without a grant if the floor of this VM allows it.
/// @param floor  see own_floor()
/// @return until when the request may be sent, as for a token, or a default time_point if it may not
time_point take_floor(quota_reserve& reserve, std::size_t floor, const quota_bounds& bounds, time_point now);

/// VMs that may have used their floors within the last window.
struct quota_fleet {
    time_point started{};                              ///< of this VM
    std::unordered_map<vm_hash, time_point> listed_at; ///< when each VM was last known as a member
};

/// Records the VMs that are members now, this one included, and forgets those that left long ago.
void update_fleet(quota_fleet& fleet, const std::vector<vm_hash>& members, const quota_bounds& bounds,
                  time_point now);

/// Position of a VM in an order of the fleet that differs from tenant to tenant; 0 is the first.
std::size_t position_in(const quota_fleet& fleet, vm_hash vm, std::uint64_t tenant);

/// Requests in a window that this VM may let through without a grant. There are none within a window of its
/// start, since it does not know how many it let through before a restart.
std::size_t own_floor(const quota_fleet& fleet, vm_hash own, std::uint64_t tenant, const quota_limit& limit,
                      const quota_bounds& bounds, time_point now);

} // namespace endivelever
