#include "contract/gateway_fixture.hpp"
#include "testbed/forwarder.hpp"

#include <numeric>

namespace endivelever::http_test {
namespace {

using testbed::forward_mode;
using testbed::forwarder;

/// The platform requires a change to be in force everywhere within this time.
constexpr duration change_limit = 2s;
constexpr std::size_t vm_count = 4;

/// Four VMs of one failure domain, two of them heads. Calls to the store and pulls from the heads go through
/// forwarders.
struct freshness_fixture : gateway_fixture {
    std::vector<std::unique_ptr<forwarder>> store_links;
    std::vector<std::unique_ptr<forwarder>> relay_links;

    gateway_process& add_linked_gateway(const std::string& vm) {
        store_links.push_back(std::move(*forwarder::open(store.address())));
        const auto store_address = store_links.back()->address();
        auto opened = gateway_process::open(loop.get(), make_settings(vm, store_address),
                                            platform::make_dialect(store_address));
        EXPECT_TRUE(opened) << (opened ? "" : opened.error().message);
        gateways.push_back(std::move(*opened));
        auto& board = gateways.back()->board();
        board.log.fd = devnull;
        relay_links.push_back(std::move(*forwarder::open(board.conf.relay_address)));
        board.conf.relay_address = relay_links.back()->address();
        return *gateways.back();
    }

    /// Starts all VMs and lets each of them pull configuration and servers at least once.
    void start_fleet(std::size_t vms = vm_count) {
        put_config("00000001");
        add_target("i-0");
        for (std::size_t i = 0; i < vms; ++i) {
            add_linked_gateway("vm-" + std::to_string(i));
        }
        ASSERT_TRUE(loop.run_until([&] {
            return std::all_of(gateways.begin(), gateways.end(), [vms](const auto& it) {
                return is_ready(it->board()) && it->board().peers.fleet_size == vms;
            });
        }));
        put_config("00000002");
        add_target("i-1");
        ASSERT_TRUE(all_reach(2, 2, 30s));
        loop.run_for(1s); // watches that returned these changes wait again
    }

    void silence_store_links() {
        for (auto& link : store_links) {
            link->silence_open_connections();
        }
    }

    /// Removes the VMs that rank between the heads and the last VMs, so that vm_count are left, and waits
    /// until the others have noticed.
    void remove_middle_vms() {
        std::vector<std::size_t> order(gateways.size());
        std::iota(order.begin(), order.end(), 0);
        std::sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) {
            return hash_of(gateways[left]->board().conf.vm) > hash_of(gateways[right]->board().conf.vm);
        });
        const auto last = order.end() - static_cast<std::ptrdiff_t>(vm_count - heads_per_domain);
        std::vector<std::size_t> removed(order.begin() + heads_per_domain, last);
        std::sort(removed.rbegin(), removed.rend());
        for (const auto i : removed) {
            const auto at = static_cast<std::ptrdiff_t>(i);
            gateways.erase(gateways.begin() + at);
            store_links.erase(store_links.begin() + at);
            relay_links.erase(relay_links.begin() + at);
        }
        ASSERT_TRUE(loop.run_until([&] {
            return std::all_of(gateways.begin(), gateways.end(),
                               [](const auto& it) { return it->board().peers.fleet_size == vm_count; });
        }));
    }

    /// Bytes of connections that are open now are never delivered; new connections work.
    void silence_relays() {
        for (auto& link : relay_links) {
            link->silence_open_connections();
        }
    }

    /// No connection between VMs delivers anything; datagrams do.
    void block_relays() {
        for (auto& link : relay_links) {
            link->set_mode(forward_mode::hold_both);
        }
    }

    void kill_heads() {
        std::erase_if(gateways, [](const auto& it) { return it->board().duties.is_head; });
    }

    bool all_reach(std::uint64_t version, std::size_t servers, duration limit) {
        return loop.run_until(
            [&] {
                return std::all_of(gateways.begin(), gateways.end(), [&](const auto& it) {
                    return it->board().routes->config.version.value == version &&
                           it->board().registry.entries.size() == servers;
                });
            },
            limit);
    }
};

struct freshness_case {
    const char* name;
    void (*disturb)(freshness_fixture&);
};

struct gateway_freshness : freshness_fixture, testing::WithParamInterface<freshness_case> {};

// Guards against a VM that keeps an older configuration because a source that it still hears delivers
// nothing.
TEST_P(gateway_freshness, change_is_in_force_in_time) {
    start_fleet();
    GetParam().disturb(*this);
    put_config("00000003");
    add_target("i-2");
    EXPECT_TRUE(all_reach(3, 3, change_limit));
}

INSTANTIATE_TEST_SUITE_P(
    disturbances, gateway_freshness,
    testing::Values(
        freshness_case{"none", [](freshness_fixture&) {}},
        freshness_case{"watches_hear_nothing", [](freshness_fixture& it) { it.store.mute_watches(); }},
        freshness_case{"open_connections_to_the_store_fall_silent",
                       [](freshness_fixture& it) { it.silence_store_links(); }},
        freshness_case{"open_connections_between_vms_fall_silent",
                       [](freshness_fixture& it) { it.silence_relays(); }},
        freshness_case{"all_open_connections_fall_silent",
                       [](freshness_fixture& it) {
                           it.silence_store_links();
                           it.silence_relays();
                       }},
        freshness_case{"pulls_between_vms_hang", [](freshness_fixture& it) { it.block_relays(); }},
        freshness_case{"heads_are_killed", [](freshness_fixture& it) { it.kill_heads(); }},
        freshness_case{"heads_are_killed_and_open_connections_fall_silent",
                       [](freshness_fixture& it) {
                           it.silence_store_links();
                           it.silence_relays();
                           it.kill_heads();
                       }}),
    [](const auto& it) { return it.param.name; });

struct cut_case {
    const char* name;
    duration before_removal; ///< from the cut to the removal of the server's entry
    std::size_t removed_vms; ///< VMs of a rank below the heads that were removed for good before
};

struct gateway_store_cut : freshness_fixture, testing::WithParamInterface<cut_case> {};

// Guards against a server that left and stays in use, because VMs cut from the store count as its outage.
TEST_P(gateway_store_cut, removal_is_applied_by_vms_that_are_in_touch) {
    start_fleet(vm_count + GetParam().removed_vms);
    remove_middle_vms();
    std::vector<gateway_process*> in_touch;
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        if (gateways[i]->board().duties.watches) {
            store_links[i]->set_mode(forward_mode::hold_both);
        } else {
            in_touch.push_back(gateways[i].get());
        }
    }
    ASSERT_EQ(vm_count - heads_per_domain, in_touch.size());
    loop.run_for(GetParam().before_removal);
    store.remove("servers", "i-0");
    EXPECT_TRUE(loop.run_until(
        [&] {
            return std::all_of(in_touch.begin(), in_touch.end(), [](auto* it) {
                return !it->board().registry.entries.contains(server_id("i-0"));
            });
        },
        change_limit));
}

INSTANTIATE_TEST_SUITE_P(moments, gateway_store_cut,
                         testing::Values(cut_case{"at_once", 0ms, 0},
                                         cut_case{"while_others_take_over", 1200ms, 0},
                                         cut_case{"after_others_took_over", 3000ms, 0},
                                         cut_case{"after_vms_were_removed", 0ms, 5}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever::http_test
