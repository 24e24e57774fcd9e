#include "failure/failure_cluster.hpp"

#include "testbed/blocking_http.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace endivelever::testbed {
namespace {

using namespace std::chrono_literals;

/// Calls that a server has received so far.
std::uint64_t received_by(cluster& it, const server_id& server) {
    const auto reply = call_http(it.servers_control(), "GET", "/fake/counts");
    return nlohmann::json::parse(reply.body).at(server.text).at("received").get<std::uint64_t>();
}

struct drain_case {
    const char* name;
    void (*drain)(cluster& it, const server_id& server);
};

const std::vector<drain_case> drain_cases{
    {"vm_list",
     [](cluster& it, const server_id& server) {
         EXPECT_TRUE(it.publish_vms([&](vm_list& list) {
             for (auto& listed : list.servers) {
                 listed.leaving = listed.leaving || listed.id == server;
             }
         }));
     }},
    {"operator",
     [](cluster& it, const server_id& server) {
         const auto reply =
             it.operate(0, "POST", "/v1/drains", R"({"server":")" + server.text + R"(","draining":true})");
         EXPECT_TRUE(succeeded(reply)) << reply.body;
     }},
    {"load_report",
     [](cluster& it, const server_id& server) {
         EXPECT_TRUE(it.change_server(server, R"({"draining":true})"));
     }},
};

class server_drain : public testing::TestWithParam<drain_case> {};

// Guards I5: whichever source tells first, a leaving server gets no new work soon after.
TEST_P(server_drain, leaving_server_receives_no_new_calls) {
    const auto it = start_test_cluster("hanbit", 3);
    ASSERT_NE(it, nullptr);
    const auto server = it->vms().servers.front().id;
    auto load = start_test_load(*it, 12s, 60.0);
    ASSERT_TRUE(wait_until([&] { return received_by(*it, server) > 0; }, generous_limit));
    GetParam().drain(*it, server);
    std::this_thread::sleep_for(3s); // I5: target of 3 s
    const auto before = received_by(*it, server);
    std::this_thread::sleep_for(3s);
    EXPECT_EQ(received_by(*it, server), before);
    expect_safe_calls(*it, load);
}

INSTANTIATE_TEST_SUITE_P(sources, server_drain, testing::ValuesIn(drain_cases),
                         [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace endivelever::testbed
