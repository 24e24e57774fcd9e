#include "endivelever/decide/observe.hpp"
#include "endivelever/decide/probe_choice.hpp"
#include "endivelever/decide/retry.hpp"
#include "endivelever/decide/wait_queue.hpp"

#include <gtest/gtest.h>
#include <set>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};
constexpr duration usual_time = 80ms;

waiting_request waiting(request_number number, duration age = 0ms, std::uint32_t rank = 0) {
    waiting_request it;
    it.request = number;
    it.rank = rank;
    it.arrived = start - age;
    it.queued_at = start - age;
    it.latency_target = 250ms;
    it.deadline = start - age + 1000ms;
    it.probing_done = true;
    return it;
}

server_offer offer(duration predicted, bool at_ease, bool has_room = true) {
    server_offer it;
    it.server = server_id("s");
    it.predicted_latency = predicted;
    it.has_spare_capacity = at_ease;
    it.has_free_slot = has_room;
    return it;
}

request_number chosen(const wait_queue& queue, const server_offer& it) {
    const auto position = select_request(queue, it, usual_time, start);
    return position ? queue[*position].request : 0;
}

// Guards against giving a fast server to a request that already missed its target instead of to one that can
// still meet it.
TEST(wait_queue, requests_in_time_precede_late_requests) {
    const wait_queue queue{waiting(1, 300ms), waiting(2, 20ms), waiting(3, 40ms)};
    EXPECT_EQ(3U, chosen(queue, offer(usual_time, true)));
}

// Guards against urgent requests that wait behind others of the same service.
TEST(wait_queue, rank_precedes_age) {
    EXPECT_EQ(2U, chosen({waiting(1, 60ms, 1), waiting(2, 0ms, 0)}, offer(usual_time, true)));
}

// Guards against refusing the retries of a caller again and again.
TEST(wait_queue, age_of_a_retried_request_counts_from_its_first_attempt) {
    auto retried = waiting(2, 0ms);
    retried.prior_attempts_time = 100ms;
    EXPECT_EQ(2U, chosen({waiting(1, 50ms), retried}, offer(usual_time, true)));
    auto late = waiting(3, 300ms);
    late.prior_attempts_time = 100ms;
    EXPECT_EQ(std::vector<request_number>{4},
              requests_to_refuse({late, waiting(4, 300ms), waiting(5)}, usual_time, start));
}

// Guards against refusing a late request when no other request competes for the servers.
TEST(wait_queue, late_requests_stay_if_no_other_request_waits) {
    EXPECT_TRUE(requests_to_refuse({waiting(1, 300ms), waiting(2, 400ms)}, usual_time, start).empty());
}

struct offer_case {
    const char* name;
    duration age;
    server_offer server;
    bool settles;
    bool accepted;
};

struct wait_queue_offer : testing::TestWithParam<offer_case> {};

// Guards against sending a request to a slow server while a better one could still serve it in time, and
// against requests that wait for a fast server until their deadline passes.
TEST_P(wait_queue_offer, is_accepted_if_it_suits_the_request) {
    auto it = waiting(1, GetParam().age);
    it.probing_done = GetParam().settles;
    EXPECT_EQ(GetParam().accepted, chosen({it}, GetParam().server) == 1);
}

INSTANTIATE_TEST_SUITE_P(
    servers, wait_queue_offer,
    testing::Values(offer_case{"uncontended", 0ms, offer(usual_time, true), false, true},
                    offer_case{"busy_while_probes_are_pending", 0ms, offer(140ms, false), false, false},
                    offer_case{"busy_after_all_probes", 0ms, offer(140ms, false), true, true},
                    offer_case{"full", 0ms, offer(140ms, false, false), true, false},
                    offer_case{"slow_while_a_fast_one_meets_the_target", 0ms, offer(320ms, false), true,
                               false},
                    offer_case{"slow_after_the_target_is_missed", 200ms, offer(320ms, false), true, true},
                    offer_case{"slower_than_the_deadline", 900ms, offer(320ms, false), true, false}),
    [](const auto& it) { return it.param.name; });

