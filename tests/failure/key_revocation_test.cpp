#include "failure/gateway_fleet.hpp"
#include "testbed/forwarder.hpp"

namespace endivelever::http_test {
namespace {

using testbed::forward_mode;
using testbed::forwarder;

constexpr duration revocation_bound = 5s;
constexpr std::size_t vms = 3;

nlohmann::json tenant(const std::vector<std::string>& keys) {
    return {{"resource_kind", "tenants"}, {"metadata", {{"name", "alpha"}}}, {"spec", {{"api_keys", keys}}}};
}

/// Three gateways that reach the store through forwarders. Besides the callers that keep their connections,
/// each gateway gets a new connection with one request every 100 ms, whether it answers or not.
struct revocation_fleet : gateway_fleet {
    struct single_request {
        std::string id;
        std::unique_ptr<raw_socket> connection;
    };

    std::vector<std::unique_ptr<forwarder>> links;
    std::list<single_request> singles;
    time_point next_singles_at{};

    explicit revocation_fleet(std::uint64_t seed) : gateway_fleet(seed) {
        more_bounds = {{"strict_revocation", true}, {"revoke_ms", 5000}};
        tenants = {tenant({"key-taken", "key-kept"})};
        request_fields = "Authorization: Bearer key-taken\r\n";
        shortest_pause = 20ms;
        pause_spread_ms = 60;
        put_config();
        for (std::size_t i = 0; i < 6; ++i) {
            add_target(10ms, "0,0,4,100");
        }
        for (std::size_t i = 0; i < vms; ++i) {
            links.push_back(std::move(*forwarder::open(store.address())));
            start(prepare_gateway(links.back()->address()));
        }
    }

    void send_singles() {
        if (boot_clock::now() < next_singles_at) {
            return;
        }
        next_singles_at = boot_clock::now() + 100ms;
        for (const auto& it : gateways) {
            auto& single = singles.emplace_back();
            single.id = "single-" + std::to_string(++sent);
            single.connection = std::make_unique<raw_socket>(raw_socket::connect_to(caller_port, it.host));
            sent_at[single.id] = boot_clock::now();
            single.connection->send_some(request_text(single.id));
        }
    }

    void play_for(duration length) {
        loop.run_until(
            [&] {
                play_all();
                send_singles();
                return false;
            },
            length);
    }

    void pause_others(std::size_t index) {
        for (std::size_t i = 0; i < vms; ++i) {
            if (i != index) {
                gateways[i].process.pause();
            }
        }
    }

    void resume_others(std::size_t index) {
        for (std::size_t i = 0; i < vms; ++i) {
            if (i != index) {
                gateways[i].process.resume();
            }
        }
    }

    duration random_time(std::uint32_t below_ms) {
        return std::chrono::milliseconds(random_below(random, below_ms));
    }

    /// Requests that ran although they were sent after the bound.
    std::vector<std::string> ran_too_late(time_point changed_at) {
        std::vector<std::string> ids;
        for (const auto& it : targets) {
            for (const auto& id : it->ran) {
                if (sent_at.contains(id) && sent_at.at(id) > changed_at + revocation_bound) {
                    ids.push_back(id);
                }
            }
        }
        return ids;
    }

    std::size_t responses_with(unsigned status) const {
        return static_cast<std::size_t>(std::count_if(responses.begin(), responses.end(),
                                                      [&](const auto& it) { return it.status == status; }));
    }

    /// Asks a gateway once. @return status of the response, 0 if there is none
    unsigned ask(std::size_t index, const std::string& key, const std::string& id) {
        const auto keys = std::exchange(request_fields, "Authorization: Bearer " + key + "\r\n");
        auto connection = raw_socket::connect_to(caller_port, gateways[index].host);
        connection.send_some(request_text(id));
        request_fields = keys;
        loop.run_until(
            [&] {
                connection.read_available();
                return connection.received.find("\r\n\r\n") != std::string::npos || connection.closed();
            },
            3s);
        return connection.received.size() < 12
                   ? 0
                   : static_cast<unsigned>(std::stoul(connection.received.substr(9, 3)));
    }
};

class key_revocation : public testing::TestWithParam<std::uint64_t> {};

// Guards against requests with a key that was taken away: on a VM that was paused for longer than the bound
// and finds waiting requests and datagrams when it continues, and on one that cannot reach the store.
TEST_P(key_revocation, nothing_that_was_sent_after_the_bound_runs) {
    revocation_fleet fleet(GetParam());
    ASSERT_TRUE(fleet.wait_until_ready());
    fleet.add_callers(20);
    fleet.play_for(1500ms);
    ASSERT_GT(fleet.responses_with(200), 0U);
    const auto paused = random_below(fleet.random, vms);
    const auto cut = (paused + 1 + random_below(fleet.random, vms - 1)) % vms;
    fleet.links[cut]->set_mode(GetParam() % 2 == 0 ? forward_mode::hold_both : forward_mode::refuse);
    fleet.play_for(fleet.random_time(400));
    fleet.gateways[paused].process.pause();
    // Nothing that waits in its sockets contains the change.
    fleet.links[paused]->set_mode(forward_mode::hold_both);
    fleet.play_for(fleet.random_time(400));
    fleet.tenants = {tenant({"key-kept"})};
    fleet.put_config();
    const auto changed_at = boot_clock::now();
    fleet.play_for(revocation_bound + 500ms + fleet.random_time(1500));
    const auto refused_before = fleet.responses_with(401);
    // The VM continues before anybody can tell it of the change.
    fleet.pause_others(paused);
    fleet.gateways[paused].process.resume();
    fleet.play_for(500ms);
    fleet.links[paused]->set_mode(forward_mode::pass);
    fleet.resume_others(paused);
    fleet.play_for(2s);
    fleet.links[cut]->set_mode(forward_mode::pass);
    fleet.play_for(1s);
    EXPECT_GT(refused_before, 0U);
    EXPECT_EQ(std::vector<std::string>{}, fleet.ran_too_late(changed_at));
    EXPECT_EQ(std::vector<std::string>{}, fleet.falsely_refused());
    for (std::size_t i = 0; i < vms; ++i) {
        const auto suffix = std::to_string(i);
        EXPECT_TRUE(
            fleet.loop.run_until([&] { return fleet.ask(i, "key-kept", "kept-" + suffix) == 200; }, 10s));
        EXPECT_EQ(401, fleet.ask(i, "key-taken", "taken-" + suffix));
        EXPECT_EQ(0, fleet.runs_of("taken-" + suffix));
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, key_revocation, testing::Range<std::uint64_t>(1, 6));

} // namespace
} // namespace endivelever::http_test
