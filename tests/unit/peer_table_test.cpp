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

peer_table table_of(const std::string& own, const std::vector<registered_vm>& listed) {
    peer_table table;
    table.own = vm(own);
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

// Guards against VMs that disagree on who watches the store.
TEST(peer_table, all_vms_name_the_same_heads) {
    std::set<std::vector<vm_id>> views;
    for (std::size_t i = 0; i < 9; ++i) {
        auto table = table_of("vm-" + std::to_string(i), vms(9));
        views.insert(find_heads(table, domain_a, start));
    }
    EXPECT_EQ(1U, views.size());
    EXPECT_EQ(heads_per_domain, views.begin()->size());
}

// Guards against a failure domain without a watch after its heads died.
TEST(peer_table, silent_heads_are_passed_over) {
    auto table = table_of("vm-0", vms(9));
    const auto first = find_heads(table, domain_a, start);
    const auto later = find_heads(table, domain_a, start + silence_limit + 10ms);
    for (const auto& it : first) {
        if (it != table.own.vm) {
            EXPECT_EQ(0, std::count(later.begin(), later.end(), it));
        }
    }
}

// Guards against a VM that waits for heads that it cannot hear, and for a list that it cannot read.
TEST(peer_table, a_vm_that_hears_no_head_reads_the_store_itself) {
    auto table = table_of("vm-0", vms(30));
    table.loaded = false;
    EXPECT_FALSE(find_duties(table, {}, start + 1s).watches);
    EXPECT_TRUE(find_duties(table, {}, start + 2s).watches);
    table.head_heard_at = start + 2s;
    EXPECT_FALSE(find_duties(table, {}, start + 3s).watches);
}

// Guards against an outage of the store that makes all VMs call it at once.
TEST(peer_table, takeover_during_an_outage_goes_by_rank) {
    std::vector<std::size_t> watching;
    for (const auto after : {500ms, 2000ms, 20000ms}) {
        std::size_t n = 0;
        for (std::size_t i = 0; i < 30; ++i) {
            auto table = table_of("vm-" + std::to_string(i), vms(30));
            const auto now = start + after;
            for (auto& it : table.peers) {
                merge_status(table, status(it.first, 1), now);
            }
            table.head_heard_at = now;
            n += find_duties(table, start, now).watches ? 1 : 0;
        }
        watching.push_back(n);
    }
    EXPECT_LE(watching[0], 3U);
    EXPECT_LE(watching[1], 8U);
    EXPECT_EQ(30U, watching[2]);
}

// Guards against an old datagram that brings back a VM that said it is leaving.
TEST(peer_table, older_status_is_ignored) {
    auto table = table_of("vm-0", vms(3));
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

// Guards against callers that are sent to a VM that died.
TEST(peer_table, silent_vms_are_not_named) {
    auto table = table_of("vm-0", vms(3));
    merge_status(table, status(vm_id("vm-1"), 1), start);
    merge_status(table, status(vm_id("vm-2"), 1), start + 1s);
    const std::vector<std::string> wanted{"own", "caller-vm-2"};
    EXPECT_EQ(wanted, heard_addresses(table, "own", true, start + silence_limit + 10ms));
}

// Guards against answers with a single address: a caller that fails there has no other.
TEST(peer_table, answers_are_filled_up_from_other_domains) {
    random_source random(7, 1);
    const auto few = caller_addresses({"a"}, {"x", "y", "z"}, 3, random);
    EXPECT_EQ(3U, few.size());
    EXPECT_EQ("a", few.front());
    EXPECT_EQ(4U, caller_addresses({"a", "b", "c", "d"}, {"x"}, 3, random).size());
    EXPECT_EQ(64U, caller_addresses(std::vector<std::string>(100, "a"), {}, 3, random).size());
}

} // namespace
} // namespace endivelever
