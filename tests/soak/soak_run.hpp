#pragma once

#include "soak/soak.hpp"

#include "contract/http_fixture.hpp"
#include "endivelever/base/random.hpp"
#include "fakes/fake_object_store.hpp"
#include "fakes/fake_target.hpp"
#include "fakes/platform_settings.hpp"
#include "testbed/forwarder.hpp"
#include "testbed/process.hpp"

#include <functional>
#include <map>

namespace endivelever::soak {

using namespace std::chrono_literals;
using http_test::fake_object_store;
using http_test::fake_target;
using nlohmann::json;
using testbed::forward_mode;

constexpr duration call_gap = 8ms;
constexpr duration shortest_fault_gap = 60ms;
constexpr std::uint32_t fault_gap_spread_ms = 240;
constexpr duration shortest_fault = 100ms;
constexpr std::uint32_t fault_spread_ms = 1400;
constexpr int call_deadline_ms = 1000;
constexpr int grace_period_s = 6;
// Generous: a process that was killed last starts, reads the store and hears of the others.
constexpr duration recovery_limit = 60s;
constexpr const char* service = "desk";
constexpr const char* once_path = "/once/x";
constexpr const char* again_path = "/again/x";
constexpr duration revocation_bound = 5s;
constexpr duration evacuation_bound = 5s;
constexpr duration evacuation_time = 7s;
constexpr duration quota_window = 5s;
constexpr double quota_rate = 20.0;
constexpr double quota_burst = 5.0;
constexpr double quota_overage = 0.1;
constexpr double quota_tolerance = 20.0;
constexpr const char* evacuated_domain = "zone-b";
constexpr const char* added_path = "/added/x"; ///< in every configuration from the second on

struct server_stand_in {
    std::unique_ptr<fake_target> target;
    std::unique_ptr<testbed::forwarder> link; ///< between gateways and server
    bool may_be_evacuated = false;
    bool registered = true;
};

struct gateway_under_test {
    std::string vm;
    std::string host;
    std::string settings_file;
    std::string log_file;
    std::unique_ptr<testbed::forwarder> store_link;
    testbed::process process;
    std::uint32_t life = 0;
    bool served_added_route = false; ///< in this life
    bool paused = false;
    time_point restart_at{}; ///< default while it runs

    [[nodiscard]] socket_address callers() const { return socket_address(host + ":7001"); }
};

struct call_record {
    std::string id;
    std::size_t gateway = 0;
    std::uint32_t life = 0;
    bool once = false;
    bool added_route = false;
    bool denied = false; ///< the caller was told that it has not run
    time_point sent{};
    std::string tenant;          ///< empty if its key is in no configuration
    std::uint32_t key_until = 0; ///< last version with its key; 0 if all have it
};

struct time_span {
    time_point from;
    time_point until = time_point::max();
};

struct soak_run {
    soak_options options;
    soak_report report;
    random_source random;
    http_test::test_loop loop;
    fake_object_store store{loop.get()};
    testbed::temporary_folder folder;
    std::vector<server_stand_in> servers;
    std::vector<gateway_under_test> gateways;
    std::unique_ptr<http_client> client = std::make_unique<http_client>(loop.get(), 0);
    std::map<std::string, call_record> calls;
    std::vector<std::pair<time_point, std::function<void()>>> due; ///< ends of faults
    std::uint32_t version = 0;
    std::map<std::uint32_t, time_point> replaced_at; ///< by version of the configuration
    std::vector<time_span> evacuations;
    std::uint32_t open_calls = 0;
    std::uint64_t last_call = 0;

    explicit soak_run(const soak_options& opts) : options(opts), random(opts.seed) {}
    ~soak_run() { client.reset(); }
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;
    soak_run(soak_run&&) = delete;
    soak_run& operator=(soak_run&&) = delete;

    void put_config();
    void add_server();
    void put_entry(std::size_t index);
    /// Brings the store back from its copy. Servers and operators write again what it lacks.
    void return_store_from_copy();
    void add_gateway(std::size_t index);
    void start(gateway_under_test& it);
    void call(std::size_t index, const char* path, std::function<void(unsigned)> on_status = {});
    void judge(const call_record& call, const http_reply& reply);
    void inject();
    void end_later(duration after, std::function<void()> action);
    void run_due(bool all);
    void restart_ended();
    void recover();
    void count_runs();
    std::string pick_key(call_record& record);
    void check_run(const server_stand_in& server, const std::string& id, time_point at);
    void check_quota(std::vector<time_point> runs);
    void violate(const std::string& what) { report.violations.push_back(what); }
    std::size_t pick(std::size_t n) { return random_below(random, static_cast<std::uint32_t>(n)); }
    duration fault_length() {
        return shortest_fault + std::chrono::milliseconds(random_below(random, fault_spread_ms));
    }
};

} // namespace endivelever::soak
