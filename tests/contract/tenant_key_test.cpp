#include "contract/tenant_fixture.hpp"

namespace endivelever::http_test {
namespace {

const std::string alpha_key = "key-alpha-1";
const std::string alpha_spare_key = "key-alpha-2";
const std::string beta_key = "key-beta-1";
const std::string new_key = "key-gamma-1";
constexpr std::size_t long_key_bytes = 8192;
const std::string long_key(long_key_bytes, 'k');
const std::string alpha = "Authorization: Bearer key-alpha-1\r\n";
const std::string beta = "Authorization: Bearer key-beta-1\r\n";

/// Changes of the configuration after the gateway is ready.
enum class key_change { none, taken, moved, added, tenant_removed, tenants_removed, replaced };

/// What the servers do with the request.
enum class server_trouble { none, first_sheds, first_hangs };

struct key_case {
    const char* name;
    std::string fields; ///< lines of the head
    unsigned status;
    const char* tenant = ""; ///< name that the server receives; empty if none
    const char* target = "/again/x";
    key_change change = key_change::none;
    server_trouble trouble = server_trouble::none;
    std::string body{}; ///< sent by POST if not empty
};

struct tenant_key : tenant_fixture, testing::WithParamInterface<key_case> {
    void put_keys(key_change change) {
        switch (change) {
        case key_change::none:
            put_resources(
                {tenant("alpha", {alpha_key, alpha_spare_key, long_key}), tenant("beta", {beta_key})});
            break;
        case key_change::taken:
            put_resources({tenant("alpha", {alpha_spare_key}), tenant("beta", {beta_key})});
            break;
        case key_change::moved:
            put_resources({tenant("alpha", {alpha_spare_key}), tenant("beta", {beta_key, alpha_key})});
            break;
        case key_change::added:
            put_resources(
                {tenant("alpha", {alpha_key}), tenant("beta", {beta_key}), tenant("gamma", {new_key})});
            break;
        case key_change::tenant_removed:
            put_resources({tenant("beta", {beta_key})});
            break;
        case key_change::tenants_removed:
            put_resources({});
            break;
        case key_change::replaced:
            put_resources({tenant("alpha", {new_key}), tenant("beta", {beta_key})});
            break;
        }
    }

    void apply_trouble(gateway_process& gateway, server_trouble trouble) {
        if (trouble == server_trouble::none) {
            return;
        }
        if (trouble == server_trouble::first_hangs) {
            learn_response_time(gateway);
        }
        targets[0]->behaviour =
            trouble == server_trouble::first_sheds ? fake_target::manner::sheds : fake_target::manner::hangs;
        targets[1]->load = "4,9,4,100"; // no room until the first one has the request
        loop.run_for(100ms);            // earlier reports expire
    }

    void end_first_attempt(server_trouble trouble) {
        if (trouble != server_trouble::none) {
            EXPECT_TRUE(loop.run_until([&] { return !targets[0]->received_heads.empty(); }, 500ms));
            targets[1]->load = "0,0,4,100";
        }
    }

    /// Hedges need the median response time of the service.
    void learn_response_time(gateway_process& gateway) {
        for (auto& it : targets) {
            it->work_time = 2ms; // a shorter one counts as none
        }
        ASSERT_TRUE(loop.run_until([&] {
            ask(gateway, "/open/x", "", "id-0");
            return gateway.board().services.at(service_id("desk")).median_response_time > duration::zero();
        }));
        for (auto& it : targets) {
            it->received_heads.clear();
            it->bodies.clear();
        }
    }

    std::vector<http_headers> received_heads() const {
        std::vector<http_headers> heads;
        for (const auto& it : targets) {
            heads.insert(heads.end(), it->received_heads.begin(), it->received_heads.end());
        }
        return heads;
    }

