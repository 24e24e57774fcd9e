#include "endivelever/decide/peer_table.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};
const failure_domain domain_a("a");

registered_vm vm(const std::string& name, const std::string& domain = "a") {
    return {vm_id(name), failure_domain(domain), "peer-" + name};
}

std::vector<registered_vm> vms(std::size_t count) {
    std::vector<registered_vm> listed;
    for (std::size_t i = 0; i < count; ++i) {
        listed.push_back(vm("vm-" + std::to_string(i)));
    }
    return listed;
}

peer_table make_table(const std::string& own, const std::vector<registered_vm>& listed) {
    peer_table table;
    table.own = vm(own);
    table.own_caller_address = "caller-" + own;
    table.started = start;
    apply_registered(table, listed);
    return table;
}

gateway_status_message status(const vm_id& id, std::uint64_t sequence, bool is_head = true) {
    gateway_status_message it;
    it.vm = id;
    it.life = incarnation{1};
    it.sequence = sequence;
    it.failure_domain = domain_a;
    it.caller_address = "caller-" + id.text;
    it.peer_address = "peer-" + id.text;
    it.routing_version = 1;
    it.is_head = is_head;
    it.store_answers = true;
    return it;
}

// Guards against VMs that disagree on which of them watch the store.
TEST(peer_table, all_vms_select_the_same_heads) {
    std::set<std::vector<vm_id>> selections;
    for (std::size_t i = 0; i < 9; ++i) {
        auto table = make_table("vm-" + std::to_string(i), vms(9));
        selections.insert(find_heads(table, domain_a, start));
    }
    EXPECT_EQ(1U, selections.size());
    EXPECT_EQ(heads_per_domain, selections.begin()->size());
}

// Guards against a failure domain without heads after its heads failed.
TEST(peer_table, heads_that_timed_out_are_skipped) {
    auto table = make_table("vm-0", vms(9));
    const auto first = find_heads(table, domain_a, start);
    const auto later = find_heads(table, domain_a, start + peer_timeout + 10ms);
    for (const auto& it : first) {
        if (it != table.own.vm) {
            EXPECT_EQ(0, std::count(later.begin(), later.end(), it));
        }
    }
}

// Guards against a VM that waits forever for heads from which it receives no status, or for a list of VMs
// that it cannot read.
TEST(peer_table, vm_without_status_from_heads_reads_the_store) {
    auto table = make_table("vm-0", vms(30));
    table.loaded = false;
    EXPECT_FALSE(find_duties(table, false, {}, start + 1s).watches);
    EXPECT_TRUE(find_duties(table, false, {}, start + 2s).watches);
    table.confirmed_at = start + 2s;
    EXPECT_FALSE(find_duties(table, false, {}, start + 3s).watches);
}

struct confirmation_case {
    const char* name;
    std::uint64_t own_version;
    std::uint64_t own_revision;
    void (*change)(gateway_status_message&);
    duration confirmed; ///< expected, relative to `start`; 0 for none
    std::uint64_t own_evacuations = 0;
    store_era own_era{};
};

struct confirmation : testing::TestWithParam<confirmation_case> {};

// Guards against state that counts as current because a peer that holds a newer one is heard.
TEST_P(confirmation, counts_only_statuses_that_name_nothing_newer) {
    auto table = make_table("vm-0", vms(3));
    auto it = status(vm_id("vm-1"), 1);
    it.routing_version = 5;
    it.servers_revision.value = 50;
    it.knowledge_age_ms = 300;
    GetParam().change(it);
    ASSERT_TRUE(merge_status(table, it, start + 10s));
    update_confirmations(table, {GetParam().own_version,
                                 {GetParam().own_era, GetParam().own_revision},
                                 {GetParam().own_era, GetParam().own_evacuations}});
    const auto expected =
        GetParam().confirmed == duration::zero() ? time_point{} : start + GetParam().confirmed;
    EXPECT_EQ(expected, table.confirmed_at);
}

