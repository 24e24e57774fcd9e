#include "testbed/blocking_http.hpp"
#include "testbed/load.hpp"
#include "testbed/process.hpp"

#include <csignal>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace endivelever::testbed {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// A fake program and its address.
struct running_fake {
    process program;
    socket_address address;
};

running_fake start_fake(const std::string& name, const std::vector<std::string>& arguments,
                        const temporary_folder& folder) {
    auto started = process::start({ENDIVELEVER_BIN_DIR "/" + name, arguments, folder.path("log")});
    EXPECT_TRUE(started);
    const auto address = read_listening_address(*started);
    EXPECT_TRUE(address) << address.error().message;
    return {std::move(*started), socket_address(address.value_or(""))};
}

struct fake_platform_program : testing::Test {
    temporary_folder folder;
    running_fake fake = start_fake("endivelever-fake-platform", {}, folder);

    [[nodiscard]] http_reply put(const std::string& body, const http_header& condition,
                                 duration timeout = 10s) const {
        return call_http(fake.address, "PUT", "/v1/objects/preset/in-force", body, {condition}, timeout);
    }
    [[nodiscard]] http_reply get(const std::string& target, duration timeout = 10s) const {
        return call_http(fake.address, "GET", target, "", {}, timeout);
    }
    void set_fault(const std::string& rule) const {
        EXPECT_EQ(call_http(fake.address, "POST", "/v1/fake/faults", rule).result.status, 204U);
    }
};

TEST_F(fake_platform_program, conditional_update_and_read) {
    EXPECT_EQ(get("/v1/objects/preset/in-force").result.status, 404U);
    EXPECT_EQ(put("{}", {"If-None-Match", "*"}).result.status, 200U);
    const auto refused = put("{}", {"If-Match", "\"7\""});
    EXPECT_EQ(refused.result.status, 412U);
    EXPECT_EQ(*find_header(refused.headers, "ETag"), "\"1\"");
    EXPECT_EQ(put("{\"a\":1}", {"If-Match", "\"1\""}).result.status, 200U);
    EXPECT_EQ(get("/v1/objects/preset/in-force").body, "{\"a\":1}");
    EXPECT_EQ(json::parse(get("/v1/objects?prefix=preset/").body),
              json::parse(R"([{"key":"preset/in-force","version":2}])"));
    EXPECT_EQ(json::parse(get("/v1/fake/counts").body).at("put"), 3);
}

TEST_F(fake_platform_program, refuses_an_object_over_one_megabyte) {
    EXPECT_EQ(put(std::string((1U << 20U) + 1, 'x'), {"If-None-Match", "*"}).result.status, 413U);
    EXPECT_EQ(put(std::string(1U << 20U, 'x'), {"If-None-Match", "*"}).result.status, 200U);
}

// Guards against a watch that misses the VM list that appears while it waits.
TEST_F(fake_platform_program, watch_ends_with_the_new_version_or_with_304) {
    EXPECT_EQ(get("/v1/vms?watch=0&wait_ms=20").result.status, 304U);
    EXPECT_EQ(call_http(fake.address, "PUT", "/v1/fake/vms?lag_ms=100", R"({"vms":[]})").result.status, 204U);
    EXPECT_EQ(get("/v1/vms").result.status, 404U);
    const auto reply = get("/v1/vms?watch=0&wait_ms=20000", 30s);
    EXPECT_EQ(reply.result.status, 200U);
    EXPECT_EQ(reply.body, R"({"vms":[]})");
}

TEST_F(fake_platform_program, lost_answer_takes_effect_without_an_answer) {
    set_fault(R"({"mode":"lost_answer","count":1})");
    EXPECT_EQ(put("{}", {"If-None-Match", "*"}).result.failure, transfer_failure::broken);
    EXPECT_EQ(get("/v1/objects/preset/in-force").result.status, 200U);
}

TEST_F(fake_platform_program, silent_and_outage_have_no_effect) {
    set_fault(R"({"mode":"silent","path_prefix":"/v1/objects/"})");
    EXPECT_EQ(put("{}", {"If-None-Match", "*"}, 100ms).result.failure, transfer_failure::timeout);
    set_fault(R"({"mode":"outage","path_prefix":"/v1/objects/"})");
    EXPECT_EQ(put("{}", {"If-None-Match", "*"}).result.status, 503U);
    set_fault(R"({"mode":"none"})");
    EXPECT_EQ(get("/v1/objects/preset/in-force").result.status, 404U);
}

struct fake_servers_program : testing::Test {
    temporary_folder folder;
    std::string specs =
        folder.write("servers.json",
                     R"({"servers":[{"id":"s-1","service":"orders","slots":1,"work":[{"median_ms":20}]}]})");
    running_fake fake = start_fake("endivelever-fake-servers", {"--servers=" + specs}, folder);
    socket_address server{
        json::parse(call_http(fake.address, "GET", "/fake/servers").body).at("servers")[0].at("address")};

