#include "contract/http_fixture.hpp"
#include "endivelever/base/random.hpp"
#include "fakes/fake_object_store.hpp"
#include "fakes/fake_target.hpp"
#include "fakes/platform_settings.hpp"
#include "testbed/process.hpp"

#include <csignal>
#include <list>

namespace endivelever::http_test {
namespace {

using nlohmann::json;

constexpr int grace_period_s = 3;
constexpr std::size_t callers = 150;
// Some callers send nothing for a while after the signal, so that their connections stay open until late.
constexpr duration shortest_pause = 100ms;
constexpr std::uint32_t pause_spread_ms = 4000;
constexpr std::size_t servers = 9;
// A request that is cut within this time after it was sent may have crossed the close of its connection.
constexpr duration crossing_time = 200ms;

json desk_config() {
    const auto route = [](const char* name, const char* path, const char* type) {
        return json{{"resource_kind", "routes"},
                    {"metadata", {{"name", name}}},
                    {"spec",
                     {{"host", "desk.example"},
                      {"path_prefix", path},
                      {"type", type},
                      {"timeout_ms", 1200},
                      {"aim_ms", 1000},
                      {"priority", 0},
                      {"service", "desk"},
                      {"max_attempts", 2}}}};
    };
    return {{"version", "00000001"},
            {"resources",
             {route("r1", "/once/", "non_idempotent"), route("r2", "/again/", "idempotent"),
              json{{"resource_kind", "services"},
                   {"metadata", {{"name", "desk"}}},
                   {"spec", {{"health_check_path", "/health"}, {"max_connections", 100}}}}}}};
}

/// Caller that keeps one connection until it is closed, and sends one request at a time.
struct keeping_caller {
    raw_socket connection;
    std::string open_id; ///< request without a complete response; empty while idle
    time_point sent_at{};
    time_point next_at{};
};

bool is_complete_response(const std::string& received) {
    const std::string name = "Content-Length: ";
    const auto head_end = received.find("\r\n\r\n");
    const auto at = received.find(name);
    return head_end != std::string::npos && at < head_end &&
           received.size() >= head_end + 4 + std::stoul(received.substr(at + name.size()));
}

struct stop_case {
    const char* name;
    std::vector<int> signals; ///< sent one after the other
    const char* load;         ///< that all servers report
    const char* path;
};

struct gateway_stop : testing::TestWithParam<stop_case> {
    test_loop loop;
    fake_object_store store{loop.get()};
    std::vector<std::unique_ptr<fake_target>> targets;
    testbed::temporary_folder folder;
    testbed::process gateway;
    random_source random{1};
    std::string host;
    std::list<keeping_caller> open;
    std::vector<std::string> cut; ///< ids of requests whose connection ended without a response
    std::map<std::string, std::string> late_responses; ///< after the signal, by id
    std::uint32_t sent = 0;

    void start() {
        store.put("config", "main", desk_config());
        for (std::size_t i = 0; i < servers; ++i) {
            const auto id = "i-" + std::to_string(i);
            targets.push_back(std::make_unique<fake_target>(loop.get(), id));
            targets.back()->work_time = 250ms;
            targets.back()->load = GetParam().load;
            store.put("servers", id, targets.back()->entry("desk"));
        }
        const auto pid = static_cast<unsigned>(getpid());
        host = "127." + std::to_string(20 + pid % 200) + "." + std::to_string(pid / 200 % 250) + ".99";
        const auto settings = folder.write(
            "settings.json", platform_settings("vm-1", host, store.address(), grace_period_s).dump());
        gateway = std::move(*testbed::process::start(
            {ENDIVELEVER_BIN_DIR "/endivelever-gateway", {"--settings=" + settings}, folder.path("log")}));
        http_request ready;
        ready.address = socket_address(host + ":7002");
        ready.target = "/api/ready";
        http_client client(loop.get(), 0);
        bool serves = false;
        bool asking = false;
        ASSERT_TRUE(loop.run_until([&] {
            if (!asking) {
                asking = true;
                fetch(client, ready, byte_count{4096}, [&](const http_reply& reply) {
                    serves = reply.result.status == 200;
                    asking = false;
                });
            }
            return serves;
        }));
        for (std::size_t i = 0; i < callers; ++i) {
            open.push_back({raw_socket::connect_to(caller_port, host), "", {}, next_request_at()});
        }
    }

    time_point next_request_at() {
        return boot_clock::now() + shortest_pause +
               std::chrono::milliseconds(random_below(random, pause_spread_ms));
    }

    void play(keeping_caller& it, bool stopping) {
        it.connection.read_available();
        if (!it.open_id.empty() && is_complete_response(it.connection.received)) {
            if (stopping) {
                late_responses[it.open_id] = it.connection.received;
            }
            it.open_id.clear();
            it.connection.received.clear();
            it.next_at = next_request_at();
        }
        if (it.connection.closed()) {
            if (!it.open_id.empty() &&
                (has_run(it.open_id) || boot_clock::now() - it.sent_at > crossing_time)) {
                cut.push_back(it.open_id);
            }
            it.connection.close();
            return;
        }
        if (it.open_id.empty() && boot_clock::now() >= it.next_at) {
            it.open_id = "id-" + std::to_string(++sent);
            it.sent_at = boot_clock::now();
            it.connection.send_some("POST " + std::string(GetParam().path) +
                                    " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + it.open_id +
                                    "\r\nX-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody");
        }
    }

    void play_all(bool stopping) {
        for (auto& it : open) {
            play(it, stopping);
        }
        open.remove_if([](const keeping_caller& it) { return it.connection.closed(); });
    }

    [[nodiscard]] bool has_run(const std::string& id) const {
        return std::any_of(targets.begin(), targets.end(), [&](const auto& it) {
            return std::find(it->ran.begin(), it->ran.end(), id) != it->ran.end();
        });
    }
};

// Guards against requests that are read late in the grace period and cut when the process exits.
TEST_P(gateway_stop, answers_every_request_that_was_read) {
    start();
    loop.run_until([&] { return play_all(false), false; }, 1500ms);
    std::size_t signals = 0;
    auto next_signal = boot_clock::now();
    EXPECT_TRUE(loop.run_until([&] {
        if (signals < GetParam().signals.size() && boot_clock::now() >= next_signal) {
            ::kill(gateway.pid(), GetParam().signals[signals++]);
            next_signal = boot_clock::now() + 300ms;
        }
        play_all(true);
        return !gateway.running();
    }));
    play_all(true);
    EXPECT_EQ(EXIT_SUCCESS, gateway.exit_status());
    EXPECT_EQ(std::vector<std::string>{}, cut);
    EXPECT_FALSE(late_responses.empty());
    for (const auto& [id, response] : late_responses) {
        EXPECT_FALSE(response.starts_with("HTTP/1.1 503") && has_run(id)) << id;
    }
}

INSTANTIATE_TEST_SUITE_P(kinds, gateway_stop,
                         testing::Values(stop_case{"once_only", {SIGTERM}, "0,0,4,100", "/once/x"},
                                         stop_case{"repeatable", {SIGTERM}, "0,0,4,100", "/again/x"},
                                         stop_case{"servers_full", {SIGTERM}, "4,9,4,100", "/once/x"},
                                         stop_case{"reload_and_second_signal",
                                                   {SIGTERM, SIGHUP, SIGTERM},
                                                   "0,0,4,100",
                                                   "/once/x"}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever::http_test
