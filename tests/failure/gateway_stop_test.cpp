#include "failure/gateway_fleet.hpp"

#include <fstream>
#include <sys/stat.h>

namespace endivelever::http_test {
namespace {

using id_list = std::vector<std::string>;

struct stop_case {
    const char* name;
    std::vector<int> signals; ///< sent one after the other
    const char* load;         ///< that all servers report
    const char* path;
};

class gateway_stop : public testing::TestWithParam<stop_case> {};

// Guards against requests that are read late in the grace period and cut when the process exits.
TEST_P(gateway_stop, answers_every_request_that_was_read) {
    gateway_fleet fleet(1);
    fleet.path = GetParam().path;
    // Some callers send nothing for a while after the signal, so that their connections stay open until late.
    fleet.shortest_pause = 100ms;
    fleet.pause_spread_ms = 4000;
    fleet.put_config();
    for (std::size_t i = 0; i < 9; ++i) {
        fleet.add_target(250ms, GetParam().load);
    }
    fleet.add_gateway();
    ASSERT_TRUE(fleet.wait_until_ready());
    fleet.add_callers(150);
    fleet.loop.run_until([&] { return fleet.play_all(), false; }, 1500ms);
    auto& gateway = fleet.gateways.front();
    std::size_t signals = 0;
    auto next_signal = boot_clock::now();
    EXPECT_TRUE(fleet.loop.run_until([&] {
        if (signals < GetParam().signals.size() && boot_clock::now() >= next_signal) {
            gateway.stopping = true;
            ::kill(gateway.process.pid(), GetParam().signals[signals++]);
            next_signal = boot_clock::now() + 300ms;
        }
        fleet.play_all();
        return !gateway.process.running();
    }));
    fleet.play_all();
    EXPECT_EQ(EXIT_SUCCESS, gateway.process.exit_status());
    EXPECT_EQ(id_list{}, fleet.lost());
    EXPECT_EQ(id_list{}, fleet.falsely_refused());
    EXPECT_TRUE(std::any_of(fleet.responses.begin(), fleet.responses.end(),
                            [](const fleet_response& it) { return it.gateway_stopping; }));
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

// Guards against a process that hangs when a reload fails and nobody reads its log.
TEST(gateway_reload, failing_reloads_do_not_block_without_a_log_reader) {
    gateway_fleet fleet(1);
    fleet.put_config();
    fleet.add_target(1ms, "0,0,4,100");
    const auto log = fleet.folder.path("vm-1.log");
    ASSERT_EQ(0, mkfifo(log.c_str(), 0600));
    const int unread = open(log.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    fleet.add_gateway();
    ASSERT_TRUE(fleet.wait_until_ready());
    std::ofstream(fleet.gateways.front().settings_file, std::ios::trunc) << "{";
    constexpr int reloads = 1500; // their messages exceed the buffers of the pipes
    for (int i = 0; i < reloads; ++i) {
        ::kill(fleet.gateways.front().process.pid(), SIGHUP);
        fleet.loop.run_for(1ms);
    }
    fleet.shortest_pause = 1ms;
    fleet.add_callers(1);
    EXPECT_TRUE(fleet.loop.run_until([&] { return fleet.play_all(), fleet.responses.size() >= 5; }, 10s));
    EXPECT_EQ(id_list{}, fleet.lost());
    close(unread);
}

struct early_signal_case {
    const char* name;
    int signal;
    bool serves; ///< after the signal
};

class early_signal : public testing::TestWithParam<early_signal_case> {};

// Guards against a process that a signal ends while it reads its settings, before it handles signals.
TEST_P(early_signal, is_handled_after_the_start) {
    gateway_fleet fleet(1);
    fleet.put_config();
    fleet.add_target(1ms, "0,0,4,100");
    auto& it = fleet.prepare_gateway();
    const auto settings = it.settings_file + ".complete";
    ASSERT_EQ(0, rename(it.settings_file.c_str(), settings.c_str()));
    ASSERT_EQ(0, mkfifo(it.settings_file.c_str(), 0600));
    gateway_fleet::start(it);
    std::ofstream pipe(it.settings_file); // waits for the process to read
    pipe << std::ifstream(settings).rdbuf() << std::flush;
    ::kill(it.process.pid(), GetParam().signal);
    ASSERT_EQ(0, rename(settings.c_str(), it.settings_file.c_str()));
    pipe.close();
    if (GetParam().serves) {
        EXPECT_TRUE(fleet.wait_until_ready());
    } else {
        EXPECT_TRUE(fleet.loop.run_until([&] { return !it.process.running(); }));
        EXPECT_EQ(EXIT_SUCCESS, it.process.exit_status());
    }
}

INSTANTIATE_TEST_SUITE_P(signals, early_signal,
                         testing::Values(early_signal_case{"hangup", SIGHUP, true},
                                         early_signal_case{"terminate", SIGTERM, false},
                                         early_signal_case{"interrupt", SIGINT, false}),
                         [](const auto& it) { return it.param.name; });

struct rolling_case {
    const char* name;
    std::uint64_t seed;
    const char* load;
    bool reloads;        ///< SIGHUP to all gateways every 100 ms
    bool configurations; ///< a new one every 150 ms
};

class rolling_restart : public testing::TestWithParam<rolling_case> {};

// Guards against requests that are cut, falsely refused or run twice while gateways are replaced one after
// the other, reloaded and given new configurations, with callers that keep their connections.
TEST_P(rolling_restart, loses_no_request) {
    gateway_fleet fleet(GetParam().seed);
    fleet.shortest_pause = 5ms;
    fleet.pause_spread_ms = 2500;
    fleet.put_config();
    for (std::size_t i = 0; i < 12; ++i) {
        fleet.add_target(60ms, GetParam().load);
    }
    for (std::size_t i = 0; i < 4; ++i) {
        fleet.add_gateway();
    }
    ASSERT_TRUE(fleet.wait_until_ready());
    fleet.add_callers(200);
    std::size_t next_stop = 0;
    auto next_stop_at = boot_clock::now() + 500ms;
    auto next_reload_at = next_stop_at;
    auto next_config_at = next_stop_at;
    fleet.loop.run_until(
        [&] {
            const auto now = boot_clock::now();
            for (std::size_t i = 0; i < fleet.gateways.size(); ++i) {
                auto& it = fleet.gateways[i];
                fleet.ask_readiness(i);
                if (it.stopping && !it.process.running()) {
                    EXPECT_EQ(EXIT_SUCCESS, it.process.exit_status());
                    gateway_fleet::start(it);
                }
            }
            if (now >= next_stop_at) {
                fleet.stop(fleet.gateways[next_stop++ % fleet.gateways.size()]);
                next_stop_at = now + 900ms;
            }
            if (GetParam().reloads && now >= next_reload_at) {
                for (const auto& it : fleet.gateways) {
                    ::kill(it.process.pid(), it.ready ? SIGHUP : 0);
                }
                next_reload_at = now + 100ms;
            }
            if (GetParam().configurations && now >= next_config_at) {
                fleet.put_config();
                next_config_at = now + 150ms;
            }
            fleet.play_all();
            return false;
        },
        12s);
    EXPECT_EQ(id_list{}, fleet.lost());
    EXPECT_EQ(id_list{}, fleet.falsely_refused());
    EXPECT_EQ(id_list{}, fleet.ran_twice());
    EXPECT_GT(fleet.responses.size(), 500U);
}

INSTANTIATE_TEST_SUITE_P(kinds, rolling_restart,
                         testing::Values(rolling_case{"alone", 1, "0,0,4,100", false, false},
                                         rolling_case{"servers_full", 2, "4,2,4,100", false, false},
                                         rolling_case{"with_reloads_and_configurations", 3, "0,0,4,100", true,
                                                      true}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever::http_test
