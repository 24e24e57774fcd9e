#include "entry_fixture.hpp"

#include <nlohmann/json.hpp>

namespace endivelever::entry_test {
namespace {

// Guards against a call path that loses the call, the response or the headers of section 7.
TEST(entry, serves_a_call_through_admission_choice_and_dispatch) {
    entry_world world;
    world.feed();
    auto request = world.request("GET", "/status/1?x=2");
    request.headers = {{"traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}};
    const auto reply = world.send(request);
    EXPECT_EQ(200U, reply.result.status) << reply.body;
    EXPECT_EQ("done", outcome_of(reply));
    ASSERT_NE(nullptr, find_header(reply.headers, "Endivelever-Vm"));
    EXPECT_EQ("vm-01", *find_header(reply.headers, "Endivelever-Vm"));
    ASSERT_NE(nullptr, find_header(reply.headers, "traceparent"));
    EXPECT_TRUE(
        find_header(reply.headers, "traceparent")->starts_with("00-4bf92f3577b34da6a3ce929d0e0e4736-"));
    EXPECT_EQ(nullptr, find_header(reply.headers, "Endivelever-Load"));
    EXPECT_EQ(1U, world.servers->ledger().at("/status/1?x=2"));
    const auto spans = world.admin("/traces/4bf92f3577b34da6a3ce929d0e0e4736");
    EXPECT_EQ(2U, nlohmann::json::parse(spans.body).size()) << spans.body;
}

struct refusal_case {
    const char* name;
    const char* method;
    const char* target;
    http_headers headers;
    std::size_t body;
    bool fed;
    bool leased;
    unsigned status;
    const char* error;
};

class entry_refusal : public testing::TestWithParam<refusal_case> {};

// Guards against refusals without outcome, and against "not-run" for a call that ran.
TEST_P(entry_refusal, states_status_outcome_and_reason) {
    const auto& param = GetParam();
    entry_world world;
    if (param.fed) {
        world.feed(param.leased ? duration(60s) : duration::zero());
    }
    auto request = world.request(param.method, param.target);
    request.headers = param.headers;
    request.has_body = param.body > 0;
    request.body = std::string(param.body, 'x');
    const auto reply = world.send(request);
    EXPECT_EQ(param.status, reply.result.status);
    EXPECT_EQ("not-run", outcome_of(reply));
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    ASSERT_TRUE(body.is_object()) << reply.body;
    EXPECT_EQ("not-run", body.at("outcome"));
    EXPECT_TRUE(body.at("error").get<std::string>().starts_with(param.error)) << reply.body;
    EXPECT_TRUE(world.servers->ledger().empty());
    EXPECT_TRUE(world.board().calls.empty());
}

INSTANTIATE_TEST_SUITE_P(
    reasons, entry_refusal,
    testing::Values(refusal_case{"unknown_path", "GET", "/other/", {}, 0, true, true, 404, "[entry.1]"},
                    refusal_case{"no_call_id", "POST", "/confirm/1", {}, 3, true, true, 400, "[entry.2]"},
                    refusal_case{"invalid_call_id",
                                 "POST",
                                 "/confirm/1",
                                 {{"Idempotency-Key", "no-prefix"}},
                                 3,
                                 true,
                                 true,
                                 400,
                                 "[entry.6]"},
                    refusal_case{
                        "body_too_large", "POST", "/status/1", {}, 50'000'001, true, true, 413, "[entry.3]"},
                    refusal_case{"no_preset", "GET", "/status/1", {}, 0, false, false, 503, "[entry.4]"},
                    refusal_case{"no_lease", "GET", "/status/1", {}, 0, true, false, 503, "[entry.4]"},
                    refusal_case{"deadline_passed",
                                 "GET",
                                 "/status/1",
                                 {{"Endivelever-Deadline-Ms", "0"}},
                                 0,
                                 true,
                                 true,
                                 504,
                                 "[entry.1"}),
    [](const auto& it) { return it.param.name; });

// Guards against an entry that goes on serving after its lease expired.
TEST(entry, refuses_after_the_lease_expired) {
    entry_world world;
    world.feed();
    EXPECT_EQ(200U, world.send(world.request("GET", "/status/1")).result.status);
    world.control.send(lease_message{0});
    ASSERT_TRUE(world.loop.run_until([&] { return world.board().lease_until <= boot_clock::now(); }));
    const auto reply = world.send(world.request("GET", "/status/2"));
    EXPECT_EQ(503U, reply.result.status);
    EXPECT_EQ("not-run", outcome_of(reply));
    EXPECT_NE(nullptr, find_header(reply.headers, "Retry-After-Ms"));
}

struct large_case {
    const char* name;
    const char* method;
    std::size_t request;
    std::size_t response;
};

class entry_body : public testing::TestWithParam<large_case> {};

// Guards against cut or changed bodies on the way through the entry.
TEST_P(entry_body, passes_whole_both_ways) {
    entry_world world;
    echo_server echo(world.loop.get());
    std::string taken;
    echo.answer = [&](http_exchange& it, const std::string& body) {
        if (it.target() != "/status/big") {
            it.respond(404, {}, ""); // probe
            return;
        }
        taken = body;
        it.respond(200, {{"Content-Type", "text/plain"}}, std::string(GetParam().response, 'r'));
    };
    world.feed();
    vm_list list;
    list.servers = {{.id = server_id("echo"),
                     .service = service_id("status-lookup"),
                     .failure_domain = failure_domain("kr-a"),
                     .address = echo.address()}};
    world.control.send(document_message{vm_list_key, document_version{9}, to_json(list)});
    ASSERT_TRUE(world.loop.run_until([&] { return world.board().services[0].pool.servers.size() == 1; }));
    auto request = world.request(GetParam().method, "/status/big");
    request.has_body = GetParam().request > 0;
    request.body = std::string(GetParam().request, 'q');
    const auto reply = world.send(request);
    EXPECT_EQ(200U, reply.result.status) << reply.body.substr(0, 200) << reply.result.detail;
    EXPECT_TRUE(reply.body ==
                (std::string(GetParam().method) == "HEAD" ? "" : std::string(GetParam().response, 'r')));
    EXPECT_TRUE(taken == request.body);
    ASSERT_NE(nullptr, find_header(reply.headers, "Content-Length"));
    EXPECT_EQ(std::to_string(GetParam().response), *find_header(reply.headers, "Content-Length"));
}

INSTANTIATE_TEST_SUITE_P(sizes, entry_body,
                         testing::Values(large_case{"none", "GET", 0, 0}, large_case{"small", "POST", 10, 20},
                                         large_case{"held", "POST", 65'535, 65'536},
                                         large_case{"just_streamed", "POST", 65'537, 65'537},
                                         large_case{"large", "PUT", 20'000'000, 20'000'000},
                                         large_case{"head", "HEAD", 0, 1000}),
                         [](const auto& it) { return it.param.name; });

// Guards against a truncated response of a server that reaches the caller as complete.
TEST(entry, truncated_large_response_cuts_the_caller_off) {
    entry_world world;
    echo_server echo(world.loop.get());
    echo.answer = [&](http_exchange& it, const std::string& /*body*/) {
        it.begin_response(200, {}, 200'000);
        it.write(std::string(100'000, 'r'));
        it.finish();
    };
    world.feed();
    vm_list list;
    list.servers = {{.id = server_id("echo"),
                     .service = service_id("status-lookup"),
                     .failure_domain = failure_domain("kr-a"),
                     .address = echo.address()}};
    world.control.send(document_message{vm_list_key, document_version{9}, to_json(list)});
    ASSERT_TRUE(world.loop.run_until([&] { return world.board().services[0].pool.servers.size() == 1; }));
    const auto reply = world.send(world.request("GET", "/status/cut"));
    EXPECT_EQ(transfer_failure::broken, reply.result.failure);
    EXPECT_TRUE(world.loop.run_until([&] { return world.board().calls.empty(); }));
}

// Guards against addresses that name leaving entries or no call id prefix.
TEST(entry, names_serving_entries_with_their_call_id_prefixes) {
    entry_world world(2);
    world.feed();
    auto table = world.members();
    table.members[1].state = member_state::leaving;
    const auto both =
        nlohmann::json::parse(world.send(world.request("GET", "/.well-known/endivelever/addresses")).body);
    EXPECT_EQ(2U, both.at("addresses").size());
    EXPECT_EQ(7, both.at("preset_version"));
    EXPECT_EQ(10'000, both.at("keep_ms"));
    world.control.send(table);
    ASSERT_TRUE(
        world.loop.run_until([&] { return world.board().members[1].state == member_state::leaving; }));
    const auto one =
        nlohmann::json::parse(world.send(world.request("GET", "/.well-known/endivelever/addresses")).body);
    ASSERT_EQ(1U, one.at("addresses").size());
    EXPECT_EQ(world.board().conf.caller_address.text, one.at("addresses")[0].at("address"));
    EXPECT_TRUE(world.id("x").starts_with(one.at("addresses")[0].at("call_id_prefix").get<std::string>()));
}

// Guards against callers that are sent to an entry which refuses their calls: it has no lease yet.
TEST(entry, without_a_lease_names_only_other_entries) {
    entry_world world(2);
    world.feed();
    world.control.send(lease_message{0});
    ASSERT_TRUE(world.loop.run_until([&] { return world.board().lease_until <= boot_clock::now(); }));
    const auto reply = world.send(world.request("GET", "/.well-known/endivelever/addresses"));
    EXPECT_EQ(reply.body.find(world.board().conf.caller_address.text), std::string::npos) << reply.body;
}

// Guards against retries that multiply over hops: a call that an earlier hop retries is not retried again.
TEST(entry, call_that_an_earlier_hop_retries_is_not_retried) {
    entry_world world(2);
    world.feed();
    for (const auto* server : {"status-lookup-0", "status-lookup-1"}) {
        if (auto* it = world.servers->find(server_id(server))) {
            it->behaviour.shed_ratio = 1.0;
        }
    }
    auto request = world.request("GET", "/status/1");
    request.headers.push_back({"Endivelever-Retries", "1"});
    const auto reply = world.send(request);
    EXPECT_EQ("not-run", outcome_of(reply));
    EXPECT_EQ(0U, world.board().counters.counters.count("retries_total{service=\"status-lookup\"}"));
}

// Guards against work for callers who have left.
TEST(entry, cancels_the_attempt_when_the_caller_leaves) {
    entry_world world(1, 5s);
    world.feed();
    auto caller = raw_socket::connect_to(world.board().callers->port());
    caller.send_some("GET /status/1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(world.loop.run_until([&] { return !world.servers->ledger().empty(); }));
    caller.close();
    EXPECT_TRUE(world.loop.run_until([&] { return world.board().calls.empty(); }));
    const auto& kind = world.board().services[0].admission.kinds[0];
    EXPECT_EQ(0U, kind.in_progress);
}

// Guards against a planned stop that interrupts a call or takes new connections.
TEST(entry, planned_stop_completes_calls_in_progress) {
    entry_world world(1, 300ms);
    world.feed();
    std::optional<http_reply> reply;
    fetch(*world.caller, world.request("GET", "/status/1"), byte_count{100'000},
          [&](const http_reply& it) { reply = it; });
    ASSERT_TRUE(world.loop.run_until([&] { return !world.servers->ledger().empty(); }));
    world.entries[0]->stop();
    ASSERT_TRUE(world.loop.run_until([&] { return reply.has_value(); }));
    EXPECT_EQ(200U, reply->result.status);
    EXPECT_EQ("done", outcome_of(*reply));
    const auto late = world.send(world.request("GET", "/status/2"));
    EXPECT_EQ(transfer_failure::connect, late.result.failure);
    EXPECT_EQ(member_state::leaving, world.control.reports.back().state);
}

// Guards against metrics, state or traces that cannot be read by people and tools.
TEST(entry, admin_address_serves_metrics_state_and_refuses_others) {
    entry_world world;
    world.feed();
    world.send(world.request("GET", "/status/1"));
    const auto metrics = world.admin("/metrics");
    EXPECT_NE(std::string::npos,
              metrics.body.find("endivelever_calls_total{kind=\"job-status\",outcome=\"done\"} 1"))
        << metrics.body;
    const auto state = nlohmann::json::parse(world.admin("/state").body);
    EXPECT_EQ("ordinary", state.at("preset"));
    EXPECT_TRUE(state.at("serving").get<bool>());
    EXPECT_EQ(2U, state.at("services").size());
    EXPECT_EQ(404U, world.admin("/other").result.status);
    EXPECT_EQ(400U, world.admin("/traces/xyz").result.status);
}

// Guards against an entry that stays without feed when its own control is gone.
TEST(entry, subscribes_to_another_control_when_its_own_is_gone) {
    test_loop loop;
    control_double other(loop.get());
    other.greeting = {document_message{in_force_key, document_version{7}, to_json(ordinary_preset())}};
    auto conf = entry_settings("vm-01");
    {
        const raw_listener closed_later;
        conf.feed_address = closed_later.address();
    }
    conf.seeds = {other.address()};
    const auto entry = std::move(*entry_process::open(loop.get(), std::move(conf)));
    EXPECT_TRUE(loop.run_until([&] { return entry->board().in_force.has_value(); }));
    ASSERT_TRUE(
        loop.run_until([&] { return !other.reports.empty() && other.reports.back().applied.value == 7; }));
    EXPECT_EQ("vm-01", other.hello->vm.text);
}

} // namespace
} // namespace endivelever::entry_test