INSTANTIATE_TEST_SUITE_P(
    statuses, confirmation,
    testing::Values(
        confirmation_case{"same_versions", 5, 50, [](gateway_status_message&) {}, 9700ms},
        confirmation_case{"own_is_newer", 6, 51, [](gateway_status_message&) {}, 9700ms},
        confirmation_case{"newer_configuration", 4, 50, [](gateway_status_message&) {}, {}},
        confirmation_case{"newer_servers", 5, 49, [](gateway_status_message&) {}, {}},
        confirmation_case{
            "stopping", 5, 50, [](gateway_status_message& it) { it.state = member_state::leaving; }, {}},
        confirmation_case{
            "has_no_state", 5, 50, [](gateway_status_message& it) { it.routing_version = 0; }, {}},
        confirmation_case{"older_build",
                          5,
                          50,
                          [](gateway_status_message& it) {
                              it.knowledge_age_ms = gateway_status_message().knowledge_age_ms;
                          },
                          {}},
        confirmation_case{"same_evacuations", 5, 50,
                          [](gateway_status_message& it) { it.evacuations_revision.value = 60; }, 9700ms, 60},
        confirmation_case{"older_evacuations", 5, 50,
                          [](gateway_status_message& it) { it.evacuations_revision.value = 59; }, 9700ms, 60},
        confirmation_case{"newer_evacuations",
                          5,
                          50,
                          [](gateway_status_message& it) { it.evacuations_revision.value = 61; },
                          {},
                          60},
        confirmation_case{"evacuations_not_known_here",
                          5,
                          50,
                          [](gateway_status_message& it) { it.evacuations_revision.value = 60; },
                          {}},
        confirmation_case{"evacuations_not_known_there", 5, 50, [](gateway_status_message&) {}, 9700ms, 60},
        confirmation_case{"same_era", 5, 50,
                          [](gateway_status_message& it) {
                              it.servers_revision.era = store_era{2};
                              it.evacuations_revision.era = store_era{2};
                          },
                          9700ms, 0, store_era{2}},
        confirmation_case{"later_era",
                          5,
                          50,
                          [](gateway_status_message& it) {
                              it.servers_revision = {store_era{3}, 20};
                          },
                          {},
                          0,
                          store_era{2}},
        confirmation_case{"earlier_era",
                          5,
                          50,
                          [](gateway_status_message& it) {
                              it.servers_revision = {store_era{1}, 50};
                          },
                          {},
                          0,
                          store_era{2}},
        confirmation_case{"build_without_eras", 5, 50, [](gateway_status_message&) {}, {}, 0, store_era{2}}),
    [](const auto& it) { return it.param.name; });

struct unconfirmed_case {
    const char* name;
    bool is_head;
    duration age; ///< since the state was confirmed
    bool reads_store;
};

struct unconfirmed : testing::TestWithParam<unconfirmed_case> {};

// Guards against a VM that waits for its peers longer than a change may take.
TEST_P(unconfirmed, vm_reads_the_store) {
    const auto now = start + 60s;
    auto listed = vms(30);
    std::sort(listed.begin(), listed.end(), [](const registered_vm& left, const registered_vm& right) {
        return rank_of(left.vm, left.capacity) > rank_of(right.vm, right.capacity);
    });
    // The heads of another domain rank higher, so that a head of this domain is not a watcher of the fleet.
    auto table = make_table(listed[GetParam().is_head ? 0 : 9].vm.text, listed);
    for (std::size_t i = 0; i < watchers_per_fleet; ++i) {
        auto it = vm("watcher-" + std::to_string(i), "domain-" + std::to_string(i));
        it.capacity = 50;
        listed.push_back(it);
    }
    apply_registered(table, listed);
    std::uint64_t sequence = 0;
    for (const auto& it : listed) {
        if (it.vm != table.own.vm) {
            auto told = status(it.vm, ++sequence);
            told.failure_domain = it.failure_domain;
            told.capacity = it.capacity;
            merge_status(table, told, now);
        }
    }
    table.confirmed_at = now - GetParam().age;
    EXPECT_EQ(GetParam().reads_store, find_duties(table, false, {}, now).watches);
}

INSTANTIATE_TEST_SUITE_P(
    ages, unconfirmed,
    testing::Values(unconfirmed_case{"head_in_time", true, head_confirmation_limit, false},
                    unconfirmed_case{"head_late", true, head_confirmation_limit + 1ms, true},
                    unconfirmed_case{"member_in_time", false, confirmation_limit, false},
                    unconfirmed_case{"member_late", false, confirmation_limit + 1ms, true}),
    [](const auto& it) { return it.param.name; });

