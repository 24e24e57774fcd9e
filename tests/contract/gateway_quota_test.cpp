#include "contract/gateway_fixture.hpp"
#include "endivelever/gateway/controllers.hpp"

#include <algorithm>

namespace endivelever::http_test {
namespace {

using namespace std::chrono_literals;

/// Gateways of one failure domain with three tenants: "limited" with a rate, "small" with hardly any, and
/// "free" without a limit. The service "void" has no server.
struct gateway_quota : gateway_fixture {
    static nlohmann::json tenant(const std::string& name, double rate, double burst) {
        return {{"resource_kind", "tenants"},
                {"metadata", {{"name", name}}},
                {"spec",
                 {{"api_keys", {"key-" + name}}, {"priority", 0}, {"rate_per_s", rate}, {"burst", burst}}}};
    }

    void put_tenants() {
        auto to_void = route("r3", "/void/", "idempotent");
        to_void["spec"]["service"] = "void";
        nlohmann::json resources{route("r1", "/once/", "non_idempotent"),
                                 route("r2", "/again/", "idempotent"), to_void};
        for (const auto* name : {"desk", "void"}) {
            resources.push_back({{"resource_kind", "services"},
                                 {"metadata", {{"name", name}}},
                                 {"spec", {{"health_check_path", "/health"}, {"max_connections", 100}}}});
        }
        resources.push_back(tenant("limited", 200, 20));
        resources.push_back(tenant("small", 2, 5));
        resources.push_back(tenant("free", 0, 0));
        store.put("config", "main", {{"version", "00000001"}, {"resources", resources}});
    }

    void add_quota_gateway(const std::string& vm) {
        auto conf = make_settings(vm, store.address());
        conf.quota_window = 5s;
        conf.quota_overage = 0.1;
        conf.quota_tolerance = 20.0;
        auto opened = gateway_process::open(loop.get(), conf, platform::make_dialect(conf.store_address));
        ASSERT_TRUE(opened) << (opened ? "" : opened.error().message);
        gateways.push_back(std::move(*opened));
        gateways.back()->board().log.fd = devnull;
    }

