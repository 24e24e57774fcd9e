#include "endivelever/decide/quota_bucket.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};
const quota_bounds bounds{5s, 0.1, 20.0};

std::uint32_t drain(quota_bucket& bucket, time_point now) {
    return grant_tokens(bucket, 100'000, now).tokens;
}

// -- division of the overage and the tolerance -----------------------------------------------------------

struct limit_case {
    const char* name;
    quota_limit limit;
};

const auto limits = testing::Values(limit_case{"small", {2, 0}}, limit_case{"burst", {2, 50}},
                                    limit_case{"middle", {40, 10}}, limit_case{"large", {300, 100}});
const auto name_of_case = [](const auto& it) { return it.param.name; };

struct quota_division : testing::TestWithParam<limit_case> {};

// Guards against parts that sum to more than the overage and the tolerance: the grants of a window and of the
// lifetime of tokens before it, and the floors.
TEST_P(quota_division, of_a_window_stays_within_the_bound) {
    const auto& limit = GetParam().limit;
    const double grants = bucket_capacity(limit, bounds) +
                          bucket_rate(limit, bounds) * to_seconds(bounds.window + token_lifetime(bounds));
    const double bound =
        (limit.rate * to_seconds(bounds.window) + limit.burst) * (1.0 + bounds.overage) + bounds.tolerance;
    EXPECT_LE(grants + floor_total(limit, bounds), bound);
}

// Guards against floors that sum to more than their part, for fleets smaller and larger than it.
TEST_P(quota_division, floors_of_all_vms_sum_to_their_part) {
    for (const std::size_t vms : {1U, 2U, 7U, 94U, 500U}) {
        std::size_t sum = 0;
        for (std::size_t i = 0; i < vms; ++i) {
            sum += floor_of_vm(GetParam().limit, bounds, i, vms);
        }
        EXPECT_EQ(static_cast<std::size_t>(floor_total(GetParam().limit, bounds)), sum) << vms;
    }
}

INSTANTIATE_TEST_SUITE_P(limits, quota_division, limits, name_of_case);

// -- bucket ----------------------------------------------------------------------------------------------

struct quota_bucket_of : testing::TestWithParam<limit_case> {};

// Guards against a bucket that grants more in a window than its capacity and its rate.
TEST_P(quota_bucket_of, a_limit_grants_its_capacity_and_its_rate) {
    const auto& limit = GetParam().limit;
    auto bucket = make_quota_bucket(limit, bounds, true, start);
    double granted = 0.0;
    for (auto at = start; at <= start + bounds.window; at += 10ms) {
        granted += drain(bucket, at);
    }
    const double most =
        bucket_capacity(limit, bounds) + bucket_rate(limit, bounds) * to_seconds(bounds.window);
    EXPECT_LE(granted, most);
    EXPECT_GT(granted, most - 2.0);
}

// Guards against a burst that is granted twice, by the former allocator and by the one that takes over.
TEST_P(quota_bucket_of, a_limit_starts_empty_after_a_takeover) {
    auto bucket = make_quota_bucket(GetParam().limit, bounds, false, start);
    EXPECT_EQ(0U, drain(bucket, start));
    EXPECT_LE(drain(bucket, start + 1s), bucket_rate(GetParam().limit, bounds));
}

// Guards against tokens that a VM has kept unused and that raise what a later window may grant.
TEST_P(quota_bucket_of, a_limit_grants_no_more_after_tokens_were_lost) {
    const auto& limit = GetParam().limit;
    auto bucket = make_quota_bucket(limit, bounds, true, start);
    drain(bucket, start); // none of these is used
    const auto later = start + 10min;
    double granted = 0.0;
    for (auto at = later; at <= later + bounds.window; at += 100ms) {
        granted += drain(bucket, at);
    }
    EXPECT_LE(granted,
              bucket_capacity(limit, bounds) + bucket_rate(limit, bounds) * to_seconds(bounds.window));
}

// Guards against a lowered limit that takes effect only once the former tokens are used up.
TEST_P(quota_bucket_of, a_lowered_limit_is_trimmed_at_once) {
    auto bucket = make_quota_bucket({1000.0, 500.0}, bounds, true, start);
    set_limit(bucket, GetParam().limit, bounds, start);
    EXPECT_LE(drain(bucket, start), bucket_capacity(GetParam().limit, bounds));
}

// Guards against a clock of the process that was read before the bucket's last change.
TEST_P(quota_bucket_of, a_limit_gains_nothing_from_an_earlier_time) {
    auto bucket = make_quota_bucket(GetParam().limit, bounds, false, start);
    drain(bucket, start + 1s);
    drain(bucket, start);
    EXPECT_EQ(0U, drain(bucket, start + 1s));
}

// Guards against a refusal without a time to return, and against one after which no token is there.
TEST_P(quota_bucket_of, a_limit_names_the_time_of_the_next_token) {
    auto bucket = make_quota_bucket(GetParam().limit, bounds, false, start);
    const auto refused = grant_tokens(bucket, 1, start);
    ASSERT_EQ(0U, refused.tokens);
    EXPECT_GT(refused.retry_after, 0ms);
    EXPECT_EQ(1U, grant_tokens(bucket, 1, start + refused.retry_after).tokens);
}

INSTANTIATE_TEST_SUITE_P(limits, quota_bucket_of, limits, name_of_case);

// Guards against second attempts that use up the tokens of a tenant within its limit.
TEST(quota_bucket, keeps_half_of_its_tokens_from_second_attempts) {
    auto bucket = make_quota_bucket({10, 25}, bounds, true, start);
    const double capacity = bucket.capacity;
    const auto spare = grant_spare(bucket, 1000, start).tokens;
    EXPECT_EQ(static_cast<std::uint32_t>(capacity / 2), spare);
    EXPECT_EQ(0U, grant_spare(bucket, 1, start).tokens);
    EXPECT_EQ(0ms, grant_spare(bucket, 1, start).retry_after);
    EXPECT_GE(drain(bucket, start), static_cast<std::uint32_t>(capacity / 2));
}

// Guards against a wait that grows with the number of refusals, which would keep callers away from a tenant
// whose flood has ended.
TEST(quota_bucket, names_a_bounded_time_after_a_flood) {
    auto bucket = make_quota_bucket({10, 0}, bounds, false, start);
    duration longest{};
    for (int i = 0; i < 1000; ++i) {
        longest = std::max(longest, grant_tokens(bucket, 1, start + i * 1ms).retry_after);
    }
    EXPECT_LE(longest, 1001ms);
    EXPECT_GE(longest, 900ms);
}

} // namespace
} // namespace endivelever
