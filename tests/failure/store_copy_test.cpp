#include "failure/gateway_fleet.hpp"

namespace endivelever::http_test {
namespace {

constexpr std::size_t vms = 8; ///< more than those that watch the store
constexpr std::size_t servers = 8;
constexpr std::size_t changed_servers = 3;
constexpr duration lost_time = 4s; ///< age of the copy
constexpr duration away_time = 1s;
constexpr duration rewrite_time = 1500ms; ///< until servers and operators have written again what was lost
constexpr duration stability_window = 3s;
constexpr duration drain_bound = 2s;
constexpr duration evacuation_bound = 5s;
constexpr duration quota_window = 5s;
constexpr duration recovery_bound = 15s;
constexpr int quota_rate = 60;

/// Gateways whose store comes back from a copy, while callers keep their connections.
struct copy_fleet : gateway_fleet {
    int renewals = 0;

    copy_fleet() : gateway_fleet(1) {
        store.era = 1;
        shortest_pause = 20ms;
        pause_spread_ms = 60;
        more_bounds = {{"evacuation_ms", to_milliseconds(evacuation_bound)},
                       {"quota_window_s", to_seconds(quota_window)},
                       {"quota_overage", 0.1},
                       {"quota_tolerance", 20}};
    }

    static std::string name(std::size_t server) { return "i-" + std::to_string(server); }

    /// The servers that change are in the domain of the gateways, which use them first.
    static const char* domain(std::size_t server) { return server < changed_servers ? "zone-a" : "zone-b"; }

    void put_entry(std::size_t server, const char* state) {
        auto entry = targets[server]->entry("desk", state);
        entry["zone"] = domain(server);
        entry["sequence"] = ++renewals;
        store.put("servers", name(server), entry);
    }

    bool start_all() {
        put_config();
        for (std::size_t i = 0; i < servers; ++i) {
            targets.push_back(std::make_unique<fake_target>(loop.get(), name(i)));
            targets.back()->work_time = 10ms;
            put_entry(i, "ready");
        }
        for (std::size_t i = 0; i < vms; ++i) {
            add_gateway();
        }
        const bool ready = wait_until_ready();
        add_callers(3 * vms);
        play_for(3s);
        return ready;
    }

    void play_for(duration length) {
        loop.run_until(
            [&] {
                play_all();
                return false;
            },
            length);
    }

    /// Plays the time that the copy lacks, in which the revision rises further than it will after the return.
    void play_lost_time(const std::function<void()>& change) {
        store.copy();
        for (int i = 0; i < 100; ++i) {
            put_entry(servers - 1, "ready");
        }
        play_for(lost_time / 2);
        change();
        play_for(lost_time / 2);
    }

    void return_from_copy() {
        store.behaviour = fake_object_store::manner::closes;
        store.cut_watches();
        play_for(away_time);
        store.behaviour = fake_object_store::manner::serves;
        store.restore();
    }

    /// Requests that reached the changed servers after a time.
    [[nodiscard]] std::size_t arrivals_after(time_point bound) const {
        std::size_t n = 0;
        for (std::size_t i = 0; i < changed_servers; ++i) {
            n += static_cast<std::size_t>(
                std::count_if(targets[i]->arrivals.begin(), targets[i]->arrivals.end(),
                              [bound](const time_point& it) { return it > bound; }));
        }
        return n;
    }

    [[nodiscard]] std::size_t served() const {
        return static_cast<std::size_t>(std::count_if(responses.begin(), responses.end(),
                                                      [](const auto& it) { return it.status == 200; }));
    }

    /// One request on a connection of its own to each gateway.
    [[nodiscard]] std::size_t answered_once() {
        std::vector<raw_socket> connections;
        for (auto& it : gateways) {
            connections.push_back(raw_socket::connect_to(caller_port, it.host));
            connections.back().send_some(request_text("last-" + std::to_string(connections.size())));
        }
        const auto is_answered = [](raw_socket& it) {
            it.read_available();
            return it.received.starts_with("HTTP/1.1 200");
        };
        loop.run_until([&] { return std::all_of(connections.begin(), connections.end(), is_answered); }, 3s);
        return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(), is_answered));
    }
};

enum class departure { drained, removed };

struct departure_case {
    const char* name;
    departure how;
    bool in_lost_time; ///< before the store came back, and not in the copy
};

struct store_copy : testing::TestWithParam<departure_case> {};

void leave(copy_fleet& fleet, departure how) {
    for (std::size_t i = 0; i < changed_servers; ++i) {
        if (how == departure::drained) {
            fleet.put_entry(i, "draining");
        } else {
            fleet.store.remove("servers", fleet.name(i));
        }
    }
}

