#include "endivelever/decide/quota_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace endivelever {
namespace {

// Requests refused longer ago than this do not delay later ones.
constexpr double unserved_memory_s = 1.0;
// Second attempts leave this share of a full bucket.
constexpr double spare_share = 0.5;
// A smaller bucket would never grant a token.
constexpr double min_capacity = 1.0;

void credit(quota_bucket& bucket, time_point now) {
    const double gained = bucket.rate * to_seconds(std::max(duration::zero(), now - bucket.credited_at));
    bucket.tokens = std::min(bucket.capacity, bucket.tokens + gained);
    bucket.unserved = std::max(0.0, bucket.unserved - gained);
    bucket.credited_at = std::max(bucket.credited_at, now);
}

} // namespace

quota_bucket make_quota_bucket(const quota_limit& limit, const quota_bounds& bounds, bool starts_full,
                               time_point now) {
    const double capacity = std::max(min_capacity, bucket_capacity(limit, bounds));
    return {limit, bucket_rate(limit, bounds), capacity, starts_full ? capacity : 0.0, 0.0, now};
}

void set_limit(quota_bucket& bucket, const quota_limit& limit, const quota_bounds& bounds, time_point now) {
    credit(bucket, now);
    bucket.limit = limit;
    bucket.rate = bucket_rate(limit, bounds);
    bucket.capacity = std::max(min_capacity, bucket_capacity(limit, bounds));
    bucket.tokens = std::min(bucket.tokens, bucket.capacity);
}

quota_decision grant_tokens(quota_bucket& bucket, std::uint32_t wanted, time_point now) {
    credit(bucket, now);
    quota_decision decision;
    decision.tokens = std::min(wanted, static_cast<std::uint32_t>(std::max(0.0, bucket.tokens)));
    bucket.tokens -= decision.tokens;
    if (decision.tokens == wanted || bucket.rate <= 0.0) {
        return decision;
    }
    const double most = std::max(1.0, unserved_memory_s * bucket.rate);
    bucket.unserved = std::min(most, bucket.unserved + (wanted - decision.tokens));
    const double missing = std::max(bucket.unserved, 1.0 - bucket.tokens);
    decision.retry_after = from_milliseconds(std::ceil(1000.0 * missing / bucket.rate));
    return decision;
}

quota_decision grant_spare(quota_bucket& bucket, std::uint32_t wanted, time_point now) {
    credit(bucket, now);
    const double spare = std::max(0.0, bucket.tokens - spare_share * bucket.capacity);
    const auto granted = std::min(wanted, static_cast<std::uint32_t>(spare));
    bucket.tokens -= granted;
    return {granted, {}};
}

} // namespace endivelever
