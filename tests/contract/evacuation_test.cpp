#include "contract/tenant_fixture.hpp"
#include "endivelever/decide/server_use.hpp"

namespace endivelever::http_test {
namespace {

struct evacuation : tenant_fixture {
    evacuation() {
        bounds.evacuation_limit = 5s;
        service_spec["warmup_s"] = 30;
        service_spec["warmup_per_s"] = 8.8;
    }

    fake_target& add_target_in(const std::string& id, const std::string& domain,
                               std::int64_t warm_up_ms = 0) {
        targets.push_back(std::make_unique<fake_target>(loop.get(), id));
        put_entry(*targets.back(), id, domain, warm_up_ms);
        return *targets.back();
    }

    void put_entry(const fake_target& target, const std::string& id, const std::string& domain,
                   std::int64_t warm_up_ms, std::int64_t sequence = 1, std::int64_t born = 1700000000000) {
        auto entry = target.entry("desk");
        entry["zone"] = domain;
        entry["warmup_remaining_ms"] = warm_up_ms;
        entry["sequence"] = sequence;
        entry["born"] = born;
        store.put("servers", id, entry);
    }

    void evacuate(const std::string& domain) { store.put("evacuations", domain, nlohmann::json::object()); }

    bool wait_for_evacuated(gateway_process& gateway, std::size_t domains) {
        return loop.run_until([&] {
            return is_known(gateway.board().evacuations) &&
                   gateway.board().evacuations.domains.size() == domains;
        });
    }

    /// Starts a gateway and a server in each of two failure domains.
    gateway_process& start_two_domains() {
        put_resources({});
        add_target_in("i-a", "zone-a");
        add_target_in("i-b", "zone-b");
        auto& gateway = open_gateway("vm-1");
        EXPECT_TRUE(wait_until_ready(gateway));
        EXPECT_TRUE(loop.run_until([&] { return pool(gateway).servers.size() == 2; }));
        return gateway;
    }

    static server_pool& pool(gateway_process& gateway) {
        return gateway.board().services.at(service_id("desk")).pool;
    }

    static const server_view* view(gateway_process& gateway, const std::string& id) {
        const auto index = find_server(pool(gateway), server_id(id));
        return index < pool(gateway).servers.size() ? &pool(gateway).servers[index] : nullptr;
    }

    static bool is_cold_server(gateway_process& gateway, const std::string& id) {
        const auto* found = view(gateway, id);
        return found != nullptr && is_cold(found->warm_up_use, boot_clock::now());
    }

    /// Sends requests one after the other. @return how many were answered with 200
    std::size_t ask_many(gateway_process& gateway, std::size_t n) {
        std::size_t served = 0;
        for (std::size_t i = 0; i < n; ++i) {
            served += ask(gateway, "/again/x", "", "id-" + std::to_string(i)) == 200 ? 1 : 0;
        }
        return served;
    }

