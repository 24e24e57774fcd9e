#include "endivelever/decide/choose_server.hpp"
#include "endivelever/decide/observe.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};

listed_server listed(const std::string& name, const std::string& domain = "a") {
    return {.id = server_id(name),
            .service = service_id("board"),
            .failure_domain = failure_domain(domain),
            .address = socket_address(name)};
}

server_pool pool_of(std::size_t count, choice_policy policy = choice_policy::estimated_wait) {
    server_pool pool;
    pool.service.choice = policy;
    pool.own_domain = failure_domain("a");
    std::vector<listed_server> servers;
    for (std::size_t i = 0; i < count; ++i) {
        servers.push_back(listed("s" + std::to_string(i)));
    }
    update_servers(pool, servers, {}, 1, start - 1h);
    review_servers(pool, start);
    return pool;
}

std::vector<int> choose_many(server_pool& pool, int calls, time_point now) {
    random_source random(7, 1);
    std::vector<int> counts(pool.servers.size(), 0);
    for (int i = 0; i < calls; ++i) {
        const auto chosen = choose_server(pool, {}, now, random);
        counts[chosen.value_or(0)] += chosen ? 1 : 0;
    }
    return counts;
}

class choice_by_policy : public testing::TestWithParam<choice_policy> {};

// Guards against sending a call to a server that is draining, is ejected or already failed this call.
TEST_P(choice_by_policy, skips_draining_excluded_and_ejected) {
    auto pool = pool_of(8, GetParam());
    note_report(pool.servers[0], load_report{.draining = true}, start);
    pool.servers[1].state = server_state::ejected;
    pool.servers[1].ejected_until = start + 1s;
    random_source random(3, 1);
    for (int i = 0; i < 200; ++i) {
        const auto chosen = choose_server(pool, {server_id("s2")}, start, random);
        ASSERT_TRUE(chosen);
        EXPECT_GT(*chosen, 2U);
    }
}

// Guards against a policy that never uses some of the idle servers.
TEST_P(choice_by_policy, spreads_calls_over_idle_servers) {
    auto pool = pool_of(4, GetParam());
    for (const int count : choose_many(pool, 400, start)) {
        EXPECT_GT(count, 40);
    }
}

// Guards against more connections to a server than this entry's share.
TEST_P(choice_by_policy, keeps_to_the_connection_share) {
    auto pool = pool_of(1, GetParam());
    pool.servers[0].connection_share = 2;
    random_source random(3, 1);
    for (int i = 0; i < 2; ++i) {
        ASSERT_TRUE(choose_server(pool, {}, start, random));
        note_dispatch(pool.servers[0], start);
    }
    EXPECT_FALSE(choose_server(pool, {}, start, random));
}

INSTANTIATE_TEST_SUITE_P(policies, choice_by_policy,
                         testing::Values(choice_policy::estimated_wait, choice_policy::least_in_flight,
                                         choice_policy::two_choices, choice_policy::round_robin,
                                         choice_policy::random));

struct wait_case {
    const char* name;
    void (*change)(server_view& view);
};

class longer_wait : public testing::TestWithParam<wait_case> {};

// Guards against a sign of overload or failure that does not increase the estimated wait of a server.
TEST_P(longer_wait, than_that_of_an_idle_server) {
    auto pool = pool_of(2);
    GetParam().change(pool.servers[0]);
    EXPECT_GT(estimated_wait(pool, pool.servers[0], start), estimated_wait(pool, pool.servers[1], start));
    EXPECT_EQ(choose_many(pool, 100, start)[0], 0);
}

INSTANTIATE_TEST_SUITE_P(
    signs, longer_wait,
    testing::Values(
        wait_case{"reported_queue", [](auto& it) { note_report(it, {.running = 4, .queued = 8}, start); }},
        wait_case{"overdue_call", [](auto& it) { note_dispatch(it, start - 100ms); }},
        wait_case{"own_calls", [](auto& it) { it.in_flight.assign(12, start - 1ms); }},
        wait_case{"failures", [](auto& it) { it.failure_ratio = 0.4; }},
        wait_case{"shed_calls", [](auto& it) { it.shed_pressure = 2.0, it.shed_at = start; }},
        wait_case{"warming_up", [](auto& it) { it.state = server_state::warming, it.warm_since = start; }}),
    [](const auto& it) { return it.param.name; });

// Guards against using a load report that is long out of date.
TEST(estimated_wait_of_reports, outdated_report_loses_weight) {
    auto pool = pool_of(1);
    note_report(pool.servers[0], {.running = 4, .queued = 20, .service_time = 5ms}, start);
    EXPECT_GT(estimated_wait(pool, pool.servers[0], start), 20ms);
    EXPECT_LT(estimated_wait(pool, pool.servers[0], start + 1s), 6ms);
}