// Guards against several VMs that took over at the same time and leave the store to each other.
TEST(peer_table, only_a_reader_of_higher_rank_relieves_a_vm) {
    const auto now = start + 60s;
    auto table = make_table("vm-0", {vm("vm-0"), vm("higher"), vm("lower")});
    table.own.capacity = 20;
    for (const auto& [name, capacity] : {std::pair{"higher", 30U}, std::pair{"lower", 10U}}) {
        auto it = status(vm_id(name), 1);
        it.capacity = capacity;
        it.knowledge_age_ms = 0;
        it.store_answers = false;
        merge_status(table, it, now);
    }
    update_confirmations(table, {1, {}, {}});
    EXPECT_EQ(now, table.confirmed_at);
    EXPECT_EQ(time_point{}, table.confirmed_by_reader_at);
    for (const auto* name : {"lower", "higher"}) {
        auto it = status(vm_id(name), 2);
        it.capacity = table.peers.at(vm_id(name)).record.capacity;
        it.knowledge_age_ms = 0;
        merge_status(table, it, now);
        update_confirmations(table, {1, {}, {}});
        EXPECT_EQ(name == std::string("higher") ? now : time_point{}, table.confirmed_by_reader_at);
    }
}

// Guards against all VMs calling the store at once during its outage.
TEST(peer_table, takeover_during_store_outage_follows_rank) {
    std::vector<std::size_t> watching;
    for (const auto elapsed : {500ms, 2000ms, 20000ms}) {
        std::size_t n = 0;
        for (std::size_t i = 0; i < 30; ++i) {
            auto table = make_table("vm-" + std::to_string(i), vms(30));
            const auto now = start + elapsed;
            for (auto& it : table.peers) {
                merge_status(table, status(it.first, 1), now);
            }
            table.head_heard_at = now;
            table.domain_addresses = heard_addresses(table, true, now);
            n += find_duties(table, false, start, now).watches ? 1 : 0;
        }
        watching.push_back(n);
    }
    EXPECT_LE(watching[0], 3U);
    EXPECT_LE(watching[1], 8U);
    EXPECT_EQ(30U, watching[2]);
}

struct takeover_case {
    const char* name;
    std::size_t removed;       ///< VMs that are still registered
    std::size_t removed_heard; ///< of these, VMs that were heard before they were removed
    std::size_t left;          ///< VMs that serve callers, two of them heads
};

struct takeover : testing::TestWithParam<takeover_case> {};

// Guards against VMs that were removed for good and keep their turn in the order of takeover.
TEST_P(takeover, is_not_delayed_by_removed_vms) {
    const auto& param = GetParam();
    const auto listed = vms(param.removed + param.left);
    const auto now = start + 60s;
    std::vector<vm_id> ranked;
    ranked.reserve(listed.size());
    for (const auto& it : listed) {
        ranked.push_back(it.vm);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const vm_id& a, const vm_id& b) { return rank_of(a, 0) > rank_of(b, 0); });
    const std::vector<vm_id> heads(ranked.begin(), ranked.begin() + heads_per_domain);
    const std::vector<vm_id> members(
        ranked.begin() + static_cast<std::ptrdiff_t>(heads_per_domain + param.removed), ranked.end());
    std::size_t watching = 0;
    for (const auto& own : members) {
        auto table = make_table(own.text, listed);
        for (std::size_t i = 0; i < param.removed_heard; ++i) {
            merge_status(table, status(ranked[heads_per_domain + i], 1, false), start);
        }
        for (const auto& it : heads) {
            auto lost = status(it, 1);
            lost.store_answers = false;
            merge_status(table, lost, now);
            table.domain_addresses.push_back(lost.caller_address);
        }
        for (const auto& it : members) {
            table.domain_addresses.push_back("caller-" + it.text);
        }
        const auto limit = 500ms;
        watching += find_duties(table, false, now - limit, now).watches ? 1 : 0;
    }
    EXPECT_EQ(1U, watching);
}

