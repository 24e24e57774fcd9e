#pragma once

#include "endivelever/base/time.hpp"
#include "endivelever/decide/quota_bounds.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace endivelever {

/// Tokens of one tenant at one VM.
struct quota_reserve {
    std::deque<time_point> tokens;     ///< expiry of each token, earliest first
    time_point refused_until{};        ///< until then the allocator is not asked again
    duration retry_after{};            ///< that the allocator named when it refused
    std::deque<time_point> floor_uses; ///< requests let through without a grant, oldest first
};

/// Takes a token.
/// @return its expiry, or a default time_point if there is none
time_point take_token(quota_reserve& reserve, time_point now);

/// Adds tokens, unless they have expired.
void add_tokens(quota_reserve& reserve, std::uint32_t tokens, time_point expiry, time_point now);

/// Lets a request through without a grant if the floor of this VM allows it.
/// @param floor  see floor_of_vm()
bool take_floor(quota_reserve& reserve, std::size_t floor, const quota_bounds& bounds, time_point now);

} // namespace endivelever
