#include "endivelever/base/random.hpp"
#include "endivelever/decide/caller_deadline.hpp"
#include "endivelever/decide/service_model.hpp"

#include <cmath>
#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr duration work = 60ms;

load_report report(std::uint32_t running, double slowdown = 1.0) {
    load_report it;
    it.running = running;
    it.slowdown = slowdown;
    return it;
}

/// Servers that slow down if more than a share of their slots is busy.
struct server_kind {
    const char* name;
    std::uint32_t slots;
    double free_share; ///< share of busy slots up to which requests take the usual time
    double full_factor;
    std::uint32_t limit; ///< number of requests at the same time with the highest throughput
};

/// A model that has seen `responses` responses at evenly distributed loads, whose work varies as in practice:
/// most by a third, a few by much more.
service_model learned_model(const server_kind& servers, int responses) {
    service_model model;
    random_source random(5, 1);
    assume_time(model, 4 * work);
    for (int i = 0; i < responses; ++i) {
        const auto running = random_below(random, servers.slots);
        const double share = (running + 1.0) / servers.slots;
        double factor = share > servers.free_share ? servers.full_factor : 1.0;
        factor *= std::exp(0.6 * (random_unit(random) - 0.5));
        factor *= random_unit(random) < 0.03 ? 7.0 : 1.0;
        learn_response(model, report(running), servers.slots,
                       from_milliseconds(to_milliseconds(work) * factor));
    }
    refit(model);
    return model;
}

struct service_model_of : testing::TestWithParam<server_kind> {};

// Guards against a limit fitted to one kind of server: filling all slots of servers that slow down when
// nearly full makes all responses late, and leaving slots empty at others wastes capacity.
TEST_P(service_model_of, finds_the_load_with_the_highest_throughput) {
    const auto model = learned_model(GetParam(), 200);
    EXPECT_EQ(GetParam().limit, operating_limit(model, GetParam().slots));
    EXPECT_NEAR(to_milliseconds(work), to_milliseconds(light_time(model)), 0.2 * to_milliseconds(work));
}

INSTANTIATE_TEST_SUITE_P(servers, service_model_of,
                         testing::Values(server_kind{"never_slower", 6, 1.0, 1.0, 6},
                                         server_kind{"slower_when_nearly_full", 6, 0.8, 1.7, 4},
                                         server_kind{"slower_from_half", 6, 0.5, 3.0, 3},
                                         server_kind{"slow_but_worth_filling", 6, 0.4, 1.5, 6},
                                         server_kind{"one_slot", 1, 1.0, 1.0, 1},
                                         server_kind{"many_slots", 16, 0.75, 2.0, 12}),
                         [](const auto& it) { return it.param.name; });

// Guards against a server entry with an absurd number of slots that keeps the process busy for minutes.
TEST(service_model, limit_of_a_server_with_billions_of_slots_is_found_at_once) {
    const auto model = learned_model({"never_slower", 6, 1.0, 1.0, 6}, 200);
    EXPECT_EQ(4'000'000'000U, operating_limit(model, 4'000'000'000U));
}

// Guards against decisions based on the first few responses after a restart.
TEST(service_model, keeps_the_assumed_time_until_there_are_enough_responses) {
    service_model model;
    assume_time(model, 100ms);
    for (int i = 0; i < 7; ++i) {
        learn_response(model, report(0), 4, 5ms);
    }
    refit(model);
    EXPECT_EQ(100ms, light_time(model));
    learn_response(model, report(0), 4, 5ms);
    refit(model);
    EXPECT_NEAR(5.0, to_milliseconds(light_time(model)), 0.1);
}

// Guards against a model that stays with servers as they were before a release made them slower.
TEST(service_model, follows_servers_that_change) {
    auto model = learned_model({"before", 6, 1.0, 1.0, 6}, 500);
    for (int i = 0; i < 1000; ++i) {
        const auto running = static_cast<std::uint32_t>(i % 6);
        learn_response(model, report(running), 6, running < 3 ? work : 4 * work);
    }
    refit(model);
    EXPECT_EQ(3U, operating_limit(model, 6));
}

