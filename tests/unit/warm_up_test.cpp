#include "endivelever/decide/warm_up.hpp"

#include "endivelever/base/random.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};
constexpr double usual_bound = 21.2; // 8.8 requests a second x 1.5 + 8

struct sender_case {
    const char* name;
    double bound;
    std::size_t senders;
};

struct warm_up_sender_count : testing::TestWithParam<sender_case> {};

// Guards against more senders than the bound allows, and against none where one is allowed.
TEST_P(warm_up_sender_count, leaves_room_for_members_that_disagree) {
    EXPECT_EQ(GetParam().senders, warm_up_senders(GetParam().bound));
}

INSTANTIATE_TEST_SUITE_P(bounds, warm_up_sender_count,
                         testing::Values(sender_case{"usual", usual_bound, 7}, sender_case{"zero", 0.0, 0},
                                         sender_case{"negative", -1.0, 0}, sender_case{"below_two", 1.99, 0},
                                         sender_case{"two", 2.0, 1}, sender_case{"six", 6.0, 1},
                                         sender_case{"eight", 8.0, 1}, sender_case{"ten", 10.0, 2},
                                         sender_case{"hundred", 100.0, 47}),
                         [](const auto& it) { return it.param.name; });

warm_up_member member(std::size_t i) {
    return {vm_id("vm-" + std::to_string(i)), failure_domain("zone-" + std::to_string(i % 3))};
}

/// Members as one VM knows them: without itself and without those in `unknown`.
std::vector<warm_up_member> others_of(std::size_t own, std::size_t vms,
                                      const std::vector<std::size_t>& unknown) {
    std::vector<warm_up_member> others;
    for (std::size_t i = 0; i < vms; ++i) {
        if (i != own && std::find(unknown.begin(), unknown.end(), i) == unknown.end()) {
            others.push_back(member(i));
        }
    }
    return others;
}

/// Largest number of events in any second.
std::size_t largest_count(std::vector<time_point> sent) {
    std::sort(sent.begin(), sent.end());
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
        while (sent[last] - sent[first] >= 1s) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

struct fleet_case {
    const char* name;
    std::size_t vms;
    std::size_t unknown; ///< members that some of the VMs do not know
};

struct warm_up_fleet : testing::TestWithParam<fleet_case> {};

// Guards against VMs that each keep to their share and exceed together what a cold server tolerates. Every VM
// sends whenever it may, and half of the VMs do not know some members.
TEST_P(warm_up_fleet, never_exceeds_the_bound_in_any_second) {
    const auto& param = GetParam();
    random_source random(1);
    std::size_t most_senders = 0;
    for (int server = 0; server < 12; ++server) {
        const server_id id("i-" + std::to_string(server));
        const failure_domain domain("zone-" + std::to_string(server % 3));
        std::vector<std::size_t> unknown;
        while (unknown.size() < param.unknown) {
            unknown.push_back(random_below(random, static_cast<std::uint32_t>(param.vms)));
        }
        std::vector<warm_up_allowance> senders;
        for (std::size_t i = 0; i < param.vms; ++i) {
            const auto others = others_of(i, param.vms, i % 2 == 0 ? unknown : std::vector<std::size_t>{});
            if (is_warm_up_sender(id, domain, member(i), others, warm_up_senders(usual_bound))) {
                senders.emplace_back();
                const auto told = start + std::chrono::milliseconds(random_below(random, 1000));
                note_cold(senders.back(), start + 1h, true, told);
            }
        }
        most_senders = std::max(most_senders, senders.size());
        EXPECT_GE(senders.size(), std::min<std::size_t>(param.vms, 7));
        std::vector<time_point> sent;
        for (auto now = start + 1s; now < start + 8s; now += 5ms) {
            for (auto& it : senders) {
                if (next_request_at(it, now) <= now) {
                    note_request_sent(it, now);
                    sent.push_back(now);
                }
            }
        }
        EXPECT_LE(static_cast<double>(largest_count(sent)), usual_bound);
        EXPECT_GE(sent.size(), 5 * senders.size());
    }
    EXPECT_LE(most_senders, 10U);
}

INSTANTIATE_TEST_SUITE_P(fleets, warm_up_fleet,
                         testing::Values(fleet_case{"one", 1, 0}, fleet_case{"three", 3, 0},
                                         fleet_case{"three_unknown", 3, 2}, fleet_case{"all_94", 94, 0},
                                         fleet_case{"three_of_94_unknown", 94, 3},
                                         fleet_case{"all_472", 472, 0},
                                         fleet_case{"three_of_472_unknown", 472, 3}),
                         [](const auto& it) { return it.param.name; });

// Guards against tokens that a paused VM saves and sends at once after the pause.
TEST(warm_up, tokens_do_not_accumulate_during_a_pause) {
    warm_up_allowance it;
    note_cold(it, start + 1h, true, start);
    const auto resumed = start + 60s;
    std::size_t sent = 0;
    while (next_request_at(it, resumed) <= resumed) {
        note_request_sent(it, resumed);
        ++sent;
    }
    EXPECT_EQ(1, sent);
    EXPECT_EQ(resumed + 1s, next_request_at(it, resumed));
}

// Guards against a saved token that is used just after the server has become cold.
TEST(warm_up, begins_without_a_token) {
    warm_up_allowance it;
    note_cold(it, start + 10s, true, start);
    EXPECT_EQ(start + 1s, next_request_at(it, start));
    note_cold(it, start + 20s, true, start + 900ms); // a further statement does not take the gain back
    EXPECT_EQ(start + 1s, next_request_at(it, start + 900ms));
}

// Guards against requests from VMs that are not among the senders.
TEST(warm_up, other_vms_wait_until_the_server_is_warm) {
    warm_up_allowance it;
    note_cold(it, start + 10s, false, start);
    EXPECT_EQ(start + 10s, next_request_at(it, start + 5s));
    EXPECT_EQ(start + 10s, next_request_at(it, start + 10s));
}

// Guards against a server that stays limited after it has said that it is warm.
TEST(warm_up, ends_with_the_time_or_a_statement) {
    warm_up_allowance it;
    note_cold(it, start + 10s, true, start);
    EXPECT_TRUE(is_cold(it, start + 10s - 1ns));
    EXPECT_FALSE(is_cold(it, start + 10s));
    note_cold(it, start + 2s, true, start + 2s);
    EXPECT_FALSE(is_cold(it, start + 2s));
    EXPECT_EQ(start + 2s, next_request_at(it, start + 2s));
    note_request_sent(it, start + 2s); // not counted
    EXPECT_EQ(start + 2s, next_request_at(it, start + 2s));
}

// Guards against a VM that sends nothing to a cold server although it knows no other VM.
TEST(warm_up, single_vm_uses_one_share) {
    EXPECT_TRUE(is_warm_up_sender(server_id("i"), failure_domain("zone-b"), member(0), {}, 1));
    EXPECT_FALSE(is_warm_up_sender(server_id("i"), failure_domain("zone-b"), member(0), {}, 0));
}

// Guards against traffic between failure domains while VMs of the server's domain can send.
TEST(warm_up, vms_of_the_domain_come_first) {
    for (std::size_t i = 0; i < 94; ++i) {
        const auto sends =
            is_warm_up_sender(server_id("i"), failure_domain("zone-1"), member(i), others_of(i, 94, {}), 7);
        EXPECT_TRUE(!sends || i % 3 == 1) << i;
    }
}

} // namespace
} // namespace endivelever
