#include "endivelever/decide/address_answer.hpp"
#include "endivelever/decide/document_table.hpp"
#include "endivelever/decide/membership.hpp"

#include <gtest/gtest.h>
#include <map>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

struct merge_case {
    const char* name;
    document_message incoming;
    bool changes;
    std::uint64_t conflicts;
    std::uint64_t refused;
};

class document_merge : public testing::TestWithParam<merge_case> {};

// Guards against a decreasing version, a silent replacement of content under the same version, and an
// unbounded table.
TEST_P(document_merge, keeps_the_highest_version) {
    document_table table;
    ASSERT_TRUE(merge_document(table, {in_force_key, {5}, "five"}));
    EXPECT_EQ(merge_document(table, GetParam().incoming), GetParam().changes);
    EXPECT_EQ(table.conflicts, GetParam().conflicts);
    EXPECT_EQ(table.refused, GetParam().refused);
    EXPECT_EQ(version_of(table, GetParam().incoming.key) == GetParam().incoming.version,
              GetParam().changes || GetParam().incoming.version == document_version{5});
}

INSTANTIATE_TEST_SUITE_P(
    cases, document_merge,
    testing::Values(merge_case{"higher", {in_force_key, {6}, "six"}, true, 0, 0},
                    merge_case{"lower", {in_force_key, {4}, "four"}, false, 0, 0},
                    merge_case{"repeated", {in_force_key, {5}, "five"}, false, 0, 0},
                    merge_case{"same_version_other_payload", {in_force_key, {5}, "other"}, false, 1, 0},
                    merge_case{"other_key", {drains_key, {1}, "{}"}, true, 0, 0},
                    merge_case{"too_large", {in_force_key, {7}, std::string(1048577, 'x')}, false, 0, 1}),
    [](const auto& it) { return it.param.name; });

// Guards against an exchange that fills a link's send queue, and against a preset in force that is sent after
// other documents.
TEST(document_exchange, sends_the_preset_in_force_first_and_stops_at_the_limit) {
    document_table table;
    merge_document(table, {document_key("preset/definition/a"), {1}, std::string(900, 'a')});
    merge_document(table, {in_force_key, {2}, std::string(900, 'b')});
    merge_document(table, {vm_list_key, {3}, std::string(900, 'c')});
    const auto sent = documents_newer_than(table, {}, byte_count{2000});
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent[0].key, in_force_key);
    EXPECT_EQ(sent[1].key, vm_list_key);
}

member_record member(const char* vm, std::uint64_t life, std::uint64_t sequence) {
    member_record it;
    it.vm = vm_id(vm);
    it.life.value = life;
    it.sequence = sequence;
    it.failure_domain = failure_domain("a");
    it.feed_address = "127.0.0.1:1";
    it.entry_life.value = 1;
    return it;
}

struct heartbeat_case {
    const char* name;
    member_record incoming;
    heartbeat_effect effect;
    std::uint64_t own_life;
};

class heartbeat_merge : public testing::TestWithParam<heartbeat_case> {};

// Guards against records of an earlier incarnation replacing later ones, and against a process whose clock
// was set back and whose records are ignored from then on.
TEST_P(heartbeat_merge, stores_only_newer_records) {
    membership members;
    members.self = member("me", 7, 10);
    merge_heartbeat(members, member("peer", 4, 5), time_point{1s});
    EXPECT_EQ(merge_heartbeat(members, GetParam().incoming, time_point{2s}), GetParam().effect);
    EXPECT_EQ(members.self.life.value, GetParam().own_life);
}

INSTANTIATE_TEST_SUITE_P(
    cases, heartbeat_merge,
    testing::Values(
        heartbeat_case{"next", member("peer", 4, 6), heartbeat_effect::newer, 7},
        heartbeat_case{"repeated", member("peer", 4, 5), heartbeat_effect::ignored, 7},
        heartbeat_case{"overtaken", member("peer", 4, 4), heartbeat_effect::outdated, 7},
        heartbeat_case{"later_life", member("peer", 5, 1), heartbeat_effect::newer, 7},
        heartbeat_case{"lower_life", member("peer", 3, 90), heartbeat_effect::outdated, 7},
        heartbeat_case{"own_echo", member("me", 7, 9), heartbeat_effect::ignored, 7},
        heartbeat_case{"own_unsent", member("me", 7, 11), heartbeat_effect::own_incarnation_raised, 8},
        heartbeat_case{"own_later", member("me", 20, 1), heartbeat_effect::own_incarnation_raised, 21}),
    [](const auto& it) { return it.param.name; });

