#include "endivelever/decide/quota_reserve.hpp"

#include <algorithm>
#include <xxhash.h>

namespace endivelever {
namespace {

// After a refusal the tenant's next requests are refused without asking, so that a flood of one tenant does
// not load its allocator.
constexpr duration min_refusal = std::chrono::milliseconds(5);
constexpr duration max_refusal = std::chrono::milliseconds(50);

void expire_tokens(quota_reserve& reserve, time_point now) {
    while (!reserve.tokens.empty() && reserve.tokens.front() <= now) {
        reserve.tokens.pop_front();
    }
}

} // namespace

duration refusal_time(duration retry_after) {
    return std::clamp(retry_after, min_refusal, max_refusal);
}

bool has_token(quota_reserve& reserve, time_point now) {
    expire_tokens(reserve, now);
    return !reserve.tokens.empty();
}

time_point take_token(quota_reserve& reserve, time_point now) {
    expire_tokens(reserve, now);
    if (reserve.tokens.empty()) {
        return {};
    }
    const auto expiry = reserve.tokens.front();
    reserve.tokens.pop_front();
    return expiry;
}

void add_tokens(quota_reserve& reserve, std::uint32_t tokens, time_point expiry, time_point now) {
    if (expiry <= now) {
        return;
    }
    const auto at = std::upper_bound(reserve.tokens.begin(), reserve.tokens.end(), expiry);
    reserve.tokens.insert(at, tokens, expiry);
}

time_point take_floor(quota_reserve& reserve, std::size_t floor, const quota_bounds& bounds, time_point now) {
    // A request may be sent some time after it was let through.
    const auto counted_for = bounds.window + token_lifetime(bounds);
    while (!reserve.floor_uses.empty() && now - reserve.floor_uses.front() > counted_for) {
        reserve.floor_uses.pop_front();
    }
    if (reserve.floor_uses.size() >= floor) {
        return {};
    }
    reserve.floor_uses.push_back(now);
    return now + token_lifetime(bounds);
}

void update_fleet(quota_fleet& fleet, const std::vector<vm_hash>& members, const quota_bounds& bounds,
                  time_point now) {
    for (const auto vm : members) {
        fleet.listed_at[vm] = now;
    }
    const auto counted_for = bounds.window + token_lifetime(bounds);
    std::erase_if(fleet.listed_at, [&](const auto& it) { return now - it.second > counted_for; });
}

std::size_t position_in(const quota_fleet& fleet, vm_hash vm, std::uint64_t tenant) {
    const auto order = [tenant](vm_hash of) { return XXH3_64bits_withSeed(&of, sizeof(of), tenant); };
    const auto own = order(vm);
    return static_cast<std::size_t>(std::count_if(fleet.listed_at.begin(), fleet.listed_at.end(),
                                                  [&](const auto& it) { return order(it.first) > own; }));
}

std::size_t own_floor(const quota_fleet& fleet, vm_hash own, std::uint64_t tenant, const quota_limit& limit,
                      const quota_bounds& bounds, time_point now) {
    if (fleet.listed_at.empty() || now - fleet.started < bounds.window + token_lifetime(bounds)) {
        return 0;
    }
    return floor_of_vm(limit, bounds, position_in(fleet, own, tenant), fleet.listed_at.size());
}

} // namespace endivelever
