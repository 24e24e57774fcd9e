#pragma once

#include "endivelever/decide/quota_bucket.hpp"
#include "endivelever/decide/quota_lease.hpp"
#include "endivelever/decide/quota_reserve.hpp"
#include "endivelever/decide/wait_queue.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

namespace endivelever {

/// A request that waits for a token.
struct quota_waiter {
    std::uint64_t request = 0; ///< number of the request
    time_point asked_at{};
    std::uint32_t asks = 0;
    attempt_purpose purpose = attempt_purpose::first;
};

/// Quotas of the tenants as this VM knows them, as allocator and as one of the VMs that ask.
struct quota_state {
    std::array<quota_lease, quota_shards> leases;
    std::unordered_map<std::uint64_t, quota_bucket>
        buckets;                                  ///< by hash of the tenant, in shards that it holds
    std::array<bool, quota_shards> starts_full{}; ///< no allocator had the shard before this one
    std::unordered_map<std::uint64_t, quota_reserve> reserves; ///< by hash of the tenant
    std::unordered_map<std::uint64_t, std::deque<quota_waiter>>
        waiting; ///< by hash of the tenant, oldest first
    quota_fleet fleet;
    time_point fleet_updated_at{};
    std::map<std::uint64_t, time_point> asked; ///< when the requests to allocators were sent, by number
    std::uint64_t last_number = 0;
};

} // namespace endivelever