// Guards against a VM that cannot learn anything itself since it gets too few requests.
TEST(service_model, uses_what_the_failure_domain_has_learned) {
    const server_kind servers{"slower_when_nearly_full", 6, 0.8, 1.7, 4};
    service_model model;
    assume_time(model, 100ms);
    add(model.domain_log_time, learned_model(servers, 100).log_time);
    add(model.domain_log_time, learned_model(servers, 100).log_time);
    refit(model);
    EXPECT_EQ(servers.limit, operating_limit(model, servers.slots));
}

struct speed_case {
    const char* name;
    double slow_share;
    double slowdown;
    duration period;
    duration min_lifetime;
    duration max_lifetime;
};

struct speed_lifetime_of : testing::TestWithParam<speed_case> {};

// Guards against trusting load reports for too long at servers whose speed changes often, and against useless
// probes at servers whose speed hardly changes.
TEST_P(speed_lifetime_of, follows_the_changes_of_speed) {
    const auto& servers = GetParam();
    service_model model;
    random_source random(3, 1);
    for (int i = 0; i < 4000; ++i) {
        const auto max_age =
            std::max(600ms, 3 * std::chrono::duration_cast<std::chrono::milliseconds>(servers.period));
        const auto age = from_milliseconds(random_unit(random) * to_milliseconds(max_age));
        const auto draw = [&] { return random_unit(random) < servers.slow_share ? servers.slowdown : 1.0; };
        const double before = draw();
        const bool changed = random_unit(random) < to_seconds(age) / to_seconds(servers.period);
        learn_speed(model, report(0, changed ? draw() : before), report(0, before), age);
    }
    EXPECT_GE(speed_lifetime(model), servers.min_lifetime);
    EXPECT_LE(speed_lifetime(model), servers.max_lifetime);
}

INSTANTIATE_TEST_SUITE_P(servers, speed_lifetime_of,
                         testing::Values(speed_case{"flickering", 0.25, 4.0, 60ms, 30ms, 120ms},
                                         speed_case{"as_often_as_responses", 0.25, 4.0, 300ms, 150ms, 600ms},
                                         speed_case{"slowly_changing", 0.3, 10.0, 1500ms, 700ms, 2s},
                                         speed_case{"constant", 0.0, 1.0, 300ms, 2s, 2s}),
                         [](const auto& it) { return it.param.name; });

// Guards against taking callers with a short deadline for callers that have been trying for a while, whose
// requests would come first and count as late.
TEST(caller_deadline, differences_between_callers_are_no_repetition) {
    deadline_profile profile;
    random_source random(9, 1);
    int mistaken = 0;
    for (int i = 0; i < 500; ++i) {
        const auto deadline = from_milliseconds(800.0 + 200.0 * random_unit(random));
        mistaken += estimate_prior_time(profile, deadline) > duration::zero() ? 1 : 0;
    }
    EXPECT_LE(mistaken, 25);
    const auto spent = estimate_prior_time(profile, 600ms);
    EXPECT_GE(spent, 200ms);
    EXPECT_LE(spent, 400ms);
}

// Guards against forgetting the usual deadline during an overload, when many requests are repeated ones.
TEST(caller_deadline, repeated_requests_are_recognised_during_an_overload) {
    deadline_profile profile;
    random_source random(9, 1);
    int recognised = 0;
    for (int i = 0; i < 400; ++i) {
        estimate_prior_time(profile, from_milliseconds(800.0 + 200.0 * random_unit(random)));
        const bool overloaded = i >= 300;
        if (overloaded && i % 2 == 0) {
            recognised += estimate_prior_time(profile, 550ms) > duration::zero() ? 1 : 0;
        }
    }
    EXPECT_GE(recognised, 35);
}

} // namespace
} // namespace endivelever
