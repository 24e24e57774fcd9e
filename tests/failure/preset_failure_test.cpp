#include "failure/failure_cluster.hpp"

#include "testbed/blocking_http.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace endivelever::testbed {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t entry_vms = 4;

std::uint64_t in_force_version(cluster& it, std::size_t index) {
    const auto reply = it.operate(index, "GET", "/v1/status");
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    return body.is_object() && body.contains("preset") ? body["preset"].value("version", std::uint64_t{0})
                                                       : 0;
}

std::string in_force_name(cluster& it, std::size_t index) {
    const auto reply = it.operate(index, "GET", "/v1/status");
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    return body.is_object() && body.contains("preset") ? body["preset"].value("name", std::string()) : "";
}

struct preset_failure : testing::Test {
    std::unique_ptr<cluster> it = start_test_cluster("hanbit", entry_vms, true);

    void SetUp() override {
        ASSERT_NE(it, nullptr);
        ASSERT_TRUE(it->create_preset(0, "peak"));
        ASSERT_TRUE(it->create_preset(0, "maintenance"));
    }

    /// Switches, or repeats a switch under the same operation id.
    [[nodiscard]] bool switched(const std::string& name, std::uint64_t expected,
                                const std::string& operation) {
        return it->switch_preset(0, name, expected, operation).result.status == 200;
    }
};

// Guards I7: the members pass an accepted preset on to each other, without the store.
TEST_F(preset_failure, accepted_switch_reaches_all_entries_when_the_store_goes_down_right_after) {
    const auto before = in_force_version(*it, 1);
    for (std::size_t i = 0; i < entry_vms; ++i) {
        it->platform_link(i).set_mode(i == 1 ? forward_mode::pass : forward_mode::refuse);
    }
    const auto reply = it->switch_preset(1, "peak", before, "switch-before-outage");
    EXPECT_TRUE(it->set_fault(R"({"mode":"outage"})"));
    ASSERT_EQ(reply.result.status, 200U) << reply.body;
    EXPECT_TRUE(it->wait_applied(before + 1, generous_limit));
}

// Guards against a switch that is applied twice or reported as refused when its answer was lost.
TEST_F(preset_failure, switch_whose_answer_was_lost_is_recognised_by_its_operation_id) {
    const auto before = in_force_version(*it, 0);
    ASSERT_TRUE(
        it->set_fault(R"({"mode":"lost_answer","path_prefix":"/v1/objects/preset/in-force","count":1})"));
    const auto reply = it->switch_preset(0, "peak", before, "switch-with-lost-answer");
    EXPECT_EQ(reply.result.status, 200U) << reply.body;
    EXPECT_TRUE(it->wait_applied(before + 1, generous_limit));
    EXPECT_EQ(in_force_version(*it, 0), before + 1);
    EXPECT_EQ(in_force_name(*it, 2), "peak");
}

// Guards against two winners of a race, and against a loser that is not told who won.
TEST_F(preset_failure, one_of_two_racing_operators_wins_and_the_other_is_told) {
    const auto before = in_force_version(*it, 0);
    auto other =
        std::async(std::launch::async, [&] { return it->switch_preset(1, "maintenance", before, "race-b"); });
    const auto first = it->switch_preset(0, "peak", before, "race-a");
    const auto second = other.get();
    const bool first_won = first.result.status == 200;
    EXPECT_NE(first_won, second.result.status == 200) << first.body << second.body;
    const auto& loser = first_won ? second : first;
    EXPECT_EQ(loser.result.status, 409U) << loser.body;
    EXPECT_NE(loser.body.find(first_won ? "peak" : "maintenance"), std::string::npos) << loser.body;
    EXPECT_TRUE(it->wait_applied(before + 1, generous_limit));
    for (std::size_t i = 0; i < entry_vms; ++i) {
        EXPECT_EQ(in_force_name(*it, i), first_won ? "peak" : "maintenance");
    }
}

