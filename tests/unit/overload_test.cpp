#include "fakes/overload_emulator.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t vms = 13;
constexpr double usual_rate = 150.0; ///< requests per second before the burst

struct overload_case {
    const char* name;
    emulated_servers servers;
    double burst_rate; ///< requests per second
};

struct overload : testing::TestWithParam<overload_case> {};

emulated_outcome play(const overload_case& load, const emulated_policy& policy) {
    emulated_outcome sum;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const emulated_callers callers{.per_second = usual_rate,
                                       .burst_factor = load.burst_rate / usual_rate};
        const auto it = play_overload(load.servers, callers, policy, vms, seed);
        sum.offered += it.offered;
        sum.in_time += it.in_time;
        sum.late += it.late;
        sum.refused += it.refused;
        sum.refusals += it.refusals;
        sum.late_refusals += it.late_refusals;
    }
    return sum;
}

// Guards against servers that are filled beyond the load at which they work best, and against queues whose
// requests are sent when it is too late for their target: fewer callers get their answer in time then.
TEST_P(overload, more_callers_are_answered_in_time_than_without_learning_and_refusing) {
    const auto with = play(GetParam(), {});
    const auto without = play(GetParam(), {.learns = false, .refuses = false});
    EXPECT_GT(static_cast<double>(with.in_time) / static_cast<double>(with.offered),
              static_cast<double>(without.in_time) / static_cast<double>(without.offered));
}

// Guards against requests that are held until their caller has no time left for another attempt, and refused
// then.
TEST_P(overload, refused_callers_have_time_for_another_attempt) {
    const auto it = play(GetParam(), {});
    EXPECT_LE(it.late_refusals, it.refusals / 20);
}

const emulated_servers slower_when_nearly_full;
const emulated_servers slower_from_half{
    .free_share = 0.5, .full_factor = 2.5, .slow_share = 0.1, .slowdown = 2.0, .speed_period = 1s};
const emulated_servers flickering{
    .free_share = 0.6, .full_factor = 3.0, .slow_share = 0.5, .slowdown = 2.0, .speed_period = 100ms};

INSTANTIATE_TEST_SUITE_P(servers, overload,
                         testing::Values(overload_case{"half_above_capacity", slower_when_nearly_full, 900.0},
                                         overload_case{"at_capacity", slower_when_nearly_full, 600.0},
                                         overload_case{"slower_from_half", slower_from_half, 900.0},
                                         overload_case{"flickering", flickering, 600.0}),
                         [](const auto& it) { return it.param.name; });

struct calm_case {
    const char* name;
    emulated_servers servers;
};

struct calm_load : testing::TestWithParam<calm_case> {};

// Guards against refusals while the servers have room: two requests that arrive together must not look like a
// standing queue.
TEST_P(calm_load, no_request_is_refused) {
    const auto it = play({GetParam().name, GetParam().servers, usual_rate}, {});
    EXPECT_EQ(0U, it.refusals);
    EXPECT_EQ(it.offered, it.in_time + it.late);
}

INSTANTIATE_TEST_SUITE_P(servers, calm_load,
                         testing::Values(calm_case{"slower_when_nearly_full", slower_when_nearly_full},
                                         calm_case{"slower_from_half", slower_from_half},
                                         calm_case{"flickering", flickering}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever
