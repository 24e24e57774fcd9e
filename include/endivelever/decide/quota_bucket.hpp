#pragma once

#include "endivelever/decide/quota_bounds.hpp"

#include <cstdint>

namespace endivelever {

/// Token bucket of one tenant at the allocator of its shard.
struct quota_bucket {
    quota_limit limit;
    double rate = 0.0;     ///< tokens that it gains each second
    double capacity = 0.0; ///< tokens that it holds when it is full
    double tokens = 0.0;
    double unserved = 0.0; ///< requests that were refused lately; decays at the rate
    time_point credited_at{};
};

/// What an allocator grants.
struct quota_decision {
    std::uint32_t tokens = 0;
    duration retry_after{}; ///< when tokens for those refused are expected; 0 if none was refused
};

/// @param starts_full  false after a takeover: the former allocator may have granted the burst just before
quota_bucket make_quota_bucket(const quota_limit& limit, const quota_bounds& bounds, bool starts_full,
                               time_point now);

/// Applies a changed limit. A smaller capacity takes effect at once.
void set_limit(quota_bucket& bucket, const quota_limit& limit, const quota_bounds& bounds, time_point now);

/// Grants up to `wanted` tokens. Tokens that are not used are lost: to credit one that was granted before the
/// bucket was full again would let the tenant pass its limit.
quota_decision grant_tokens(quota_bucket& bucket, std::uint32_t wanted, time_point now);

/// Grants up to `wanted` tokens for second attempts of requests that are in progress, as long as the bucket
/// stays half full: they must not make a tenant that stays within its limit run out of tokens.
quota_decision grant_spare(quota_bucket& bucket, std::uint32_t wanted, time_point now);

} // namespace endivelever