server_pool pool_of(std::size_t count) {
    server_pool pool;
    pool.own_domain = failure_domain("a");
    std::vector<listed_server> servers;
    for (std::size_t i = 0; i < count; ++i) {
        const auto name = "s" + std::to_string(i);
        listed_server it;
        it.id = server_id(name);
        it.failure_domain = failure_domain(i % 2 == 0 ? "a" : "b");
        it.address = socket_address(name);
        it.slots = 4;
        servers.push_back(it);
    }
    update_servers(pool, servers, {}, 1, start - 1h);
    for (auto& it : pool.servers) {
        it.state = server_state::serving;
        it.connection_share = 100;
    }
    return pool;
}

load_report report(std::uint32_t running, double slowdown) {
    load_report it;
    it.running = running;
    it.slowdown = slowdown;
    return it;
}

/// Applies changed subset settings to the pool.
server_pool update_subset(server_pool pool) {
    std::vector<listed_server> servers;
    for (const auto& it : pool.servers) {
        servers.push_back(it.listed);
    }
    update_servers(pool, servers, {}, 1, start - 1h);
    for (auto& it : pool.servers) {
        it.connection_share = 100;
    }
    return pool;
}

// Guards against probing servers that cannot be used, that did not answer the last probe, or that are known
// to be slow.
TEST(probe_choice, probes_the_best_candidates) {
    auto pool = pool_of(6);
    pool.servers[0].drain_sources = 1;
    note_probe_timeout(pool.servers[1], start);
    note_report(pool.servers[2], report(0, 4.0), start - 5ms);
    note_report(pool.servers[3], report(4, 1.0), start - 5ms);
    random_source random(7, 1);
    const auto picked = pick_candidates(pool, {server_id("s5")}, 4, false, start, random);
    ASSERT_EQ(4U, picked.size());
    EXPECT_EQ(4U, picked.front());
    EXPECT_EQ(1U, picked.back());
}

// Guards against large responses that cross failure domains although servers of the own domain are available.
TEST(probe_choice, large_responses_stay_in_the_own_domain) {
    const auto pool = pool_of(6);
    random_source random(7, 1);
    for (const auto index : pick_candidates(pool, {}, 3, true, start, random)) {
        EXPECT_EQ(failure_domain("a"), pool.servers[index].listed.failure_domain);
    }
}

/// Servers that a VM probes within 10 s, the time after which servers close idle connections, at 2.75
/// requests per second with four probes each. One answer in four reports a slow server.
std::set<server_index> probed_within_idle_timeout(server_pool& pool) {
    std::set<server_index> probed;
    random_source random(7, 1);
    for (int i = 0; i < 27; ++i) {
        const auto now = start + i * 360ms;
        for (const auto index : pick_candidates(pool, {}, 4, false, now, random)) {
            probed.insert(index);
            note_report(pool.servers[index], report(0, random_unit(random) < 0.25 ? 4.0 : 1.0), now);
        }
    }
    return probed;
}

// Guards against opening a new connection for nearly every probe of a service with hundreds of servers.
TEST(probe_choice, vm_reuses_its_preferred_servers) {
    auto pool = pool_of(646);
    EXPECT_GT(probed_within_idle_timeout(pool).size(), 2 * preferred_subset_size);
    pool = pool_of(646);
    pool.own_vm = vm_id("vm-1");
    pool.subset_size = preferred_subset_size;
    pool = update_subset(pool);
    const auto probed = probed_within_idle_timeout(pool);
    EXPECT_LE(probed.size(), preferred_subset_size);
    for (const auto index : probed) {
        EXPECT_EQ(failure_domain("a"), pool.servers[index].listed.failure_domain);
    }
}

// Guards against a VM that uses only its preferred servers although all of them are busy.
TEST(probe_choice, other_servers_are_probed_if_preferred_ones_are_busy) {
    auto pool = pool_of(646);
    pool.own_vm = vm_id("vm-1");
    pool.subset_size = preferred_subset_size;
    pool = update_subset(pool);
    for (auto& it : pool.servers) {
        if (it.in_subset) {
            note_report(it, report(4, 4.0), start - 5ms);
        }
    }
    random_source random(7, 1);
    for (const auto index : pick_candidates(pool, {}, 3, false, start, random)) {
        EXPECT_FALSE(pool.servers[index].in_subset);
    }
}