// Guards against requests to servers that have left, when VMs order what the store says by revisions that it
// gives out again after it came back from a copy.
TEST_P(store_copy, no_request_reaches_a_server_after_it_has_left) {
    copy_fleet fleet;
    ASSERT_TRUE(fleet.start_all());
    time_point left_at{};
    const auto leave_now = [&] {
        leave(fleet, GetParam().how);
        left_at = boot_clock::now();
        EXPECT_GT(fleet.arrivals_after(left_at - rewrite_time), 0U);
    };
    fleet.play_lost_time(GetParam().in_lost_time ? leave_now : std::function<void()>([] {}));
    if (GetParam().in_lost_time) {
        // A server that has left says so.
        for (std::size_t i = 0; i < changed_servers; ++i) {
            fleet.targets[i]->directives = {{"Server-Leaving", "1"}};
        }
    }
    fleet.return_from_copy();
    fleet.play_for(rewrite_time);
    if (GetParam().in_lost_time) {
        leave(fleet, GetParam().how);
        fleet.play_for(stability_window);
    } else {
        fleet.play_for(stability_window);
        leave_now();
        fleet.play_for(drain_bound + stability_window);
    }
    EXPECT_EQ(0U, fleet.arrivals_after(left_at + drain_bound));
    EXPECT_EQ(vms, fleet.answered_once());
}

INSTANTIATE_TEST_SUITE_P(departures, store_copy,
                         testing::Values(departure_case{"drained_afterwards", departure::drained, false},
                                         departure_case{"removed_afterwards", departure::removed, false},
                                         departure_case{"drained_in_lost_time", departure::drained, true},
                                         departure_case{"removed_in_lost_time", departure::removed, true}),
                         [](const auto& it) { return it.param.name; });

// Guards against an evacuation that no VM applies after the store came back from a copy.
TEST(store_copy_evacuation, is_in_force_when_it_begins_after_the_return) {
    copy_fleet fleet;
    ASSERT_TRUE(fleet.start_all());
    fleet.play_lost_time([&] {
        fleet.store.put("evacuations", "zone-a", nlohmann::json::object());
        fleet.play_for(500ms);
        fleet.store.remove("evacuations", "zone-a");
    });
    fleet.return_from_copy();
    fleet.play_for(rewrite_time + stability_window);
    fleet.store.put("evacuations", "zone-a", nlohmann::json::object());
    const auto evacuated_at = boot_clock::now();
    EXPECT_GT(fleet.arrivals_after(evacuated_at - rewrite_time), 0U);
    fleet.play_for(evacuation_bound + stability_window);
    EXPECT_EQ(0U, fleet.arrivals_after(evacuated_at + evacuation_bound));
    EXPECT_EQ(vms, fleet.answered_once());
}

// Guards against requests to an evacuated domain between the return of the store from a copy that lacks the
// evacuation and the moment at which the operator has written it again.
TEST(store_copy_evacuation, that_the_copy_lacks_stays_in_force_until_it_is_written_again) {
    copy_fleet fleet;
    ASSERT_TRUE(fleet.start_all());
    time_point evacuated_at{};
    fleet.play_lost_time([&] {
        fleet.store.put("evacuations", "zone-a", nlohmann::json::object());
        evacuated_at = boot_clock::now();
    });
    EXPECT_GT(fleet.arrivals_after({}), 0U);
    fleet.play_for(evacuation_bound);
    fleet.return_from_copy();
    fleet.play_for(rewrite_time);
    fleet.store.put("evacuations", "zone-a", nlohmann::json::object());
    fleet.play_for(stability_window);
    EXPECT_EQ(0U, fleet.arrivals_after(evacuated_at + evacuation_bound));
    fleet.store.remove("evacuations", "zone-a");
    const auto readmitted_at = boot_clock::now();
    EXPECT_TRUE(fleet.loop.run_until(
        [&] {
            fleet.play_all();
            return fleet.arrivals_after(readmitted_at) > 0;
        },
        10s));
}

// Guards against tenants that are nearly without service after the store came back from a copy whose leases
// are older than those that the VMs know, and against two allocators of one tenant.
TEST(store_copy_quota, tenants_are_served_within_their_quota_after_the_return) {
    copy_fleet fleet;
    fleet.tenants = {{{"resource_kind", "tenants"},
                      {"metadata", {{"name", "alpha"}}},
                      {"spec", {{"api_keys", {"key-a"}}, {"rate_per_s", quota_rate}, {"burst", 10}}}}};
    fleet.request_fields = "Authorization: Bearer key-a\r\n";
    ASSERT_TRUE(fleet.start_all());
    fleet.play_lost_time([] {});
    const auto served_before = fleet.served();
    EXPECT_GT(served_before, 0U);
    fleet.return_from_copy();
    fleet.play_for(recovery_bound);
    const auto served_then = fleet.served();
    fleet.play_for(quota_window);
    // RECOVER asks for a quarter of the requests; the quota allows fewer than the callers send.
    EXPECT_GE(fleet.served() - served_then, quota_rate * 5U / 4U);
    std::vector<time_point> ran;
    for (const auto& it : fleet.targets) {
        ran.insert(ran.end(), it->ran_at.begin(), it->ran_at.end());
    }
    std::sort(ran.begin(), ran.end());
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < ran.size(); ++last) {
        while (ran[last] - ran[first] > quota_window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    EXPECT_LE(static_cast<double>(most), (quota_rate * to_seconds(quota_window) + 10) * 1.1 + 20);
}

} // namespace
} // namespace endivelever::http_test