vm_list make_list(std::vector<listed_entry> entries) {
    return vm_list{std::move(entries), {}};
}

listed_entry listed(const char* vm, bool leaving) {
    return {vm_id(vm),
            failure_domain("a"),
            socket_address("127.0.0.1:3"),
            socket_address("127.0.0.1:4"),
            socket_address("127.0.0.1:5"),
            leaving};
}

struct serving_case {
    const char* name;
    duration silence;
    bool entry_connected;
    member_state state;
    bool listed_leaving;
    bool serves;
};

class serving : public testing::TestWithParam<serving_case> {};

// Guards against directing callers to a member that is silent, leaving or without a connected entry.
TEST_P(serving, includes_only_reachable_live_members) {
    membership members;
    members.self.vm = vm_id("me");
    auto record = member("peer", 1, 1);
    record.entry_life.value = GetParam().entry_connected ? 1 : 0;
    record.state = GetParam().state;
    merge_heartbeat(members, record, time_point{10s});
    merge_vm_list(members, make_list({listed("peer", GetParam().listed_leaving)}), time_point{10s});
    EXPECT_EQ(serving_members(members, time_point{10s} + GetParam().silence).size(),
              GetParam().serves ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    cases, serving,
    testing::Values(serving_case{"fresh", 1s, true, member_state::live, false, true},
                    serving_case{"suspect", 1501ms, true, member_state::live, false, false},
                    serving_case{"no_entry", 0s, false, member_state::live, false, false},
                    serving_case{"leaving", 0s, true, member_state::leaving, false, false},
                    serving_case{"listed_leaving", 0s, true, member_state::live, true, false}),
    [](const auto& it) { return it.param.name; });

// Guards against a failure domain without a watcher after its watcher was killed.
TEST(membership, replaces_a_silent_watcher) {
    int replaced = 0;
    for (const char* vm : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
        membership members;
        members.self = member("me", 1, 1);
        merge_heartbeat(members, member(vm, 1, 1), time_point{10s});
        replaced += is_watcher(members, time_point{10s}) ? 0 : 1;
        EXPECT_TRUE(is_watcher(members, time_point{11501ms}));
    }
    EXPECT_GT(replaced, 0);
}

// Guards against a member table that keeps every replaced VM.
TEST(membership, removes_only_an_unlisted_member_after_30_s_of_silence) {
    membership members;
    merge_heartbeat(members, member("old", 1, 1), time_point{10s});
    merge_heartbeat(members, member("kept", 1, 1), time_point{10s});
    merge_vm_list(members, make_list({listed("kept", false)}), time_point{10s});
    EXPECT_TRUE(remove_silent(members, time_point{40s}).empty());
    EXPECT_EQ(remove_silent(members, time_point{41s}), std::vector<vm_id>{vm_id("old")});
    EXPECT_EQ(link_targets(members, time_point{41s}).size(), 1U);
}

// Guards against links that keep using the address of a replaced VM with the same id.
TEST(membership, takes_the_listed_address_of_a_silent_member) {
    membership members;
    merge_heartbeat(members, member("peer", 1, 1), time_point{10s});
    merge_vm_list(members, make_list({listed("peer", false)}), time_point{11s});
    EXPECT_EQ(members.others.at(vm_id("peer")).record.feed_address, "127.0.0.1:1");
    merge_vm_list(members, make_list({listed("peer", false)}), time_point{20s});
    EXPECT_EQ(members.others.at(vm_id("peer")).record.feed_address, "127.0.0.1:4");
}

// Guards against concentrating callers on few entries, and against sending as many callers to loaded entries
// as to idle ones.
TEST(address_answer, spreads_callers_and_prefers_idle_entries) {
    std::vector<member_record> members;
    for (const char* vm : {"a", "b", "c", "d", "e", "f", "g", "loaded"}) {
        members.push_back(member(vm, 1, 1));
        members.back().demand = {members.size() == 8 ? 8000U : 1000U};
    }
    random_source random(11, 1);
    std::map<vm_id, int> first;
    for (int i = 0; i < 8000; ++i) {
        ++first[select_addresses(members, random).front().vm];
    }
    for (const char* vm : {"a", "b", "c", "d", "e", "f", "g"}) {
        EXPECT_GT(first[vm_id(vm)], 800);
        EXPECT_LT(first[vm_id(vm)], 1400);
    }
    EXPECT_LT(first[vm_id("loaded")], 600);
}

} // namespace
} // namespace endivelever