    /// Sends requests until a server has received one.
    bool reaches(gateway_process& gateway, const fake_target& target) {
        const auto before = target.arrivals.size();
        const auto end = boot_clock::now() + 20s;
        while (target.arrivals.size() == before && boot_clock::now() < end) {
            ask_many(gateway, 1);
        }
        return target.arrivals.size() > before;
    }
};

// Guards against requests and health checks to servers of an evacuated failure domain, and against servers
// that stay out of use afterwards.
TEST_F(evacuation, servers_of_the_domain_get_no_request_until_it_is_withdrawn) {
    auto& gateway = start_two_domains();
    ASSERT_TRUE(reaches(gateway, *targets[1]));
    evacuate("zone-b");
    ASSERT_TRUE(wait_for_evacuated(gateway, 1));
    const auto arrivals = targets[1]->arrivals.size();
    loop.run_for(50ms); // health checks in progress arrive
    const auto probes = targets[1]->probes;
    EXPECT_EQ(30, ask_many(gateway, 30));
    loop.run_for(300ms);
    EXPECT_EQ(arrivals, targets[1]->arrivals.size());
    EXPECT_EQ(probes, targets[1]->probes);
    store.remove("evacuations", "zone-b");
    ASSERT_TRUE(wait_for_evacuated(gateway, 0));
    EXPECT_TRUE(reaches(gateway, *targets[1]));
    EXPECT_NE(std::string::npos, log_text().find("\"event\":\"domain_evacuated\",\"domain\":\"zone-b\""));
    EXPECT_NE(std::string::npos, log_text().find("\"event\":\"domain_readmitted\",\"domain\":\"zone-b\""));
}

// Guards against VMs that do not read the store and never learn of an evacuation.
TEST_F(evacuation, is_learned_from_a_peer) {
    constexpr std::size_t vms = 5;
    put_resources({});
    add_target_in("i-b", "zone-b");
    for (std::size_t i = 0; i < vms; ++i) {
        open_gateway("vm-" + std::to_string(i));
    }
    ASSERT_TRUE(loop.run_until([&] {
        return std::all_of(gateways.begin(), gateways.end(), [](const auto& it) {
            return is_ready(it->board()) && it->board().peers.fleet_size == vms;
        });
    }));
    ASSERT_TRUE(loop.run_until([&] {
        return std::any_of(gateways.begin(), gateways.end(),
                           [](const auto& it) { return !it->board().duties.watches; });
    }));
    evacuate("zone-b");
    for (const auto& it : gateways) {
        EXPECT_TRUE(wait_for_evacuated(*it, 1));
    }
    EXPECT_TRUE(std::any_of(gateways.begin(), gateways.end(),
                            [](const auto& it) { return it->board().evacuation_reflector == nullptr; }));
    store.remove("evacuations", "zone-b");
    for (const auto& it : gateways) {
        EXPECT_TRUE(wait_for_evacuated(*it, 0));
    }
}

// Guards against a VM that starts during an evacuation and uses the servers before it knows of it.
TEST_F(evacuation, vm_that_starts_serves_nothing_before_it_knows_the_evacuations) {
    start_two_domains();
    evacuate("zone-b");
    ASSERT_TRUE(wait_for_evacuated(*gateways.front(), 1));
    gateways.clear();
    const auto arrivals = targets[1]->arrivals.size();
    store.silent_kind = "evacuations";
    auto& restarted = open_gateway("vm-1");
    ASSERT_TRUE(
        loop.run_until([&] { return restarted.board().routes && restarted.board().registry.loaded; }));
    EXPECT_EQ(503, ask(restarted, "/again/x", ""));
    EXPECT_EQ(503, readiness(restarted));
    store.silent_kind.clear();
    ASSERT_TRUE(wait_until_ready(restarted));
    EXPECT_EQ(20, ask_many(restarted, 20));
    EXPECT_EQ(arrivals, targets[1]->arrivals.size());
}

struct disturbance {
    const char* name;
    void (*apply)(evacuation&);
    void (*end)(evacuation&);
};

struct evacuation_disturbance : evacuation, testing::WithParamInterface<disturbance> {};

// Guards against an evacuation that ends because the store does not answer or has lost its history.
TEST_P(evacuation_disturbance, leaves_the_last_known_state_in_force) {
    auto& gateway = start_two_domains();
    evacuate("zone-b");
    ASSERT_TRUE(wait_for_evacuated(gateway, 1));
    const auto arrivals = targets[1]->arrivals.size();
    GetParam().apply(*this);
    const auto end = boot_clock::now() + 2500ms;
    while (boot_clock::now() < end) {
        ask_many(gateway, 1);
        loop.run_for(20ms);
    }
    EXPECT_EQ(arrivals, targets[1]->arrivals.size());
    GetParam().end(*this);
    store.remove("evacuations", "zone-b");
    EXPECT_TRUE(wait_for_evacuated(gateway, 0));
    evacuate("zone-a");
    EXPECT_TRUE(wait_for_evacuated(gateway, 1));
    EXPECT_EQ(failure_domain("zone-a"), *gateway.board().evacuations.domains.begin());
}

INSTANTIATE_TEST_SUITE_P(
    store, evacuation_disturbance,
    testing::Values(
        disturbance{"silent", [](evacuation& it) { it.store.behaviour = fake_object_store::manner::silent; },
                    [](evacuation& it) { it.store.behaviour = fake_object_store::manner::serves; }},
        disturbance{"refuses",
                    [](evacuation& it) { it.store.behaviour = fake_object_store::manner::refuses; },
                    [](evacuation& it) { it.store.behaviour = fake_object_store::manner::serves; }},
        disturbance{"closes", [](evacuation& it) { it.store.behaviour = fake_object_store::manner::closes; },
                    [](evacuation& it) { it.store.behaviour = fake_object_store::manner::serves; }},
        disturbance{"history_forgotten",
                    [](evacuation& it) {
                        it.store.forget_history();
                        it.store.cut_watches();
                    },
                    [](evacuation& it) {
                        it.store.forget_history();
                        it.store.cut_watches();
                    }},
        disturbance{"watches_hear_nothing", [](evacuation& it) { it.store.mute_watches(); },
                    [](evacuation& it) { it.store.mute_watches(); }}),
    [](const auto& it) { return it.param.name; });

// Guards against requests that wait for a server of an evacuated domain until their deadline.
TEST_F(evacuation, of_all_domains_refuses_requests_at_once) {
    auto& gateway = start_two_domains();
    evacuate("zone-a");
    evacuate("zone-b");
    ASSERT_TRUE(wait_for_evacuated(gateway, 2));
    const auto arrivals = targets[0]->arrivals.size() + targets[1]->arrivals.size();
    for (const auto* target : {"/again/x", "/once/x"}) {
        EXPECT_EQ(503, ask(gateway, target, ""));
        EXPECT_NE(std::string::npos, last_response.find("Retry-After:"));
    }
    EXPECT_TRUE(gateway.board().services.at(service_id("desk")).waiting.empty());
    EXPECT_EQ(arrivals, targets[0]->arrivals.size() + targets[1]->arrivals.size());
}

// Guards against requests that already wait when the last domain is evacuated.
TEST_F(evacuation, of_all_domains_refuses_requests_that_wait) {
    auto& gateway = start_two_domains();
    targets[0]->load = "4,9,4,100";
    targets[1]->load = "4,9,4,100";
    const auto connection = connect_caller(gateway);
    connection->send_some(head_of("GET", "/again/x", "id-1", ""));
    ASSERT_TRUE(loop.run_until(
        [&] { return !gateway.board().services.at(service_id("desk")).waiting.empty(); }, 500ms));
    evacuate("zone-a");
    evacuate("zone-b");
    EXPECT_EQ(503, wait_for_status(*connection));
    EXPECT_NE(std::string::npos, connection->received.find("Retry-After:"));
    EXPECT_EQ(0, targets[0]->arrivals.size() + targets[1]->arrivals.size());
}

// Guards against an evacuation that ends attempts in progress.
TEST_F(evacuation, attempt_in_progress_continues) {
    put_resources({});
    auto& target = add_target_in("i-b", "zone-b");
    target.work_time = 400ms;
    auto& gateway = open_gateway("vm-1");
    ASSERT_TRUE(wait_until_ready(gateway));
    const auto connection = connect_caller(gateway);
    connection->send_some(head_of("GET", "/once/x", "id-1", ""));
    ASSERT_TRUE(loop.run_until([&] { return !target.ran.empty(); }));
    evacuate("zone-b");
    ASSERT_TRUE(wait_for_evacuated(gateway, 1));
    EXPECT_EQ(200, wait_for_status(*connection));
    EXPECT_EQ(1, target.ran.size());
}

struct cold_server : evacuation {
    cold_server() {
        bounds.warm_up_overage = 1.5;
        bounds.warm_up_tolerance = 8;
    }
};

// Guards against full load on servers that became cold while their domain was evacuated.
TEST_F(cold_server, readmitted_servers_count_as_cold) {
    auto& gateway = start_two_domains();
    evacuate("zone-b");
    ASSERT_TRUE(wait_for_evacuated(gateway, 1));
    EXPECT_FALSE(is_cold_server(gateway, "i-b"));
    store.remove("evacuations", "zone-b");
    ASSERT_TRUE(wait_for_evacuated(gateway, 0));
    EXPECT_TRUE(is_cold_server(gateway, "i-b"));
    EXPECT_FALSE(is_cold_server(gateway, "i-a"));
}

// Guards against a readmission that shortens the time for which a server says that it stays cold.
TEST_F(cold_server, readmission_does_not_shorten_what_the_server_stated) {
    put_resources({});
    add_target_in("i-b", "zone-b", 60'000);
    auto& gateway = open_gateway("vm-1");
    ASSERT_TRUE(wait_until_ready(gateway));
    ASSERT_TRUE(loop.run_until([&] { return is_cold_server(gateway, "i-b"); }));
    const auto stated_until = view(gateway, "i-b")->warm_up_use.cold_until;
    evacuate("zone-b");
    ASSERT_TRUE(wait_for_evacuated(gateway, 1));
    store.remove("evacuations", "zone-b");
    ASSERT_TRUE(wait_for_evacuated(gateway, 0));
    EXPECT_GE(view(gateway, "i-b")->warm_up_use.cold_until, stated_until);
}

// Guards against full load on a server whose entry states that it is cold, and against a server that is held
// back although its entry states that it is warm.
TEST_F(cold_server, entry_states_that_a_server_is_cold_and_warm_again) {
    auto& gateway = start_two_domains();
    put_entry(*targets[1], "i-b", "zone-b", 20'000, 2);
    ASSERT_TRUE(loop.run_until([&] { return is_cold_server(gateway, "i-b"); }));
    const auto metrics = get(gateway.board().conf.metrics_address, "/metrics").body;
    EXPECT_NE(std::string::npos, metrics.find("endivelever_gateway_cold_servers 1\n"));
    EXPECT_NE(std::string::npos, metrics.find("endivelever_gateway_cold_servers_used 1\n"));
    put_entry(*targets[1], "i-b", "zone-b", 0, 3);
    EXPECT_TRUE(loop.run_until([&] { return !is_cold_server(gateway, "i-b"); }, 10s));
}

// Guards against full load on a server that becomes cold between two entries, and against a server that is
// held back until a timer ends although it answers that it is warm.
TEST_F(cold_server, health_answer_states_that_a_server_is_cold_and_warm_again) {
    auto& gateway = start_two_domains();
    const auto ask_now_and_then = [&] {
        ask_many(gateway, 1);
        loop.run_for(20ms); // leaves health checks in the budget
    };
    const auto becomes = [&](bool cold) {
        return loop.run_until([&] { return ask_now_and_then(), is_cold_server(gateway, "i-b") == cold; },
                              20s);
    };
    targets[1]->directives = {{"X-Warmup-Ms", "60000"}};
    ASSERT_TRUE(becomes(true));
    targets[1]->directives = {{"X-Warmup-Ms", "0"}};
    EXPECT_TRUE(becomes(false));
}

// Guards against a next incarnation that counts as warm because its entry states the same time as the entry
// of the former one.
TEST_F(cold_server, next_incarnation_with_the_same_warm_up_is_cold) {
    put_resources({});
    add_target_in("i-a", "zone-a");
    auto& target = add_target_in("i-b", "zone-b", 700);
    auto& gateway = open_gateway("vm-1");
    ASSERT_TRUE(wait_until_ready(gateway));
    ASSERT_TRUE(loop.run_until([&] { return view(gateway, "i-b") && !is_cold_server(gateway, "i-b"); }));
    loop.run_until([&] { return !is_cold_server(gateway, "i-b"); });
    loop.run_for(800ms);
    put_entry(target, "i-b", "zone-b", 700, 1, 1700000009000);
    EXPECT_TRUE(loop.run_until([&] { return is_cold_server(gateway, "i-b"); }, 3s));
}

// Guards against a server that became cold again and counts as warm, because its entry states the same time
// as before.
TEST_F(cold_server, repeated_statement_of_the_same_time_counts) {
    auto& gateway = start_two_domains();
    put_entry(*targets[1], "i-b", "zone-b", 700, 2);
    ASSERT_TRUE(loop.run_until([&] { return is_cold_server(gateway, "i-b"); }));
    ASSERT_TRUE(loop.run_until([&] { return !is_cold_server(gateway, "i-b"); }));
    put_entry(*targets[1], "i-b", "zone-b", 700, 3);
    EXPECT_TRUE(loop.run_until([&] { return is_cold_server(gateway, "i-b"); }, 3s));
}

// Guards against an old entry that makes a warm server cold each time that the pool is updated.
TEST_F(cold_server, old_entry_is_applied_once) {
    auto& gateway = start_two_domains();
    put_entry(*targets[1], "i-b", "zone-b", 300, 2);
    ASSERT_TRUE(loop.run_until([&] { return is_cold_server(gateway, "i-b"); }));
    ASSERT_TRUE(loop.run_until([&] { return !is_cold_server(gateway, "i-b"); }));
    put_resources({});
    ASSERT_TRUE(wait_for_version(gateway));
    EXPECT_FALSE(is_cold_server(gateway, "i-b"));
}

// Guards against a VM that goes on using a cold server after it has learned of the VMs that should use it.
TEST_F(cold_server, senders_follow_the_members) {
    auto& gateway = start_two_domains();
    put_entry(*targets[1], "i-b", "zone-b", 60'000, 2);
    ASSERT_TRUE(loop.run_until([&] { return is_cold_server(gateway, "i-b"); }));
    EXPECT_TRUE(view(gateway, "i-b")->warm_up_use.is_sender);
    for (int i = 0; i < 10; ++i) {
        store.put("gateway-vms", "vm-b-" + std::to_string(i),
                  {{"failure_domain", "zone-b"}, {"peer_address", "127.0.0.1:9"}, {"capacity", 10}});
    }
    EXPECT_TRUE(loop.run_until([&] { return !view(gateway, "i-b")->warm_up_use.is_sender; }, 15s));
    EXPECT_TRUE(is_cold_server(gateway, "i-b"));
}

// Guards against a cold server that gets more than it tolerates from a single VM.
TEST_F(cold_server, single_vm_sends_one_request_a_second) {
    put_resources({});
    auto& target = add_target_in("i-b", "zone-b", 60'000);
    auto& gateway = open_gateway("vm-1");
    ASSERT_TRUE(wait_until_ready(gateway));
    const auto end = boot_clock::now() + 4s;
    while (boot_clock::now() < end) {
        ask_many(gateway, 1);
    }
    EXPECT_GE(target.arrivals.size(), 2U);
    for (std::size_t i = 2; i < target.arrivals.size(); ++i) {
        EXPECT_GT(target.arrivals[i] - target.arrivals[i - 2], 1s);
    }
}

} // namespace
} // namespace endivelever::http_test
