#include "failure/failure_cluster.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace endivelever::testbed {
namespace {

using namespace std::chrono_literals;

constexpr duration load_time = 4s;
constexpr duration fault_at = 1s;
constexpr duration fault_length = 1500ms;
constexpr double calls_per_second_by_kind = 25.0;

struct fault_case {
    const char* name;
    void (*begin)(cluster& it);
    void (*end)(cluster& it);
};

void nothing(cluster& /*it*/) {}

void change_order_servers(cluster& it, const std::string& body) {
    for (const auto& server : it.vms().servers) {
        if (server.service.text == "order-ledger") {
            EXPECT_TRUE(it.change_server(server.id, body));
        }
    }
}

const std::vector<fault_case> fault_cases{
    {"no_fault", nothing, nothing},
    {"entry_killed_and_restarted", [](cluster& it) { it.vm(0).entry.kill(); },
     [](cluster& it) { EXPECT_TRUE(it.start_entry(0)); }},
    {"entry_paused_and_resumed", [](cluster& it) { it.vm(0).entry.pause(); },
     [](cluster& it) { it.vm(0).entry.resume(); }},
    {"control_killed_and_restarted", [](cluster& it) { it.vm(0).control.kill(); },
     [](cluster& it) { EXPECT_TRUE(it.start_control(0)); }},
    {"control_paused_and_resumed", [](cluster& it) { it.vm(0).control.pause(); },
     [](cluster& it) { it.vm(0).control.resume(); }},
    {"vm_paused_and_resumed",
     [](cluster& it) {
         it.vm(0).control.pause();
         it.vm(0).entry.pause();
     },
     [](cluster& it) {
         it.vm(0).entry.resume();
         it.vm(0).control.resume();
     }},
    {"store_outage", [](cluster& it) { EXPECT_TRUE(it.set_fault(R"({"mode":"outage"})")); },
     [](cluster& it) { EXPECT_TRUE(it.set_fault(R"({"mode":"none"})")); }},
    {"store_silent", [](cluster& it) { EXPECT_TRUE(it.set_fault(R"({"mode":"silent"})")); },
     [](cluster& it) { EXPECT_TRUE(it.set_fault(R"({"mode":"none"})")); }},
    {"store_slow", [](cluster& it) { EXPECT_TRUE(it.set_fault(R"({"mode":"slow","latency_ms":800})")); },
     [](cluster& it) { EXPECT_TRUE(it.set_fault(R"({"mode":"none"})")); }},
    {"servers_shed_half", [](cluster& it) { change_order_servers(it, R"({"shed_ratio":0.5})"); },
     [](cluster& it) { change_order_servers(it, R"({"shed_ratio":0.0})"); }},
    {"servers_fail_fast", [](cluster& it) { change_order_servers(it, R"({"fail_ratio":0.5})"); },
     [](cluster& it) { change_order_servers(it, R"({"fail_ratio":0.0})"); }},
    {"servers_straggle",
     [](cluster& it) { change_order_servers(it, R"({"steps":[{"at_ms":0,"factor":200}]})"); },
     [](cluster& it) { change_order_servers(it, R"({"steps":[{"at_ms":0,"factor":1}]})"); }},
    {"all_servers_paused_and_resumed", [](cluster& it) { it.servers().pause(); },
     [](cluster& it) { it.servers().resume(); }},
    {"entry_killed_during_store_outage",
     [](cluster& it) {
         EXPECT_TRUE(it.set_fault(R"({"mode":"outage"})"));
         it.vm(0).entry.kill();
     },
     [](cluster& it) {
         EXPECT_TRUE(it.start_entry(0));
         EXPECT_TRUE(it.set_fault(R"({"mode":"none"})"));
     }},
    {"entry_and_control_killed_during_store_outage",
     [](cluster& it) {
         EXPECT_TRUE(it.set_fault(R"({"mode":"outage"})"));
         it.vm(0).entry.kill();
         it.vm(0).control.kill();
     },
     [](cluster& it) {
         EXPECT_TRUE(it.start_control(0));
         EXPECT_TRUE(it.start_entry(0));
     }},
    {"entry_paused_while_servers_straggle",
     [](cluster& it) {
         change_order_servers(it, R"({"steps":[{"at_ms":0,"factor":100}]})");
         it.vm(0).entry.pause();
     },
     [](cluster& it) {
         change_order_servers(it, R"({"steps":[{"at_ms":0,"factor":1}]})");
         it.vm(0).entry.resume();
     }},
    {"two_entries_killed",
     [](cluster& it) {
         it.vm(0).entry.kill();
         it.vm(1).entry.kill();
     },
     [](cluster& it) {
         EXPECT_TRUE(it.start_entry(0));
         EXPECT_TRUE(it.start_entry(1));
     }},
};

class call_safety : public testing::TestWithParam<fault_case> {};

// Guards I2, I3 and I4 under one fault or two at once: no truncated response taken as whole, no call run
// after "not-run", no call that is not idempotent run twice, although callers repeat calls under the same id.
TEST_P(call_safety, holds_while_the_fault_comes_and_goes) {
    const auto it = start_test_cluster("consortium", 4);
    ASSERT_NE(it, nullptr);
    auto load = start_test_load(*it, load_time, calls_per_second_by_kind);
    std::this_thread::sleep_for(fault_at);
    GetParam().begin(*it);
    std::this_thread::sleep_for(fault_length);
    GetParam().end(*it);
    expect_safe_calls(*it, load);
}

INSTANTIATE_TEST_SUITE_P(faults, call_safety, testing::ValuesIn(fault_cases),
                         [](const auto& it) { return std::string(it.param.name); });

// Guards I6: a planned stop of one entry after the other loses no call and cuts off none.
TEST(planned_stop, rolling_replacement_of_all_entries_cuts_off_no_call) {
    const auto it = start_test_cluster("consortium", 4);
    ASSERT_NE(it, nullptr);
    auto load = start_test_load(*it, 12s, calls_per_second_by_kind);
    for (std::size_t i = 0; i < it->size(); ++i) {
        std::this_thread::sleep_for(1s);
        it->vm(i).entry.stop();
        ASSERT_TRUE(it->vm(i).entry.wait(generous_limit));
        EXPECT_EQ(it->vm(i).entry.exit_status(), 0);
        ASSERT_TRUE(it->start_entry(i));
        ASSERT_TRUE(wait_until([&] { return it->applied_version(i) > 0; }, generous_limit));
    }
    const auto totals = expect_safe_calls(*it, load);
    EXPECT_EQ(totals.broken, 0U);
    EXPECT_EQ(totals.unknown, 0U);
    EXPECT_EQ(totals.not_run, 0U);
}

// Guards I6 for long downloads: SIGTERM waits until a download in progress is complete.
TEST(planned_stop, long_download_is_completed) {
    const auto it = start_test_cluster("consortium", 2);
    ASSERT_NE(it, nullptr);
    constexpr std::size_t size = 30'000'000;
    auto download = std::async(std::launch::async, [&] {
        return call_entry(*it, 0, "/drawings/plan-7?size=" + std::to_string(size));
    });
    std::this_thread::sleep_for(20ms);
    it->vm(0).entry.stop();
    const auto reply = download.get();
    EXPECT_EQ(reply.result.failure, transfer_failure::none) << reply.result.detail;
    EXPECT_EQ(reply.body.size(), size);
    EXPECT_TRUE(it->vm(0).entry.wait(generous_limit));
    EXPECT_EQ(it->vm(0).entry.exit_status(), 0);
}

} // namespace
} // namespace endivelever::testbed
