#include "testbed/server_model.hpp"

#include <gtest/gtest.h>

namespace endivelever::testbed {
namespace {

using namespace std::chrono_literals;

const time_point start{100s};

server_model make_server(std::uint32_t slots, std::uint32_t queue_limit) {
    server_model server;
    server.behaviour.slots = slots;
    server.behaviour.queue_limit = queue_limit;
    server.behaviour.work = {{"", 4ms, 0.0}};
    return server;
}

offered_call call(std::uint64_t number) {
    return {number, "order", std::nullopt};
}

// Guards against a fake that runs more calls at once than it has slots, or queues without limit.
TEST(server_model, runs_slots_then_queues_then_sheds) {
    auto server = make_server(1, 1);
    random_source random(1);
    EXPECT_EQ(submit(server, call(1), start, random).effect, arrival::started);
    EXPECT_EQ(submit(server, call(2), start, random).effect, arrival::queued);
    EXPECT_EQ(submit(server, call(3), start, random).effect, arrival::shed);
}

// Guards against a queue that is not first in, first out.
TEST(server_model, finish_starts_the_oldest_queued_call) {
    auto server = make_server(1, 10);
    random_source random(1);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        submit(server, call(i), start, random);
    }
    const auto steps = finish(server, 1, start + 4ms, random);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps[0].number, 2U);
    EXPECT_EQ(steps[0].effect, arrival::started);
}

// Guards against a fake that runs calls nobody waits for.
TEST(server_model, expired_and_cancelled_calls_never_run) {
    auto server = make_server(1, 10);
    random_source random(1);
    submit(server, call(1), start, random);
    submit(server, {2, "order", start + 1ms}, start, random);
    submit(server, call(3), start, random);
    EXPECT_TRUE(cancel(server, 3));
    const auto steps = finish(server, 1, start + 4ms, random);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps[0].effect, arrival::expired);
    EXPECT_EQ(server.counts.started, 1U);
    EXPECT_FALSE(cancel(server, 1));
}

TEST(server_model, draining_server_refuses_new_and_finishes_queued_calls) {
    auto server = make_server(1, 10);
    random_source random(1);
    submit(server, call(1), start, random);
    submit(server, call(2), start, random);
    server.behaviour.draining = true;
    EXPECT_EQ(submit(server, call(3), start, random).effect, arrival::shed);
    EXPECT_EQ(finish(server, 1, start + 4ms, random).at(0).effect, arrival::started);
    EXPECT_EQ(load_report(server, start), "running=1;queued=0;service_us=1300;draining=1");
}

struct factor_case {
    const char* name;
    duration at;
    double expected;
};

class scripted_factor : public testing::TestWithParam<factor_case> {};

// Guards against a script that does not shift at its millisecond or does not repeat.
TEST_P(scripted_factor, follows_steps_and_period) {
    server_behaviour behaviour;
    const auto problem = apply_json(
        behaviour, R"({"steps":[{"at_ms":2,"factor":8},{"at_ms":5,"factor":1}],"script_period_ms":10})",
        start);
    ASSERT_EQ(problem, "");
    EXPECT_DOUBLE_EQ(service_factor(behaviour, start + GetParam().at), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(steps, scripted_factor,
                         testing::Values(factor_case{"before", 1ms, 1.0}, factor_case{"slow", 2ms, 8.0},
                                         factor_case{"after", 6ms, 1.0}, factor_case{"repeated", 13ms, 8.0}),
                         [](const auto& it) { return it.param.name; });

TEST(server_model, cold_start_factor_falls_linearly) {
    server_behaviour behaviour;
    ASSERT_EQ(apply_json(behaviour, R"({"cold_factor":5,"cold_period_ms":100})", start), "");
    EXPECT_DOUBLE_EQ(service_factor(behaviour, start), 5.0);
    EXPECT_DOUBLE_EQ(service_factor(behaviour, start + 50ms), 3.0);
    EXPECT_DOUBLE_EQ(service_factor(behaviour, start + 200ms), 1.0);
}

TEST(server_model, stale_report_repeats_until_its_age) {
    auto server = make_server(2, 10);
    random_source random(1);
    ASSERT_EQ(apply_json(server.behaviour, R"({"report":"stale","report_age_ms":50})", start), "");
    const auto first = load_report(server, start);
    submit(server, call(1), start, random);
    EXPECT_EQ(load_report(server, start + 49ms), first);
    EXPECT_NE(load_report(server, start + 50ms), first);
}

TEST(server_model, invalid_behaviour_changes_nothing) {
    server_behaviour behaviour;
    EXPECT_NE(apply_json(behaviour, R"({"slots":9,"steps":[{"at_ms":"x"}]})", start), "");
    EXPECT_EQ(behaviour.slots, 4U);
}

} // namespace
} // namespace endivelever::testbed