    void change(const std::string& body) const {
        EXPECT_EQ(call_http(fake.address, "POST", "/fake/servers/s-1", body).result.status, 204U);
    }
    [[nodiscard]] json control(const std::string& target) const {
        return json::parse(call_http(fake.address, "GET", target).body);
    }
    [[nodiscard]] load_options direct_load(double rate) const {
        load_options options;
        load_kind kind;
        kind.kind = kind_id("order");
        kind.path_prefix = "/orders/";
        kind.calls_per_second = rate;
        kind.idempotent = false;
        kind.servers = {server};
        options.kinds = {kind};
        options.run_time = 500ms;
        options.calls_file = folder.path("calls");
        return options;
    }
};

// Guards against a load generator and a ledger that disagree on what ran.
TEST_F(fake_servers_program, outcomes_match_the_ledger) {
    change(R"({"queue_limit":3,"work":[{"median_ms":5}]})");
    const auto report = run_load(direct_load(400));
    const auto& kind = report.kinds.at(kind_id("order"));
    const auto count = [&kind](call_outcome it) { return kind.outcomes.at(static_cast<std::size_t>(it)); };
    EXPECT_GT(count(call_outcome::done), 0U);
    EXPECT_GT(count(call_outcome::refused), 0U);
    EXPECT_EQ(count(call_outcome::wrong), 0U);
    const auto ledger = control("/fake/ledger").at("runs").get<std::map<std::string, std::uint32_t>>();
    EXPECT_EQ(ledger.size(), count(call_outcome::done));
    const auto check = check_ledger(read_call_records(folder.path("calls")), ledger);
    EXPECT_EQ(check.checked, kind.calls);
    EXPECT_EQ(check.ran_after_not_run + check.ran_twice + check.done_without_run, 0U);
}

// Guards against large bodies that are held whole, truncated or filled with bytes of another request.
TEST_F(fake_servers_program, large_body_is_streamed_and_checked) {
    constexpr std::uint64_t large = 100'000'000;
    auto options = direct_load(10);
    options.kinds[0].response_size = large;
    options.kinds[0].deadline = 60s;
    const auto report = run_load(options);
    const auto& kind = report.kinds.at(kind_id("order"));
    EXPECT_GT(kind.calls, 0U);
    EXPECT_EQ(kind.outcomes.at(static_cast<std::size_t>(call_outcome::done)), kind.calls);
}

TEST_F(fake_servers_program, probe_reports_load_without_running) {
    change(R"({"draining":true})");
    const auto reply = call_http(server, "GET", "/.well-known/load");
    EXPECT_EQ(*find_header(reply.headers, "Endivelever-Load"),
              "running=0;queued=0;service_us=1000;draining=1");
    const auto refused = call_http(server, "GET", "/orders/1");
    EXPECT_EQ(refused.result.status, 503U);
    EXPECT_EQ(*find_header(refused.headers, "Endivelever-Ran"), "no");
    EXPECT_EQ(control("/fake/counts").at("s-1").at("probes"), 1);
    EXPECT_EQ(control("/fake/ledger").at("total"), 0);
}

// Guards against a fake that runs a call whose caller left before it started.
TEST_F(fake_servers_program, closed_connection_cancels_a_queued_call) {
    change(R"({"work":[{"median_ms":300}]})");
    auto options = direct_load(20);
    options.kinds[0].deadline = 1ms; // the generator closes the connection 251 ms after the intended time
    run_load(options);
    const auto idle = [this] {
        const auto counts = control("/fake/counts").at("s-1");
        return counts.at("running") == 0 && counts.at("queued") == 0;
    };
    EXPECT_TRUE(wait_until(idle, 30s));
    const auto counts = control("/fake/counts").at("s-1");
    EXPECT_GT(counts.at("expired").get<int>() + counts.at("cancelled").get<int>(), 0);
    EXPECT_EQ(counts.at("started"), control("/fake/ledger").at("total"));
}

// Guards against a silence that also affects new connections.
TEST_F(fake_servers_program, silenced_connections_never_answer_while_new_ones_work) {
    change(R"({"work":[{"median_ms":1000}]})");
    auto options = direct_load(4);
    options.run_time = 1s;
    options.kinds[0].deadline = 2s;
    options.callers = 1;
    load_report report;
    std::thread load([&options, &report] { report = run_load(options); });
    EXPECT_TRUE(wait_until([this] { return control("/fake/counts").at("s-1").at("received") > 0; }, 30s));
    change(R"({"silence_connections":true,"work":[{"median_ms":1}]})");
    EXPECT_EQ(call_http(server, "GET", "/orders/new").result.status, 200U);
    load.join();
    const auto& outcomes = report.kinds.at(kind_id("order")).outcomes;
    EXPECT_GT(outcomes.at(static_cast<std::size_t>(call_outcome::unknown)), 0U);
}

TEST_F(fake_servers_program, closed_server_refuses_connections_until_reopened) {
    change(R"({"closed":true})");
    EXPECT_EQ(call_http(server, "GET", "/orders/1").result.failure, transfer_failure::connect);
    change(R"({"closed":false})");
    EXPECT_EQ(call_http(server, "GET", "/orders/1").result.status, 200U);
}

TEST(process, paused_process_ends_when_destroyed) {
    const temporary_folder folder;
    pid_t pid = 0;
    {
        auto fake = start_fake("endivelever-fake-platform", {}, folder);
        pid = fake.program.pid();
        fake.program.pause();
        EXPECT_TRUE(fake.program.running());
    }
    EXPECT_NE(::kill(pid, 0), 0);
}

} // namespace
} // namespace endivelever::testbed