    void expect_no_key(const std::string& text) const {
        for (const auto& key : {alpha_key, alpha_spare_key, beta_key, new_key, long_key.substr(0, 64),
                                std::string("stranger")}) {
            EXPECT_EQ(std::string::npos, text.find(key)) << key;
        }
    }
};

std::vector<std::string> values_of(const http_headers& headers, std::string_view name) {
    std::vector<std::string> values;
    for (const auto& it : headers) {
        if (header_names_equal(it.name, name)) {
            values.push_back(it.value);
        }
    }
    return values;
}

// Guards against requests that run for another tenant than that of their key or without a key, and against
// keys that reach a server, a log or the metrics.
TEST_P(tenant_key, decides_who_is_served_and_what_the_server_receives) {
    const auto& param = GetParam();
    put_keys(key_change::none);
    add_target("i-0");
    add_target("i-1");
    auto& gateway = open_gateway("vm-1");
    ASSERT_TRUE(wait_until_ready(gateway));
    if (param.change != key_change::none) {
        put_keys(param.change);
        ASSERT_TRUE(wait_for_version(gateway));
    }
    apply_trouble(gateway, param.trouble);
    const auto connection = connect_caller(gateway);
    const auto length =
        param.body.empty() ? std::string() : "Content-Length: " + std::to_string(param.body.size()) + "\r\n";
    connection->send_some(
        head_of(param.body.empty() ? "GET" : "POST", param.target, "id-1", length + param.fields));
    if (!param.body.empty()) {
        loop.run_for(20ms);
        connection->send_some(param.body);
    }
    end_first_attempt(param.trouble);
    EXPECT_EQ(param.status, wait_for_status(*connection)) << connection->received;
    const auto heads = received_heads();
    const std::size_t sends = param.trouble == server_trouble::none ? 1 : 2;
    EXPECT_EQ(param.status == 200 ? sends : 0, heads.size());
    const bool has_tenants = param.change != key_change::tenants_removed;
    for (const auto& it : heads) {
        if (has_tenants) {
            EXPECT_EQ(std::vector<std::string>{}, values_of(it, "Authorization"));
            EXPECT_EQ(param.tenant[0] == '\0' ? std::vector<std::string>{}
                                              : std::vector<std::string>{param.tenant},
                      values_of(it, "X-Tenant"));
        }
    }
    for (const auto& it : targets) {
        for (const auto& [id, body] : it->bodies) {
            EXPECT_EQ(param.body, body);
        }
    }
    expect_no_key(log_text());
    expect_no_key(get(gateway.board().conf.metrics_address, "/metrics").body);
    expect_no_key(connection->received);
}

std::vector<key_case> key_cases() {
    const std::string upload(100'000, 'u');
    std::vector<key_case> rows{
        {"known", alpha, 200, "alpha"},
        {"second_key_of_a_tenant", "Authorization: Bearer key-alpha-2\r\n", 200, "alpha"},
        {"other_tenant", beta, 200, "beta"},
        {"not_idempotent", alpha, 200, "alpha", "/once/x"},
        {"unknown", "Authorization: Bearer stranger\r\n", 401},
        {"unknown_not_idempotent", "Authorization: Bearer stranger\r\n", 401, "", "/once/x"},
        {"missing", "", 401},
        {"empty_field", "Authorization: \r\n", 401},
        {"empty_field_without_blank", "Authorization:\r\n", 401},
        {"empty_key", "Authorization: Bearer \r\n", 401},
        {"scheme_only", "Authorization: Bearer\r\n", 401},
        {"no_scheme", "Authorization: key-alpha-1\r\n", 401},
        {"scheme_basic", "Authorization: Basic key-alpha-1\r\n", 401},
        {"scheme_digest", "Authorization: Digest key-alpha-1\r\n", 401},
        {"scheme_longer", "Authorization: Bearers key-alpha-1\r\n", 401},
        {"scheme_shorter", "Authorization: Beare key-alpha-1\r\n", 401},
        {"scheme_twice", "Authorization: Bearer Bearer key-alpha-1\r\n", 401},
        {"scheme_without_blank", "Authorization: Bearerkey-alpha-1\r\n", 401},
        {"scheme_with_colon", "Authorization: Bearer: key-alpha-1\r\n", 401},
        {"scheme_in_lower_case", "Authorization: bearer key-alpha-1\r\n", 200, "alpha"},
        {"scheme_in_upper_case", "Authorization: BEARER key-alpha-1\r\n", 200, "alpha"},
        {"field_in_lower_case", "authorization: Bearer key-alpha-1\r\n", 200, "alpha"},
        {"field_in_upper_case", "AUTHORIZATION: Bearer key-alpha-1\r\n", 200, "alpha"},
        {"several_blanks", "Authorization: Bearer    key-alpha-1\r\n", 200, "alpha"},
        {"blanks_before_the_value", "Authorization:    Bearer key-alpha-1\r\n", 200, "alpha"},
        {"blank_after_the_key", "Authorization: Bearer key-alpha-1  \r\n", 200, "alpha"},
        {"tab_after_the_key", "Authorization: Bearer key-alpha-1\t\r\n", 200, "alpha"},
        {"tab_after_the_scheme", "Authorization: Bearer\tkey-alpha-1\r\n", 401},
        {"tab_before_the_key", "Authorization: Bearer \tkey-alpha-1\r\n", 401},
        {"blank_in_the_key", "Authorization: Bearer key -alpha-1\r\n", 401},
        {"two_keys", "Authorization: Bearer key-alpha-1 key-beta-1\r\n", 401},
        {"two_keys_with_comma", "Authorization: Bearer key-alpha-1, Bearer key-beta-1\r\n", 401},
        {"quoted_key", "Authorization: Bearer \"key-alpha-1\"\r\n", 401},
        {"encoded_key", "Authorization: Bearer key%2Dalpha%2D1\r\n", 401},
        {"same_field_twice", alpha + alpha, 401},
        {"fields_of_two_tenants", alpha + beta, 401},
        {"unknown_before_known", "Authorization: Bearer stranger\r\n" + alpha, 401},
        {"known_before_basic", alpha + "Authorization: Basic stranger\r\n", 401},
        {"fields_of_different_case", alpha + "authorization: Bearer key-alpha-1\r\n", 401},
        {"empty_field_beside_known", alpha + "Authorization: \r\n", 401},
        {"many_fields", alpha + alpha + alpha + alpha + alpha, 401},
        {"other_field_name", "X-Authorization: Bearer key-alpha-1\r\n", 401},
        {"proxy_authorization", "Proxy-Authorization: Bearer key-alpha-1\r\n", 401},
        {"cookie", "Cookie: Authorization=Bearer key-alpha-1\r\n", 401},
        {"prefix", "Authorization: Bearer key-alpha-\r\n", 401},
        {"first_letter", "Authorization: Bearer k\r\n", 401},
        {"extension", "Authorization: Bearer key-alpha-11\r\n", 401},
        {"suffix", "Authorization: Bearer ey-alpha-1\r\n", 401},
        {"key_in_upper_case", "Authorization: Bearer KEY-ALPHA-1\r\n", 401},
        {"one_letter_in_upper_case", "Authorization: Bearer key-Alpha-1\r\n", 401},
        {"name_of_the_tenant", "Authorization: Bearer alpha\r\n", 401},
        {"long_known_key", "Authorization: Bearer " + long_key + "\r\n", 200, "alpha"},
        {"long_unknown_key", "Authorization: Bearer " + long_key.substr(1) + "s\r\n", 401},
        {"long_key_cut", "Authorization: Bearer " + long_key.substr(1) + "\r\n", 401},
        {"long_key_extended", "Authorization: Bearer " + long_key + "k\r\n", 401},
        {"taken_away", alpha, 401, "", "/again/x", key_change::taken},
        {"other_key_of_the_tenant_remains", "Authorization: Bearer key-alpha-2\r\n", 200, "alpha", "/again/x",
         key_change::taken},
        {"moved", alpha, 200, "beta", "/again/x", key_change::moved},
        {"not_moved", "Authorization: Bearer key-alpha-2\r\n", 200, "alpha", "/again/x", key_change::moved},
        {"added", "Authorization: Bearer key-gamma-1\r\n", 200, "gamma", "/again/x", key_change::added},
        {"not_yet_added", "Authorization: Bearer key-gamma-1\r\n", 401},
        {"tenant_removed", alpha, 401, "", "/again/x", key_change::tenant_removed},
        {"all_tenants_removed", "", 200, "", "/again/x", key_change::tenants_removed},
        {"replaced_old", alpha, 401, "", "/again/x", key_change::replaced},
        {"replaced_new", "Authorization: Bearer key-gamma-1\r\n", 200, "alpha", "/again/x",
         key_change::replaced},
        {"public_without_key", "", 200, "", "/open/x"},
        {"public_with_known_key", alpha, 200, "alpha", "/open/x"},
        {"public_with_unknown_key", "Authorization: Bearer stranger\r\n", 200, "", "/open/x"},
        {"public_with_basic", "Authorization: Basic stranger\r\n", 200, "", "/open/x"},
        {"public_with_two_fields", alpha + beta, 200, "", "/open/x"},
        {"public_with_key_taken_away", alpha, 200, "", "/open/x", key_change::taken},
        {"public_with_key_moved", alpha, 200, "beta", "/open/x", key_change::moved},
        {"public_with_sent_tenant", "X-Tenant: alpha\r\n", 200, "", "/open/x"},
        {"public_with_sent_tenant_and_unknown_key", "X-Tenant: alpha\r\nAuthorization: Bearer stranger\r\n",
         200, "", "/open/x"},
        {"sent_tenant_without_key", "X-Tenant: alpha\r\n", 401},
        {"sent_tenant_same", "X-Tenant: alpha\r\n" + alpha, 200, "alpha"},
        {"sent_tenant_other", "X-Tenant: beta\r\n" + alpha, 200, "alpha"},
        {"sent_tenant_after_the_key", alpha + "X-Tenant: beta\r\n", 200, "alpha"},
        {"sent_tenant_in_lower_case", "x-tenant: beta\r\n" + alpha, 200, "alpha"},
        {"sent_tenant_in_upper_case", "X-TENANT: beta\r\n" + alpha, 200, "alpha"},
        {"sent_tenant_twice", "X-Tenant: beta\r\nX-Tenant: gamma\r\n" + alpha, 200, "alpha"},
        {"sent_tenant_in_three_cases", "X-Tenant: a\r\nx-tenant: b\r\nX-TENANT: c\r\n" + alpha, 200, "alpha"},
        {"sent_tenant_empty", "X-Tenant:\r\n" + alpha, 200, "alpha"},
        {"sent_tenant_list", "X-Tenant: alpha, beta\r\n" + alpha, 200, "alpha"},
        {"tenant_named_in_connection", "Connection: X-Tenant\r\n" + alpha, 200, "alpha"},
        {"tenant_sent_and_named_in_connection", "Connection: x-tenant\r\nX-Tenant: beta\r\n" + alpha, 200,
         "alpha"},
        {"key_named_in_connection", "Connection: Authorization\r\n" + alpha, 200, "alpha"},
        {"both_named_in_two_connection_fields",
         "Connection: keep-alive\r\nConnection: X-Tenant, Authorization\r\nX-Tenant: beta\r\n" + alpha, 200,
         "alpha"},
        {"retry", alpha, 200, "alpha", "/again/x", key_change::none, server_trouble::first_sheds},
        {"retry_not_idempotent", alpha, 200, "alpha", "/once/x", key_change::none,
         server_trouble::first_sheds},
        {"retry_with_sent_tenant", "X-Tenant: beta\r\n" + alpha, 200, "alpha", "/again/x", key_change::none,
         server_trouble::first_sheds},
        {"retry_on_public_route", "X-Tenant: beta\r\n", 200, "", "/open/x", key_change::none,
         server_trouble::first_sheds},
        {"hedge", alpha, 200, "alpha", "/again/x", key_change::none, server_trouble::first_hangs},
        {"hedge_with_sent_tenant", "X-Tenant: beta\r\n" + alpha, 200, "alpha", "/again/x", key_change::none,
         server_trouble::first_hangs},
        {"hedge_on_public_route", "X-Tenant: beta\r\n" + alpha, 200, "alpha", "/open/x", key_change::none,
         server_trouble::first_hangs},
        {"upload", alpha, 200, "alpha", "/upload/x", key_change::none, server_trouble::none, upload},
        {"upload_with_sent_tenant", "X-Tenant: beta\r\n" + alpha, 200, "alpha", "/upload/x", key_change::none,
         server_trouble::none, upload},
        {"upload_retry", alpha, 200, "alpha", "/upload/x", key_change::none, server_trouble::first_sheds,
         upload},
        {"upload_with_unknown_key", "Authorization: Bearer stranger\r\n", 401, "", "/upload/x",
         key_change::none, server_trouble::none, upload},
        {"upload_without_key", "", 401, "", "/upload/x", key_change::none, server_trouble::none, upload},
    };
    return rows;
}

INSTANTIATE_TEST_SUITE_P(requests, tenant_key, testing::ValuesIn(key_cases()),
                         [](const auto& it) { return it.param.name; });

struct tenant_change : tenant_fixture {
    /// Starts a gateway whose only server is full, so that requests wait.
    gateway_process& start_full() {
        put_resources({tenant("alpha", {alpha_key}, 7), tenant("beta", {beta_key})});
        add_target("i-0").load = "4,9,4,100";
        auto& gateway = open_gateway("vm-1");
        EXPECT_TRUE(wait_until_ready(gateway));
        return gateway;
    }

    /// Sends a request and waits until it is in the queue.
    std::unique_ptr<raw_socket> send_waiting(gateway_process& gateway,
                                             const std::string& target = "/again/x") {
        auto connection = connect_caller(gateway);
        connection->send_some(head_of("GET", target, "id-1", alpha));
        EXPECT_TRUE(loop.run_until([&] { return !waiting(gateway).empty(); }, 500ms));
        return connection;
    }

    static const wait_queue& waiting(gateway_process& gateway) {
        return gateway.board().services.at(service_id("desk")).waiting;
    }
};

// Guards against a priority of the tenant that does not reach the queue.
TEST_F(tenant_change, priority_of_the_tenant_replaces_that_of_the_route) {
    auto& gateway = start_full();
    const auto connection = send_waiting(gateway);
    ASSERT_EQ(1, waiting(gateway).size());
    EXPECT_EQ(7, waiting(gateway).front().rank);
}

// Guards against requests that run with a key that was taken away while they waited.
TEST_F(tenant_change, waiting_request_whose_key_is_taken_away_is_refused) {
    auto& gateway = start_full();
    const auto connection = send_waiting(gateway);
    put_resources({tenant("alpha", {alpha_spare_key}), tenant("beta", {beta_key})});
    ASSERT_TRUE(wait_for_version(gateway));
    targets.front()->load = "0,0,4,100";
    EXPECT_EQ(401, wait_for_status(*connection));
    EXPECT_EQ(0, targets.front()->arrivals.size());
}

// Guards against requests that run for the former tenant of a key that was moved while they waited.
TEST_F(tenant_change, waiting_request_whose_key_is_moved_does_not_run_for_the_former_tenant) {
    auto& gateway = start_full();
    const auto connection = send_waiting(gateway);
    put_resources({tenant("alpha", {alpha_spare_key}), tenant("beta", {beta_key, alpha_key})});
    ASSERT_TRUE(wait_for_version(gateway));
    targets.front()->load = "0,0,4,100";
    EXPECT_EQ(503, wait_for_status(*connection));
    EXPECT_NE(std::string::npos, connection->received.find("Retry-After:"));
    EXPECT_EQ(0, targets.front()->arrivals.size());
}

// Guards against a refusal of waiting requests that a change does not concern.
TEST_F(tenant_change, waiting_request_whose_key_remains_goes_on_waiting) {
    auto& gateway = start_full();
    const auto connection = send_waiting(gateway);
    put_resources({tenant("alpha", {alpha_key}), tenant("beta", {})});
    targets.front()->load = "0,0,4,100";
    EXPECT_EQ(200, wait_for_status(*connection));
}

// Guards against an upload that is admitted, loses its key while its body is read, and runs.
TEST_F(tenant_change, upload_whose_key_is_taken_away_before_its_body_ends_is_refused) {
    auto& gateway = start_full();
    const auto connection = connect_caller(gateway);
    connection->send_some(head_of("POST", "/upload/x", "id-1", alpha + "Content-Length: 8\r\n") + "half");
    ASSERT_TRUE(loop.run_until([&] { return !gateway.board().requests.empty(); }));
    loop.run_for(20ms);
    put_resources({tenant("beta", {beta_key})});
    ASSERT_TRUE(wait_for_version(gateway));
    targets.front()->load = "0,0,4,100";
    connection->send_some("half");
    EXPECT_EQ(401, wait_for_status(*connection));
    EXPECT_EQ(0, targets.front()->arrivals.size());
}

// Guards against a change that ends an attempt in progress, which may have run.
TEST_F(tenant_change, request_in_progress_continues_without_its_key) {
    auto& gateway = start_full();
    auto& target = *targets.front();
    target.load = "0,0,4,100";
    target.work_time = 300ms;
    const auto connection = connect_caller(gateway);
    connection->send_some(head_of("GET", "/once/x", "id-1", alpha));
    ASSERT_TRUE(loop.run_until([&] { return !target.ran.empty(); }));
    put_resources({tenant("beta", {beta_key})});
    EXPECT_EQ(200, wait_for_status(*connection));
    EXPECT_EQ(1, target.ran.size());
}

struct strict_revocation : tenant_fixture {
    static constexpr duration bound = 2s;

    gateway_process& start_strict() {
        bounds.revocation_limit = bound;
        put_resources({tenant("alpha", {alpha_key})});
        add_target("i-0");
        auto& gateway = open_gateway("vm-1");
        EXPECT_TRUE(wait_until_ready(gateway));
        EXPECT_TRUE(loop.run_until([&] { return ask(gateway, "/again/x", alpha) == 200; }, 5s));
        return gateway;
    }

    gateway_process& start_unproven() {
        auto& gateway = start_strict();
        store.behaviour = fake_object_store::manner::silent;
        EXPECT_TRUE(loop.run_until([&] { return !may_serve_keys(gateway.board(), boot_clock::now()); }, 10s));
        targets.front()->received_heads.clear();
        return gateway;
    }
};

// Guards against a VM without peers that reads the store and still counts as out of date.
TEST_F(strict_revocation, single_vm_that_reads_the_store_serves_keys) {
    auto& gateway = start_strict();
    const auto end = boot_clock::now() + 2 * bound;
    while (boot_clock::now() < end) {
        ASSERT_EQ(200, ask(gateway, "/again/x", alpha));
        loop.run_for(50ms);
    }
    EXPECT_EQ(200, readiness(gateway));
}

struct unproven_case {
    const char* name;
    std::string target;
    std::string fields;
    unsigned status;
};

struct unproven_request : strict_revocation, testing::WithParamInterface<unproven_case> {};

// Guards against a VM that serves keys, or names a tenant, by a configuration that may be out of date, and
// against one that calls a key unknown although it may have been added.
TEST_P(unproven_request, is_refused_if_it_has_a_key) {
    auto& gateway = start_unproven();
    EXPECT_EQ(503, readiness(gateway));
    EXPECT_EQ(GetParam().status, ask(gateway, GetParam().target, GetParam().fields, "id-2"));
    EXPECT_EQ(GetParam().status == 503, last_response.find("Retry-After:") != std::string::npos);
    EXPECT_EQ(GetParam().status == 200 ? 1 : 0, targets.front()->received_heads.size());
    for (const auto& it : targets.front()->received_heads) {
        EXPECT_EQ(std::vector<std::string>{}, values_of(it, "X-Tenant"));
    }
}

INSTANTIATE_TEST_SUITE_P(
    requests, unproven_request,
    testing::Values(unproven_case{"known_key", "/again/x", alpha, 503},
                    unproven_case{"unknown_key", "/again/x", "Authorization: Bearer stranger\r\n", 503},
                    unproven_case{"no_key", "/again/x", "", 503},
                    unproven_case{"public_with_known_key", "/open/x", alpha, 503},
                    unproven_case{"public_with_unknown_key", "/open/x", "Authorization: Bearer stranger\r\n",
                                  503},
                    unproven_case{"public_without_key", "/open/x", "", 200},
                    unproven_case{"public_with_basic", "/open/x", "Authorization: Basic abc\r\n", 200}),
    [](const auto& it) { return it.param.name; });

// Guards against a VM that stays out of service after the store has answered again.
TEST_F(strict_revocation, vm_serves_keys_again_once_its_state_is_proven) {
    auto& gateway = start_unproven();
    store.behaviour = fake_object_store::manner::serves;
    EXPECT_TRUE(loop.run_until([&] { return may_serve_keys(gateway.board(), boot_clock::now()); }, 10s));
    EXPECT_EQ(200, ask(gateway, "/again/x", alpha, "id-3"));
    EXPECT_EQ(200, readiness(gateway));
}

// Guards against short requests that follow each other and put the periodic work off for as long as they
// come.
TEST_F(tenant_change, requests_one_after_the_other_do_not_stop_the_periodic_work) {
    auto& gateway = start_full();
    targets.front()->load = "0,0,4,100";
    ASSERT_TRUE(loop.run_until([&] { return gateway.board().medians_updated_at != time_point{}; }));
    const auto before = gateway.board().medians_updated_at;
    EXPECT_TRUE(loop.run_until(
        [&] { return ask(gateway, "/open/x", ""), gateway.board().medians_updated_at != before; }, 10s));
}

// Guards against keys that anyone who may read the metrics can fetch.
TEST_F(tenant_change, metrics_listener_does_not_serve_the_configuration) {
    auto& gateway = start_full();
    const auto& answer = get(gateway.board().conf.metrics_address, "/peer/routing");
    const auto& metrics = get(gateway.board().conf.metrics_address, "/metrics");
    EXPECT_NE(std::string::npos, metrics.body.find("gateway_routing_version"));
    EXPECT_EQ(404, answer.status);
}

} // namespace
} // namespace endivelever::http_test
