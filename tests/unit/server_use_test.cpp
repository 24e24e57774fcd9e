#include "endivelever/decide/server_use.hpp"

#include "endivelever/decide/probe_choice.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point now{100s};
constexpr auto never = time_point::max();

void drain(server_view& it) {
    it.drain_sources = static_cast<std::uint8_t>(drain_source::vm_list);
}

void evacuate(server_view& it) {
    it.evacuated = true;
}

void cool(server_view& it, bool is_sender) {
    note_cold(it.warm_up_use, now + 30s, is_sender, now);
}

void pause(server_view& it) {
    it.allowance.paused_until = now + 5s;
}

/// The VM has used up its token and gets the next one after 2 s.
void limit(server_view& it) {
    it.allowance.fleet_limit = 10.0;
    it.allowance.rate = 0.5;
    it.allowance.tokens = 0.0;
    it.allowance.credited_at = now;
}

struct use_case {
    const char* name;
    void (*change)(server_view&);
    use_denial denial;
    time_point next;
    bool probed;
};

struct server_use : testing::TestWithParam<use_case> {};

// Guards against requests to a server that must not get one, and against requests that wait for a server that
// is not foreseeable or longer than needed.
TEST_P(server_use, says_why_and_until_when) {
    server_view view;
    GetParam().change(view);
    EXPECT_EQ(GetParam().denial, find_use_denial(view, now)) << to_string(find_use_denial(view, now));
    EXPECT_EQ(GetParam().denial == use_denial::none, may_use(view, now));
    EXPECT_EQ(GetParam().next, next_use_at(view, now));
    EXPECT_EQ(GetParam().probed, may_probe(view));
    if (GetParam().next != never) {
        EXPECT_TRUE(may_use(view, GetParam().next)) << to_string(find_use_denial(view, GetParam().next));
        EXPECT_TRUE(GetParam().next == now || !may_use(view, GetParam().next - 2ms));
    }
}

INSTANTIATE_TEST_SUITE_P(
    denials, server_use,
    testing::Values(
        use_case{"none", [](server_view&) {}, use_denial::none, now, true},
        use_case{"draining", &drain, use_denial::draining, never, false},
        use_case{
            "drained_by_operators",
            [](server_view& it) { it.drain_sources = static_cast<std::uint8_t>(drain_source::operators); },
            use_denial::draining, never, false},
        use_case{
            "drains_by_report",
            [](server_view& it) { it.drain_sources = static_cast<std::uint8_t>(drain_source::load_report); },
            use_denial::draining, never, false},
        use_case{"evacuated", &evacuate, use_denial::evacuated, never, false},
        use_case{"cold_sender", [](server_view& it) { cool(it, true); }, use_denial::cold, now + 1s, true},
        use_case{"cold_sender_with_a_token",
                 [](server_view& it) {
                     cool(it, true);
                     it.warm_up_use.tokens = 1.0;
                 },
                 use_denial::none, now, true},
        use_case{"cold_other", [](server_view& it) { cool(it, false); }, use_denial::cold, now + 30s, true},
        use_case{"cold_until_now",
                 [](server_view& it) {
                     cool(it, false);
                     it.warm_up_use.cold_until = now;
                 },
                 use_denial::none, now, true},
        use_case{"paused", &pause, use_denial::paused, now + 5s, true},
        use_case{"paused_until_now", [](server_view& it) { it.allowance.paused_until = now; },
                 use_denial::none, now, true},
        use_case{"limited", &limit, use_denial::limited, now + 2s, true},
        use_case{"limited_with_a_token",
                 [](server_view& it) {
                     limit(it);
                     it.allowance.tokens = 1.0;
                 },
                 use_denial::none, now, true},
        use_case{"limited_to_nothing",
                 [](server_view& it) {
                     limit(it);
                     it.allowance.rate = 0.0;
                 },
                 use_denial::limited, never, true},
        use_case{"draining_before_evacuated",
                 [](server_view& it) {
                     drain(it);
                     evacuate(it);
                 },
                 use_denial::draining, never, false},
        use_case{"evacuated_before_cold",
                 [](server_view& it) {
                     evacuate(it);
                     cool(it, false);
                 },
                 use_denial::evacuated, never, false},
        use_case{"evacuated_before_paused_and_limited",
                 [](server_view& it) {
                     evacuate(it);
                     pause(it);
                     limit(it);
                 },
                 use_denial::evacuated, never, false},
        use_case{"cold_before_paused",
                 [](server_view& it) {
                     cool(it, true);
                     pause(it);
                 },
                 use_denial::cold, now + 5s, true},
        use_case{"cold_longer_than_paused",
                 [](server_view& it) {
                     cool(it, false);
                     pause(it);
                 },
                 use_denial::cold, now + 30s, true},
        use_case{"paused_before_limited",
                 [](server_view& it) {
                     pause(it);
                     limit(it);
                 },
                 use_denial::paused, now + 5s, true},
        use_case{"cold_and_limited",
                 [](server_view& it) {
                     cool(it, true);
                     limit(it);
                 },
                 use_denial::cold, now + 2s, true}),
    [](const auto& it) { return it.param.name; });

// Guards against requests that are refused although one server of several may be used later, and against
// requests that wait although all are evacuated.
TEST(first_use, is_that_of_the_first_server_that_may_be_used) {
    server_pool pool;
    pool.servers.resize(3);
    for (auto& it : pool.servers) {
        evacuate(it);
    }
    EXPECT_EQ(never, first_request_at(pool, {}, now));
    pool.servers[1].evacuated = false;
    cool(pool.servers[1], true);
    EXPECT_EQ(now + 1s, first_request_at(pool, {}, now));
    pool.servers[2].evacuated = false;
    EXPECT_EQ(now, first_request_at(pool, {}, now));
}

// Guards against reasons that an operator cannot tell apart.
TEST(use_denial_name, is_distinct) {
    const auto all = {use_denial::none, use_denial::draining, use_denial::evacuated,
                      use_denial::cold, use_denial::paused,   use_denial::limited};
    std::vector<std::string> names;
    for (const auto it : all) {
        names.emplace_back(to_string(it));
    }
    std::sort(names.begin(), names.end());
    EXPECT_EQ(names.end(), std::adjacent_find(names.begin(), names.end()));
}

} // namespace
} // namespace endivelever