// Guards against a total probe rate of all VMs above the platform's limit.
TEST(probe_choice, probes_stay_within_the_limit) {
    constexpr std::uint32_t vms = 13;
    constexpr std::size_t servers = 29;
    constexpr int seconds = 60;
    std::size_t probes = 0;
    for (std::uint32_t vm = 0; vm < vms; ++vm) {
        probe_budget budget;
        for (int ms = 0; ms < seconds * 1000; ms += 10) {
            credit_probes(budget, 60.0, servers, vms, start + std::chrono::milliseconds(ms));
            probes += take_probes(budget, 8);
        }
    }
    EXPECT_LE(probes, 60U * servers * seconds);
    EXPECT_GE(probes, 40U * servers * seconds);
}

struct hedge_case {
    const char* name;
    duration age;
    duration target;
    bool due;
};

struct hedge_rule : testing::TestWithParam<hedge_case> {};

// Guards against hedged requests that are sent too early to be needed or too late to help.
TEST_P(hedge_rule, is_due_if_a_second_server_still_helps) {
    EXPECT_EQ(GetParam().due, is_hedge_due(GetParam().age, GetParam().age, usual_time, GetParam().target));
}

INSTANTIATE_TEST_SUITE_P(ages, hedge_rule,
                         testing::Values(hedge_case{"most_requests_take_as_long", 60ms, 200ms, false},
                                         hedge_case{"last_useful_moment", 104ms, 200ms, true},
                                         hedge_case{"too_late", 150ms, 200ms, false},
                                         hedge_case{"stuck", 400ms, 200ms, true},
                                         hedge_case{"target_far_ahead", 150ms, 1000ms, false}),
                         [](const auto& it) { return it.param.name; });

/// Servers whose speed changes at random every 300 ms, as on the target platform. At any time, a quarter of
/// them takes four times as long.
struct speed_model {
    random_source random{11, 1};
    std::vector<double> slowdown;

    explicit speed_model(std::size_t servers) : slowdown(servers, 1.0) {}

    void change_speeds() {
        for (auto& it : slowdown) {
            it = random_unit(random) < 0.25 ? 4.0 : 1.0;
        }
    }
};

/// Share of requests that are sent to a slow server. The VM sends a request to the service every 60 ms, about
/// 16 a second, so that five requests see the same speeds.
/// @param with_probes  true if servers are probed before each request
double slow_share(bool with_probes) {
    auto pool = pool_of(20);
    speed_model model(20);
    random_source random(7, 1);
    int slow = 0;
    constexpr int requests = 3000;
    for (int i = 0; i < requests; ++i) {
        const auto now = start + i * 60ms;
        if (i % 5 == 0) {
            model.change_speeds();
        }
        auto index = pick_candidates(pool, {}, 1, false, now, random).front();
        if (with_probes) {
            std::vector<server_id> probed;
            for (std::size_t round = 0; round < max_probes_per_request / initial_probes; ++round) {
                bool found = false;
                for (const auto candidate :
                     pick_candidates(pool, probed, initial_probes, false, now, random)) {
                    auto& view = pool.servers[candidate];
                    probed.push_back(view.listed.id);
                    note_report(view, report(0, model.slowdown[candidate]), now);
                    if (!found && is_uncontended(view.last_report, view.slots)) {
                        index = candidate;
                        found = true;
                    }
                }
                if (found) {
                    break;
                }
            }
        }
        slow += model.slowdown[index] > 1.0 ? 1 : 0;
        note_report(pool.servers[index], report(0, model.slowdown[index]), now);
    }
    return static_cast<double>(slow) / requests;
}

// Guards against choosing servers by the load reports of earlier responses. At 26 requests per second and VM,
// these reports are older than the time for which a server keeps its speed.
TEST(probe_choice, probes_before_a_request_avoid_slow_servers) {
    const double share_with_probes = slow_share(true);
    EXPECT_LT(share_with_probes, 0.01);
    EXPECT_GT(slow_share(false), 4 * share_with_probes);
}

} // namespace
} // namespace endivelever
