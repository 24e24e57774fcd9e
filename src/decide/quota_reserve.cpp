#include "endivelever/decide/quota_reserve.hpp"

#include <algorithm>

namespace endivelever {
namespace {

void expire_tokens(quota_reserve& reserve, time_point now) {
    while (!reserve.tokens.empty() && reserve.tokens.front() <= now) {
        reserve.tokens.pop_front();
    }
}

} // namespace

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

bool take_floor(quota_reserve& reserve, std::size_t floor, const quota_bounds& bounds, time_point now) {
    while (!reserve.floor_uses.empty() && now - reserve.floor_uses.front() > bounds.window) {
        reserve.floor_uses.pop_front();
    }
    if (reserve.floor_uses.size() >= floor) {
        return false;
    }
    reserve.floor_uses.push_back(now);
    return true;
}

} // namespace endivelever
