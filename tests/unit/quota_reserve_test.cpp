#include "endivelever/decide/quota_reserve.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};
const quota_bounds bounds{5s, 0.1, 20.0};
const duration lifetime = token_lifetime(bounds);

// -- tokens ----------------------------------------------------------------------------------------------

struct arrival_case {
    const char* name;
    duration age; ///< of the request for the token when the grant arrives
    bool usable;
};

struct quota_token_arrival : testing::TestWithParam<arrival_case> {};

// Guards against a token that is used later than the allocator accounts for, such as after a pause.
TEST_P(quota_token_arrival, counts_from_the_sending_of_the_request) {
    quota_reserve reserve;
    const auto now = start + GetParam().age;
    add_tokens(reserve, 1, start + lifetime, now);
    EXPECT_EQ(GetParam().usable, take_token(reserve, now) != time_point{});
}

INSTANTIATE_TEST_SUITE_P(ages, quota_token_arrival,
                         testing::Values(arrival_case{"prompt", 3ms, true}, arrival_case{"slow", 99ms, true},
                                         arrival_case{"at_its_end", 100ms, false},
                                         arrival_case{"after_a_pause", 10s, false}),
                         [](const auto& it) { return it.param.name; });

// Guards against an order of arrival that hides tokens which expire earlier.
TEST(quota_reserve, uses_the_token_that_expires_first) {
    quota_reserve reserve;
    add_tokens(reserve, 1, start + 80ms, start);
    add_tokens(reserve, 1, start + 40ms, start);
    add_tokens(reserve, 1, start + 60ms, start);
    EXPECT_EQ(start + 60ms, take_token(reserve, start + 50ms));
    EXPECT_EQ(start + 80ms, take_token(reserve, start + 50ms));
    EXPECT_EQ(time_point{}, take_token(reserve, start + 50ms));
}

// -- floors ----------------------------------------------------------------------------------------------

/// Plays one VM that uses its floor as often as it may.
/// @return the largest number of uses in a window, each at the end of its validity if `late`
std::size_t most_in_a_window(std::size_t floor, bool late) {
    quota_reserve reserve;
    std::vector<time_point> uses;
    for (auto at = start; at < start + 20s; at += 10ms) {
        const bool is_late = late && at < start + 7s;
        for (auto expiry = take_floor(reserve, floor, bounds, at); expiry != time_point{};
             expiry = take_floor(reserve, floor, bounds, at)) {
            uses.push_back(is_late ? expiry - 1ms : at);
        }
    }
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < uses.size(); ++last) {
        while (uses[last] - uses[first] > bounds.window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

struct quota_floor_size : testing::TestWithParam<std::size_t> {};

// Guards against a floor that is used twice in a window, because a request was sent some time after it was
// let through.
TEST_P(quota_floor_size, is_passed_in_no_window) {
    EXPECT_EQ(GetParam(), most_in_a_window(GetParam(), false));
    EXPECT_EQ(GetParam(), most_in_a_window(GetParam(), true));
}

INSTANTIATE_TEST_SUITE_P(sizes, quota_floor_size, testing::Values(0, 1, 2, 20));

struct fleet_case {
    const char* name;
    std::vector<vm_hash> before; ///< VMs listed until the fleet changes
    std::vector<vm_hash> after;
    duration after_change;
    std::size_t vms; ///< among which the floors are divided
};

struct quota_fleet_of : testing::TestWithParam<fleet_case> {};

// Guards against floors that grow while VMs which have left may still have used theirs in the window.
TEST_P(quota_fleet_of, keeps_vms_that_left_for_a_window) {
    quota_fleet fleet;
    fleet.started = start - 1min;
    update_fleet(fleet, GetParam().before, bounds, start);
    update_fleet(fleet, GetParam().after, bounds, start + GetParam().after_change);
    EXPECT_EQ(GetParam().vms, fleet.listed_at.size());
}

INSTANTIATE_TEST_SUITE_P(changes, quota_fleet_of,
                         testing::Values(fleet_case{"same", {1, 2, 3}, {1, 2, 3}, 1s, 3},
                                         fleet_case{"joined", {1, 2}, {1, 2, 3}, 1s, 3},
                                         fleet_case{"left", {1, 2, 3, 4}, {1, 2}, 5s, 4},
                                         fleet_case{"left_long_ago", {1, 2, 3, 4}, {1, 2}, 6s, 2},
                                         fleet_case{"replaced", {1, 2}, {3, 4}, 1s, 4}),
                         [](const auto& it) { return it.param.name; });

// Guards against floors that sum to more than their part, although each VM computes its own.
TEST(quota_fleet, gives_each_vm_another_position) {
    quota_fleet fleet;
    fleet.started = start - 1min;
    update_fleet(fleet, {1, 2, 3, 4, 5, 6, 7}, bounds, start);
    for (std::uint64_t tenant = 50; tenant < 60; ++tenant) {
        std::vector<std::size_t> positions;
        for (vm_hash vm = 1; vm <= 7; ++vm) {
            positions.push_back(position_in(fleet, vm, tenant));
        }
        std::sort(positions.begin(), positions.end());
        EXPECT_EQ((std::vector<std::size_t>{0, 1, 2, 3, 4, 5, 6}), positions);
    }
}

// Guards against a VM that uses its floor again after a restart, in which it forgot what it had used.
TEST(quota_fleet, has_no_floor_within_a_window_of_its_start) {
    quota_fleet fleet;
    fleet.started = start;
    update_fleet(fleet, {1}, bounds, start);
    const quota_limit limit{40, 10};
    EXPECT_EQ(0U, own_floor(fleet, 1, 50, limit, bounds, start + bounds.window));
    EXPECT_EQ(0U, own_floor(fleet, 1, 50, limit, bounds, start + bounds.window + lifetime - 1ms));
    EXPECT_EQ(static_cast<std::size_t>(floor_total(limit, bounds)),
              own_floor(fleet, 1, 50, limit, bounds, start + bounds.window + lifetime));
}

} // namespace
} // namespace endivelever