// Guards I7: an entry that cannot know the preset in force must not serve under the one it knew, and an entry
// whose control is gone learns the new preset from another VM's control.
TEST_F(preset_failure, isolated_entry_refuses_calls_and_returns_with_the_new_preset) {
    const auto before = in_force_version(*it, 0);
    for (std::size_t i = 0; i < entry_vms; ++i) {
        it->vm(i).control.pause();
    }
    const auto refused = [&] { return outcome_of(call_entry(*it, 3, "/status/1")) == "not-run"; };
    EXPECT_TRUE(wait_until(refused, generous_limit));
    for (std::size_t i = 0; i + 1 < entry_vms; ++i) {
        it->vm(i).control.resume();
    }
    ASSERT_TRUE(
        wait_until([&] { return switched("peak", before, "switch-without-member"); }, generous_limit));
    ASSERT_TRUE(it->wait_applied(before + 1, generous_limit));
    const auto served = [&] { return outcome_of(call_entry(*it, 3, "/status/1")) == "done"; };
    EXPECT_TRUE(wait_until(served, generous_limit));
    it->vm(3).control.resume();
    EXPECT_TRUE(wait_until([&] { return in_force_version(*it, 3) == before + 1; }, generous_limit));
}

// Guards against a lease that outlives a pause: CLOCK_BOOTTIME goes on while the process is stopped.
TEST_F(preset_failure, paused_entry_refuses_the_first_call_after_its_lease_expired) {
    it->vm(2).control.pause();
    it->vm(2).entry.pause();
    for (std::size_t i = 0; i < entry_vms; ++i) {
        it->feed_link(i).set_mode(forward_mode::hold_both);
    }
    std::this_thread::sleep_for(5s); // longer than the 4 s for which a lease is granted
    it->vm(2).entry.resume();
    EXPECT_EQ(outcome_of(call_entry(*it, 2, "/status/1")), "not-run");
}

// Guards against a lease that is extended by messages which waited in the socket while the entry was paused.
TEST_F(preset_failure, paused_entry_does_not_extend_its_lease_by_messages_that_waited) {
    it->vm(2).entry.pause();
    std::this_thread::sleep_for(5s); // its control goes on granting leases
    for (std::size_t i = 0; i < entry_vms; ++i) {
        it->vm(i).control.pause();
    }
    it->vm(2).entry.resume();
    std::this_thread::sleep_for(200ms); // time to read what waited
    EXPECT_EQ(outcome_of(call_entry(*it, 2, "/status/1")), "not-run");
}

// Guards I7: a restarted VM learns the preset from its peers while the store is down, and never an older one.
TEST_F(preset_failure, restarted_vm_learns_the_preset_from_peers_during_a_store_outage) {
    const auto before = in_force_version(*it, 0);
    ASSERT_EQ(it->switch_preset(0, "peak", before, "switch-before-restart").result.status, 200U);
    ASSERT_TRUE(it->wait_applied(before + 1, generous_limit));
    ASSERT_TRUE(it->set_fault(R"({"mode":"outage"})"));
    it->vm(3).entry.kill();
    it->vm(3).control.kill();
    ASSERT_TRUE(it->start_control(3));
    ASSERT_TRUE(it->start_entry(3));
    ASSERT_TRUE(wait_until([&] { return it->applied_version(3) > 0; }, generous_limit));
    EXPECT_EQ(it->applied_version(3), before + 1);
    EXPECT_EQ(in_force_name(*it, 3), "peak");
}

// Guards I7: a member that was paused during switches, and has old documents to pass on, reverts nobody.
TEST_F(preset_failure, versions_only_rise_while_members_pause_and_switches_go_on) {
    std::uint64_t version = in_force_version(*it, 0);
    std::vector<std::uint64_t> seen(entry_vms, 0);
    for (int round = 0; round < 6; ++round) {
        const auto paused = static_cast<std::size_t>(round) % (entry_vms - 1) + 1;
        it->vm(paused).control.pause();
        const auto name = round % 2 == 0 ? "peak" : "maintenance";
        const auto operation = "round-" + std::to_string(round);
        ASSERT_TRUE(wait_until([&] { return switched(name, version, operation); }, generous_limit));
        ++version;
        for (std::size_t i = 0; i < entry_vms; ++i) {
            const auto now = it->applied_version(i);
            EXPECT_TRUE(now == 0 || now >= seen[i]) << "entry " << i << " went back to " << now;
            seen[i] = std::max(seen[i], now);
        }
        it->vm(paused).control.resume();
    }
    EXPECT_TRUE(it->wait_applied(version, generous_limit));
}

} // namespace
} // namespace endivelever::testbed