    void start_gateways(std::size_t n) {
        put_tenants();
        for (std::size_t i = 0; i < 3; ++i) {
            add_target("i-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < n; ++i) {
            add_quota_gateway("vm-" + std::to_string(i));
        }
        ASSERT_TRUE(loop.run_until([&] {
            return std::all_of(gateways.begin(), gateways.end(), [n](const auto& it) {
                return is_ready(it->board()) && it->board().peers.peers.size() == n - 1;
            });
        }));
        ASSERT_TRUE(loop.run_until([&] { return has_allocators() && all_know_holders(); }));
        loop.run_for(300ms); // the buckets gain their first tokens
    }

    /// @return the gateway that may grant tokens of a shard, or nullptr
    gateway_process* allocator(std::size_t shard) {
        for (const auto& it : gateways) {
            if (may_grant(it->board().quota.leases.at(shard), boot_clock::now())) {
                return it.get();
            }
        }
        return nullptr;
    }

    bool has_allocators() { return allocator(0) != nullptr && allocator(1) != nullptr; }

    bool all_know_holders() {
        for (std::size_t shard = 0; shard < quota_shards; ++shard) {
            const auto holder = hash_of(allocator(shard)->board().conf.vm);
            for (const auto& it : gateways) {
                if (it->board().quota.leases.at(shard).record.holder != holder) {
                    return false;
                }
            }
        }
        return true;
    }

    static std::uint64_t tenant_hash(const std::string& name) { return hash_of(tenant_id(name)); }

    gateway_process& allocator_of(const std::string& name) { return *allocator(shard_of(tenant_hash(name))); }

    gateway_process& other_than(const gateway_process& it) {
        return **std::find_if(gateways.begin(), gateways.end(),
                              [&it](const auto& other) { return other.get() != &it; });
    }

    caller_result& begin(gateway_process& gateway, const std::string& name,
                         const std::string& target = "/once/x") {
        results.push_back(std::make_unique<caller_result>());
        auto& result = *results.back();
        http_request request;
        request.address = gateway.board().conf.caller_address;
        request.target = target;
        request.method = "GET";
        request.headers = {{"Host", host},
                           {"Authorization", "Bearer key-" + name},
                           {"X-Request-Id", "q-" + std::to_string(results.size())},
                           {"X-Deadline-Ms", "1000"}};
        transfer_handlers handlers;
        handlers.on_head = [&result](unsigned status, const http_headers& headers) {
            result.status = status;
            result.headers = headers;
        };
        handlers.on_body = [](std::string_view /*data*/) { return true; };
        handlers.on_done = [&result](const transfer_result& /*end*/) { result.done = true; };
        client->start(std::move(request), std::move(handlers));
        return result;
    }

    caller_result& ask(gateway_process& gateway, const std::string& name,
                       const std::string& target = "/once/x") {
        auto& result = begin(gateway, name, target);
        EXPECT_TRUE(loop.run_until([&] { return result.done; }));
        return result;
    }
};

// Guards against refusals of a tenant within its limit, whichever VM it calls.
TEST_F(gateway_quota, serves_a_tenant_within_its_limit) {
    start_gateways(3);
    for (std::size_t i = 0; i < 30; ++i) {
        EXPECT_EQ(200U, ask(*gateways[i % 3], "limited").status);
    }
}

// Guards against a limit that each VM applies on its own, and against refusals without a time to return.
TEST_F(gateway_quota, refuses_a_tenant_beyond_its_limit_over_all_vms) {
    start_gateways(3);
    std::size_t refused = 0;
    const auto start = boot_clock::now();
    for (std::size_t i = 0; i < 90; ++i) {
        const auto& result = ask(*gateways[i % 3], "small");
        if (result.status != 200) {
            ++refused;
            EXPECT_EQ(429U, result.status);
            const auto* retry_after = find_header(result.headers, "Retry-After");
            ASSERT_NE(nullptr, retry_after);
            EXPECT_GT(std::strtod(retry_after->c_str(), nullptr), 0.0);
        }
    }
    const double seconds = std::max(5.0, to_seconds(boot_clock::now() - start));
    EXPECT_LE(static_cast<double>(run_count()), (2.0 * seconds + 5.0) * 1.1 + 20.0);
    EXPECT_GT(refused, 0U);
}

// Guards against store writes and messages for tenants without a limit.
TEST_F(gateway_quota, asks_nothing_for_a_tenant_without_a_limit) {
    start_gateways(2);
    for (std::size_t i = 0; i < 10; ++i) {
        EXPECT_EQ(200U, ask(*gateways[i % 2], "free").status);
    }
    EXPECT_EQ(0U, gateways[0]->board().quota.last_number + gateways[1]->board().quota.last_number);
}

// Guards against a tenant that is refused while no allocator answers, and against an allocator that is not
// replaced.
TEST_F(gateway_quota, uses_floors_until_another_vm_takes_over) {
    start_gateways(2);
    loop.run_for(5500ms); // floors need a window after the start
    auto& ended = allocator_of("limited");
    auto& other = other_than(ended);
    std::erase_if(gateways, [&ended](const auto& it) { return it.get() == &ended; });
    EXPECT_EQ(200U, ask(other, "limited").status);
    EXPECT_GT(counter(other.board().counters, "gateway_quota_floor_uses_total"), 0U);
    EXPECT_TRUE(loop.run_until([&] { return has_allocators(); }));
    EXPECT_TRUE(loop.run_until([&] { return ask(other, "limited").status == 200; }));
}

// Guards against a planned stop after which nobody grants until the lease has ended, and against a VM that
// grants after its release.
TEST_F(gateway_quota, passes_the_lease_on_when_the_allocator_stops) {
    start_gateways(2);
    auto& stopping = allocator_of("limited");
    auto& other = other_than(stopping);
    const auto shard = shard_of(tenant_hash("limited"));
    stopping.stop();
    EXPECT_FALSE(may_grant(stopping.board().quota.leases.at(shard), boot_clock::now()));
    const auto& taken = other.board().quota.leases.at(shard);
    ASSERT_TRUE(loop.run_until([&] { return taken.is_holder; }));
    EXPECT_FALSE(may_grant(stopping.board().quota.leases.at(shard), boot_clock::now()));
    // It did not wait for the end of the former lease.
    EXPECT_LE(taken.grants_from, taken.valid_until - quota_lease_time);
}

// Guards against a refusal because one datagram was lost.
TEST_F(gateway_quota, asks_again_if_a_grant_is_lost) {
    start_gateways(2);
    auto& vm = other_than(allocator_of("limited"));
    auto& quota = vm.board().quota;
    const auto& result = begin(vm, "limited");
    ASSERT_TRUE(loop.run_until([&] { return !quota.asked.empty(); }));
    const auto first = quota.last_number;
    quota.asked.clear(); // the grant is not recognized when it arrives
    ASSERT_TRUE(loop.run_until([&] { return result.done; }));
    EXPECT_EQ(200U, result.status);
    EXPECT_GT(quota.last_number, first);
}

// Guards against a tenant that pays for requests which no server has run.
TEST_F(gateway_quota, gives_the_token_back_if_no_server_takes_the_request) {
    start_gateways(2);
    auto& vm = other_than(allocator_of("limited"));
    EXPECT_EQ(503U, ask(vm, "limited", "/void/x").status);
    EXPECT_EQ(1U, vm.board().quota.reserves[tenant_hash("limited")].tokens.size());
}

// Guards against a token that is used in a later window than the one in which it was counted, because its
// request waited for a server.
TEST_F(gateway_quota, asks_again_if_the_token_expires_before_the_request_is_sent) {
    start_gateways(2);
    auto& vm = other_than(allocator_of("limited"));
    EXPECT_EQ(200U, ask(vm, "limited").status); // the servers are known to report their load
    for (auto& it : targets) {
        it->load = "4,0,4,100";
    }
    loop.run_for(100ms); // the reports are too old to send without a probe
    const auto& result = begin(vm, "limited");
    const auto holds_token = [&vm] {
        const auto& requests = vm.board().requests;
        return !requests.empty() && requests.begin()->second->token_expiry != time_point{} &&
               requests.begin()->second->attempts.empty();
    };
    ASSERT_TRUE(loop.run_until([&] { return holds_token() || result.done; }));
    ASSERT_FALSE(result.done);
    const auto first = vm.board().quota.last_number;
    vm.board().requests.begin()->second->token_expiry = boot_clock::now() - 1ms;
    for (auto& it : targets) {
        it->load = "0,0,4,100";
    }
    ASSERT_TRUE(loop.run_until([&] { return result.done; }));
    EXPECT_EQ(200U, result.status);
    EXPECT_GT(vm.board().quota.last_number, first);
}

} // namespace
} // namespace endivelever::http_test