// Guards against preferring a server that reports an empty queue although its calls take long.
TEST(estimated_wait_of_reports, report_contradicted_by_latency_is_corrected) {
    auto pool = pool_of(2);
    for (int i = 0; i < 100; ++i) {
        for (auto& it : pool.servers) {
            const auto latency = &it == &pool.servers.front() ? 40ms : 6ms;
            note_dispatch(it, start - latency);
            note_end(pool, it, start - latency, start, attempt_end::answered,
                     load_report{.running = 1, .service_time = 5ms});
        }
    }
    EXPECT_GT(estimated_wait(pool, pool.servers[0], start), 3 * estimated_wait(pool, pool.servers[1], start));
}

// Guards against overloading the own failure domain by preferring it.
TEST(domain_preference, ends_when_the_own_domain_is_loaded) {
    auto pool = pool_of(2);
    pool.servers[1].listed.failure_domain = failure_domain("b");
    EXPECT_EQ(choose_many(pool, 100, start)[0], 100);
    note_report(pool.servers[0], {.running = 4, .queued = 4}, start);
    EXPECT_EQ(choose_many(pool, 100, start)[1], 100);
}

// Guards against a straggler that receives further calls until the first ones time out.
TEST(ejection, straggler_is_ejected_within_tens_of_milliseconds) {
    auto pool = pool_of(4);
    pool.latency_estimate = 5ms;
    note_dispatch(pool.servers[0], start);
    review_servers(pool, start + 10ms);
    EXPECT_EQ(pool.servers[0].state, server_state::serving);
    review_servers(pool, start + 40ms);
    EXPECT_EQ(pool.servers[0].state, server_state::ejected);
    review_servers(pool, start + 10s);
    EXPECT_EQ(pool.servers[0].state, server_state::ejected) << "its call is still open";
    note_end(pool, pool.servers[0], start, start + 10s, attempt_end::cancelled, std::nullopt);
    review_servers(pool, start + 10s);
    EXPECT_EQ(pool.servers[0].state, server_state::warming);
}

// Guards against a server that attracts calls by failing them quickly.
TEST(ejection, fast_failing_server_is_ejected_and_its_latency_is_ignored) {
    auto pool = pool_of(4);
    for (int i = 0; i < 6; ++i) {
        note_dispatch(pool.servers[0], start);
        note_end(pool, pool.servers[0], start, start + 100us, attempt_end::failed, std::nullopt);
    }
    EXPECT_EQ(pool.servers[0].latency_estimate, 0ms);
    review_servers(pool, start);
    EXPECT_EQ(pool.servers[0].state, server_state::ejected);
}

// Guards against an entry that ejects its whole pool because of a fault of its own.
TEST(ejection, at_most_half_of_the_pool_is_ejected) {
    auto pool = pool_of(8);
    for (auto& it : pool.servers) {
        it.failure_ratio = 1.0;
    }
    review_servers(pool, start);
    EXPECT_EQ(std::count_if(pool.servers.begin(), pool.servers.end(),
                            [](const auto& it) { return it.state == server_state::ejected; }),
              4);
}

// Guards against a drain from one source that another source revokes.
TEST(drain, no_source_overrides_another) {
    auto pool = pool_of(1);
    note_report(pool.servers[0], load_report{.draining = true}, start);
    update_servers(pool, {listed("s0")}, {}, 1, start);
    EXPECT_TRUE(is_draining(pool.servers[0]));
    update_servers(pool, {listed("s0")}, {server_id("s0")}, 1, start);
    note_report(pool.servers[0], load_report{}, start + 1min);
    EXPECT_TRUE(is_draining(pool.servers[0]));
    update_servers(pool, {listed("s0")}, {}, 1, start + 1min);
    EXPECT_FALSE(is_draining(pool.servers[0]));
}

// Guards against an update of the server list that discards calls in flight.
TEST(server_list, update_keeps_the_state_of_remaining_servers) {
    auto pool = pool_of(2);
    note_dispatch(pool.servers[1], start);
    update_servers(pool, {listed("s1"), listed("s9")}, {}, 4, start);
    ASSERT_EQ(find_server(pool, server_id("s1")), 0U);
    EXPECT_EQ(pool.servers[0].in_flight.size(), 1U);
    EXPECT_EQ(pool.servers[0].connection_share, 250U / 4U);
    EXPECT_EQ(find_server(pool, server_id("s0")), pool.servers.size());
}

} // namespace
} // namespace endivelever