INSTANTIATE_TEST_SUITE_P(fleets, takeover,
                         testing::Values(takeover_case{"none_removed", 0, 0, 5},
                                         takeover_case{"half_removed", 5, 5, 5},
                                         takeover_case{"removed_before_the_start", 5, 0, 5},
                                         takeover_case{"most_removed", 40, 20, 5},
                                         takeover_case{"two_left", 8, 8, 4}),
                         [](const auto& it) { return it.param.name; });

// Guards against a VM that stops reading the store at the moment when it learns that the heads cannot reach
// it.
TEST(peer_table, reader_goes_on_when_the_heads_lose_the_store) {
    const auto listed = vms(5);
    const auto now = start + 60s;
    for (const auto& own : listed) {
        auto table = make_table(own.vm.text, listed);
        EXPECT_TRUE(find_duties(table, true, now, now).watches) << own.vm.text;
    }
}

// Guards against a removed VM that is taken for a head again and again.
TEST(peer_table, removed_head_is_expected_ever_less_often) {
    auto table = make_table("vm-0", vms(3));
    const auto removed = find_heads(table, domain_a, start).front() == vm_id("vm-0")
                             ? find_heads(table, domain_a, start).back()
                             : find_heads(table, domain_a, start).front();
    std::size_t expected = 0;
    constexpr duration step = 250ms;
    constexpr duration played = 120s;
    for (auto now = start; now < start + played; now += step) {
        for (const auto& it : table.peers) {
            if (it.first != removed) {
                merge_status(table, status(it.first, static_cast<std::uint64_t>((now - start) / step)), now);
            }
        }
        const auto heads = find_heads(table, domain_a, now);
        expected += std::find(heads.begin(), heads.end(), removed) != heads.end() ? 1 : 0;
    }
    EXPECT_LE(expected * step, 6 * (peer_timeout + step));
    merge_status(table, status(removed, 1), start + played);
    const auto heads = find_heads(table, domain_a, start + played);
    EXPECT_NE(heads.end(), std::find(heads.begin(), heads.end(), removed));
}

// Guards against a reordered datagram that marks a leaving VM as serving again.
TEST(peer_table, older_status_is_ignored) {
    auto table = make_table("vm-0", vms(3));
    auto leaving = status(vm_id("vm-1"), 7);
    leaving.state = member_state::leaving;
    EXPECT_TRUE(merge_status(table, leaving, start));
    EXPECT_FALSE(merge_status(table, status(vm_id("vm-1"), 6), start));
    EXPECT_FALSE(is_serving(table.peers.at(vm_id("vm-1")), start));
    auto restarted = status(vm_id("vm-1"), 1);
    restarted.life = incarnation{2};
    EXPECT_TRUE(merge_status(table, restarted, start));
    EXPECT_TRUE(is_serving(table.peers.at(vm_id("vm-1")), start));
}

// Guards against directing callers to a VM that failed.
TEST(peer_table, vms_that_timed_out_are_not_returned) {
    auto table = make_table("vm-0", vms(3));
    table.own_caller_address = "own";
    merge_status(table, status(vm_id("vm-1"), 1), start);
    merge_status(table, status(vm_id("vm-2"), 1), start + 1s);
    const std::vector<std::string> expected{"own", "caller-vm-2"};
    EXPECT_EQ(expected, heard_addresses(table, true, start + peer_timeout + 10ms));
}

// Guards against answers with a single address, which leave a caller without an alternative if that VM fails.
TEST(peer_table, addresses_of_other_domains_fill_up_to_the_minimum) {
    random_source random(7, 1);
    const auto few = caller_addresses({"a"}, {"x", "y", "z"}, 3, random);
    EXPECT_EQ(3U, few.size());
    EXPECT_EQ("a", few.front());
    EXPECT_EQ(4U, caller_addresses({"a", "b", "c", "d"}, {"x"}, 3, random).size());
    EXPECT_EQ(64U, caller_addresses(std::vector<std::string>(100, "a"), {}, 3, random).size());
}

