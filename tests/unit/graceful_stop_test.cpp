#include "endivelever/decide/graceful_stop.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};

struct schedule_case {
    const char* name;
    duration address_cached;
    duration grace_period;
    duration requests_limited; ///< since the start, as the fields below
    duration drained;
    duration answers_due;
    duration exit;
};

struct stop_schedule : testing::TestWithParam<schedule_case> {};

// Guards against a process that the platform kills before it has written its responses.
TEST_P(stop_schedule, ends_within_the_grace_period) {
    const auto& param = GetParam();
    const auto stop = plan_stop(start, param.address_cached, param.grace_period);
    EXPECT_EQ(start + param.requests_limited, stop.requests_limited_at);
    EXPECT_EQ(start + param.drained, stop.drained_at);
    EXPECT_EQ(start + param.answers_due, stop.answers_due_at);
    EXPECT_EQ(start + param.exit, stop.exit_at);
}

INSTANTIATE_TEST_SUITE_P(lengths, stop_schedule,
                         testing::Values(schedule_case{"usual", 3s, 6s, 3s, 3200ms, 5s, 5500ms},
                                         schedule_case{"long_grace", 3s, 30s, 3s, 3200ms, 29s, 29500ms},
                                         schedule_case{"short_grace", 3s, 2s, 1s, 1500ms, 1500ms, 1750ms},
                                         schedule_case{"no_grace", 3s, 0s, 0s, 0s, 0s, 0s}),
                         [](const auto& it) { return it.param.name; });

struct accept_case {
    const char* name;
    duration arrived; ///< since the start of the stop
    duration limit;   ///< of the request, from its arrival
    bool accepted;
};

struct stop_request : testing::TestWithParam<accept_case> {};

// Guards against a request that outlasts the process, and against refusing one that ends in time.
TEST_P(stop_request, is_accepted_if_it_ends_in_time) {
    const auto stop = plan_stop(start, 3s, 6s);
    const auto now = start + GetParam().arrived;
    EXPECT_EQ(GetParam().accepted, accepts_request(stop, now, now + GetParam().limit));
}

INSTANTIATE_TEST_SUITE_P(requests, stop_request,
                         testing::Values(accept_case{"long_early", 0s, 60s, true},
                                         accept_case{"long_before_the_limit", 2999ms, 3s, true},
                                         accept_case{"long_after_the_limit", 3s, 3s, false},
                                         accept_case{"short_after_the_limit", 3s, 2s, true},
                                         accept_case{"short_late", 4900ms, 100ms, true},
                                         accept_case{"too_late", 4901ms, 100ms, false}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever
