#include "contract/gateway_fixture.hpp"

namespace endivelever::http_test {
namespace {

constexpr duration call_gap = 10ms; ///< between two calls to the fleet
constexpr duration limit_window = 4s;
constexpr duration settling_time = 3s;

/// Four VMs and three servers under a steady load of repeatable requests.
struct directives_fixture : gateway_fixture {
    std::uint64_t calls = 0;

    void start_fleet() {
        start(3);
        for (int i = 2; i <= 4; ++i) {
            add_gateway("vm-" + std::to_string(i));
        }
        ASSERT_TRUE(loop.run_until([&] {
            return std::all_of(gateways.begin(), gateways.end(), [](const auto& it) {
                return is_ready(it->board()) && it->board().peers.fleet_size == 4;
            });
        }));
    }

    /// Calls the VMs in turn for a time and waits for all responses.
    void run_load(duration length) {
        timer next(loop.get(), [&] {
            results.push_back(std::make_unique<caller_result>());
            send(*gateways[calls % gateways.size()], "/again/x", "id-" + std::to_string(calls),
                 *results.back());
            ++calls;
        });
        next.start(call_gap, call_gap);
        loop.run_for(length);
        next.stop();
        EXPECT_TRUE(loop.run_until([&] {
            return std::all_of(results.begin(), results.end(), [](const auto& it) { return it->done; });
        }));
    }

    /// @return the most arrivals in any window of that length that begins at `from` or later
    static std::size_t most_arrivals(const fake_target& target, time_point from, duration window) {
        const auto& at = target.arrivals;
        std::size_t most = 0;
        for (auto first = std::lower_bound(at.begin(), at.end(), from); first != at.end(); ++first) {
            const auto last = std::lower_bound(first, at.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    [[nodiscard]] std::size_t failed_calls() const {
        return static_cast<std::size_t>(
            std::count_if(results.begin(), results.end(), [](const auto& it) { return it->status != 200; }));
    }
};

struct server_limit_case {
    const char* name;
    double limit; ///< requests per second
    bool in_probes;
};

struct server_limit : directives_fixture, testing::WithParamInterface<server_limit_case> {};

// Guards against a server in need that gets more requests than it has asked all VMs for.
TEST_P(server_limit, is_kept_by_the_whole_fleet) {
    start_fleet();
    run_load(500ms);
    auto& limited = *targets.front();
    limited.directives_in_probes = GetParam().in_probes;
    limited.directives = {{"Server-Limit", std::to_string(GetParam().limit)}};
    const auto named = boot_clock::now();
    run_load(settling_time + limit_window + 1s);
    const auto allowed = static_cast<std::size_t>(1.5 * GetParam().limit * to_seconds(limit_window)) + 5;
    EXPECT_LE(most_arrivals(limited, named + settling_time, limit_window), allowed);
    EXPECT_EQ(0U, failed_calls()) << "the other servers have room";
}

// Guards against a server that gets no requests any more after its need has ended.
TEST_P(server_limit, ends_when_the_server_names_it_no_more) {
    start_fleet();
    auto& limited = *targets.front();
    limited.directives_in_probes = GetParam().in_probes;
    limited.directives = {{"Server-Limit", std::to_string(GetParam().limit)}};
    run_load(2s);
    limited.directives.clear();
    targets[1]->load = targets[2]->load = "4,0,4,100"; // no room elsewhere
    const auto before = limited.arrivals.size();
    run_load(6s);
    EXPECT_GT(limited.arrivals.size(), before + 20);
}

INSTANTIATE_TEST_SUITE_P(limits, server_limit,
                         testing::Values(server_limit_case{"low", 2.0, true},
                                         server_limit_case{"low_not_in_probes", 2.0, false},
                                         server_limit_case{"below_one", 0.6, true}),
                         [](const auto& it) { return it.param.name; });

constexpr duration drain_limit = 2s;

// Guards against requests to a server that says it leaves while its entry, also one that comes again, says
// `ready`.
TEST_F(directives_fixture, leaving_server_gets_no_requests) {
    start_fleet();
    auto& leaving = *targets.front();
    leaving.directives = {{"Server-Leaving", "1"}};
    run_load(drain_limit);
    const auto before = leaving.arrivals.size();
    EXPECT_LE(before, gateways.size() * 3) << "each VM learns it from its first responses";
    store.put("servers", "i-0", leaving.entry("desk"));
    store.forget_history();
    store.cut_watches();
    run_load(2s);
    EXPECT_EQ(before, leaving.arrivals.size());
    EXPECT_EQ(0U, failed_calls());
    leaving.directives.clear();
    auto restarted = leaving.entry("desk");
    restarted["born"] = 1700000009999;
    store.put("servers", "i-0", restarted);
    targets[1]->load = targets[2]->load = "4,0,4,100"; // no room elsewhere
    run_load(3s);
    EXPECT_LT(before, leaving.arrivals.size()) << "the next incarnation is another server";
}

// Guards against requests to a server that has asked for a pause, from hedges and retries too.
TEST_F(directives_fixture, pause_of_a_server_is_kept) {
    start(3);
    auto& busy = *targets.front();
    busy.behaviour = fake_target::manner::sheds;
    busy.directives = {{"Retry-After", "3"}};
    busy.directives_in_probes = false;
    targets[1]->load = targets[2]->load = "3,0,4,100"; // nearly full, so that the other one is chosen first
    run_load(1s);
    ASSERT_FALSE(busy.arrivals.empty());
    const auto first = busy.arrivals.front();
    run_load(2s);
    const auto in_pause = std::count_if(busy.arrivals.begin(), busy.arrivals.end(),
                                        [&](time_point it) { return it > first + 500ms && it < first + 3s; });
    EXPECT_LE(in_pause, 2);
    EXPECT_EQ(0U, failed_calls());
}

// Guards against callers that wait for a service whose servers have all asked for a pause.
TEST_F(directives_fixture, service_in_pause_refuses_at_once_with_the_time_of_its_return) {
    auto& gateway = start(2);
    for (auto& it : targets) {
        it->behaviour = fake_target::manner::sheds;
        it->directives = {{"Retry-After", "20"}};
    }
    for (int i = 0; i < 4; ++i) {
        call(gateway, "/once/x", "first-" + std::to_string(i));
    }
    const auto started = boot_clock::now();
    const auto& refused = call(gateway, "/once/x", "later");
    EXPECT_EQ(503U, refused.status);
    EXPECT_LT(boot_clock::now() - started, 300ms);
    const auto* after = find_header(refused.headers, "Retry-After");
    ASSERT_NE(nullptr, after);
    EXPECT_GE(std::stod(*after), 5.0);
    EXPECT_EQ(0U, run_count());
}

} // namespace
} // namespace endivelever::http_test