// Guards against selecting a small VM as a head, with the additional work, while larger ones are available.
TEST(peer_table, vms_with_larger_capacity_are_heads) {
    auto listed = vms(9);
    listed[3].capacity = 50;
    listed[7].capacity = 50;
    auto table = make_table("vm-0", listed);
    const auto heads = find_heads(table, domain_a, start);
    EXPECT_EQ((std::set<vm_id>{vm_id("vm-3"), vm_id("vm-7")}), std::set<vm_id>(heads.begin(), heads.end()));
}

constexpr std::size_t domains = 6;

/// Fleet of several failure domains with the same number of VMs each.
std::vector<registered_vm> fleet(std::size_t vms_per_domain) {
    std::vector<registered_vm> listed;
    for (std::size_t i = 0; i < domains * vms_per_domain; ++i) {
        listed.push_back(vm("vm-" + std::to_string(i), "d" + std::to_string(i % domains)));
    }
    return listed;
}

peer_table make_table_in_domain(const registered_vm& own, const std::vector<registered_vm>& listed) {
    auto table = make_table(own.vm.text, listed);
    table.own = own;
    return table;
}

gateway_status_message head_status(const registered_vm& head, std::uint64_t sequence, bool store_answers) {
    auto it = status(head.vm, sequence);
    it.failure_domain = head.failure_domain;
    it.store_answers = store_answers;
    return it;
}

// Guards against a number of store watchers that grows with the number of failure domains.
TEST(peer_table, few_heads_watch_the_store_for_the_whole_fleet) {
    const auto listed = fleet(10);
    std::size_t watching = 0;
    for (const auto& it : listed) {
        auto table = make_table_in_domain(it, listed);
        watching += find_duties(table, false, {}, start).watches ? 1 : 0;
    }
    EXPECT_EQ(watchers_per_fleet, watching);
}

// Guards against a fleet that learns of no change because just its watchers cannot reach the store.
TEST(peer_table, other_heads_take_over_if_watchers_cannot_reach_the_store) {
    const auto listed = fleet(10);
    std::size_t watching = 0;
    for (const auto& it : listed) {
        auto table = make_table_in_domain(it, listed);
        const auto now = start + 2s;
        for (const auto& other : listed) {
            merge_status(table, head_status(other, 1, false), now);
        }
        table.head_heard_at = now;
        EXPECT_FALSE(head_reaches_store(table, false, now));
        watching += find_duties(table, false, now, now).watches ? 1 : 0;
    }
    EXPECT_GT(watching, watchers_per_fleet);
    EXPECT_LE(watching, watchers_per_fleet + domains);
}

// Guards against seconds without a watcher after all watchers lost their connection to the store. Found by
// fault injection (scale-2, seed 319377578181): a network partition affected all three watchers, and requests
// reached a server 2,025 ms after it had announced that it was leaving.
TEST(peer_table, loss_of_the_store_reported_by_a_watcher_applies_at_once) {
    const auto listed = fleet(10);
    auto table = make_table_in_domain(listed.front(), listed);
    const auto now = start + 10s;
    merge_status(table, head_status(listed[1], 1, true), now);
    EXPECT_TRUE(head_reaches_store(table, false, now + 500ms));
    EXPECT_FALSE(head_reaches_store(table, false, now + 2s)) << "the last status is out of date";
    merge_status(table, head_status(listed[1], 2, true), now + 2s);
    EXPECT_TRUE(head_reaches_store(table, false, now + 2s));
    merge_status(table, head_status(listed[1], 3, false), now + 2s);
    EXPECT_FALSE(head_reaches_store(table, false, now + 2s));
}

// Guards against VMs that took over at the same time and then all stop in favor of each other, which would
// leave the store without a watcher.
TEST(peer_table, exactly_one_of_simultaneous_watchers_continues) {
    const auto listed = fleet(10);
    const auto now = start + 10s;
    std::size_t continuing = 0;
    for (const auto& it : listed) {
        auto table = make_table_in_domain(it, listed);
        for (const auto& other : listed) {
            if (other.vm != it.vm) {
                merge_status(table, head_status(other, 1, true), now);
            }
        }
        continuing += head_reaches_store(table, true, now) ? 0 : 1;
    }
    EXPECT_EQ(1U, continuing);
}

} // namespace
} // namespace endivelever
