#include "contract/http_fixture.hpp"
#include "endivelever/control/control_process.hpp"
#include "endivelever/decide/document_table.hpp"
#include "testbed/fake_platform.hpp"
#include "testbed/forwarder.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace endivelever::http_test {
namespace {

using json = nlohmann::json;

std::string example(const std::string& name) {
    std::ifstream file(ENDIVELEVER_SOURCE_DIR "/examples/hanbit/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Entry process that applies what its control sends and reports it.
struct fake_entry {
    link_counts counts;
    std::unique_ptr<frame_link> link;
    document_version applied;
    std::optional<lease_message> lease;
    std::size_t members = 0;
    member_state state = member_state::live;
    vm_id vm;

    fake_entry(struct ev_loop* loop, const settings& config) : vm(config.vm) {
        frame_link::handlers on;
        on.on_ready = [this, config] {
            link->send(hello_message{vm, process_role::entry, {1}, config.failure_domain, "", "", ""});
            report();
        };
        on.on_message = [this](const message& value) { take(value); };
        on.on_closed = [](const std::string&) {};
        link = frame_link::connect(loop, config.feed_address, config.cluster_key, std::move(on), counts);
    }
    void report() { link->send(entry_report_message{{1}, 1, applied, state, 0, {}, {}}); }
    void take(const message& value) {
        if (const auto* document = std::get_if<document_message>(&value)) {
            applied = document->key == in_force_key ? document->version : applied;
        } else if (const auto* permission = std::get_if<lease_message>(&value)) {
            lease = *permission;
        } else if (const auto* table = std::get_if<member_table_message>(&value)) {
            members = table->members.size();
        }
        report();
    }
};

/// Three controls with their entries and a platform, all on one loop.
struct world {
    test_loop loop;
    std::unique_ptr<testbed::fake_platform> platform = *testbed::fake_platform::open(loop.get(), loopback(0));
    std::vector<testbed::reserved_port> ports{9};
    std::vector<settings> configs;
    std::vector<std::unique_ptr<control_process>> controls;
    std::vector<std::unique_ptr<fake_entry>> entries;
    http_client client{loop.get(), 0};

    world() {
        vm_list list;
        for (std::size_t n = 0; n < 3; ++n) {
            auto config = *parse_settings(example("settings.json"), "example");
            config.vm = vm_id("vm-0" + std::to_string(n + 1));
            config.failure_domain = failure_domain("d" + std::to_string(n / 2));
            config.feed_address = ports[n].address();
            config.operator_address = ports[n + 3].address();
            config.platform_address = loopback(platform->port());
            config.seeds = {ports[0].address()};
            list.entries.push_back({config.vm, config.failure_domain, ports[n + 6].address(),
                                    config.feed_address, ports[n + 6].address(), false});
            configs.push_back(std::move(config));
        }
        platform->set_vms(to_json(list));
        for (const char* name : {"ordinary", "peak", "maintenance"}) {
            platform->set_object(definition_prefix + name, example(std::string("preset-") + name + ".json"));
        }
    }
    void start(std::size_t n) {
        controls.resize(std::max(controls.size(), n + 1));
        entries.resize(controls.size());
        controls[n] = *control_process::open(loop.get(), configs[n]);
        entries[n] = std::make_unique<fake_entry>(loop.get(), configs[n]);
    }
    void start_all() {
        for (std::size_t n = 0; n < 3; ++n) {
            start(n);
        }
        ASSERT_TRUE(loop.run_until([this] { return entries[2]->members == 3 && entries[0]->members == 3; }));
    }
    struct reply {
        unsigned status = 0;
        json body;
        bool done = false;
    };
    std::shared_ptr<reply> begin(std::size_t n, const std::string& method, const std::string& target,
                                 const json& body, const std::string& key = "example-only-day-shift-key") {
        http_request request;
        request.method = method;
        request.address = configs[n].operator_address;
        request.target = target;
        request.headers = {{"Authorization", "Bearer " + key}};
        request.has_body = !body.is_null();
        request.body = body.is_null() ? "" : body.dump();
        request.content_length = request.body.size();
        request.timeout = 20s;
        auto result = std::make_shared<reply>();
        fetch(client, std::move(request), byte_count{1U << 20U}, [result](const http_reply& it) {
            *result = {it.result.status, json::parse(it.body, nullptr, false), true};
        });
        return result;
    }
    reply call(std::size_t n, const std::string& method, const std::string& target,
               const json& body = nullptr, const std::string& key = "example-only-day-shift-key") {
        const auto result = begin(n, method, target, body, key);
        EXPECT_TRUE(loop.run_until([&] { return result->done; }));
        return *result;
    }
    static json switch_to(const char* name, std::uint64_t expect, const char* operation) {
        return {{"name", name}, {"expect_version", expect}, {"operation_id", operation}};
    }
    void put_in_force(const char* name) {
        const auto end = call(0, "POST", "/v1/preset/switch", switch_to(name, 0, "setup"));
        ASSERT_EQ(end.status, 200U) << end.body.dump();
    }
    bool applied_everywhere(std::uint64_t version) {
        return loop.run_until([&] {
            return std::all_of(entries.begin(), entries.end(),
                               [&](const auto& it) { return it->applied.value == version; });
        });
    }
};

constexpr const char* founder_key = "example-only-founder-key";

// Guards against a switch that reaches some entries only, and a status that counts entries it has not heard
// of.
TEST(control, a_switch_is_in_force_on_all_entries_and_the_status_counts_them) {
    world it;
    it.start_all();
    it.loop.run_for(600ms);
    EXPECT_EQ(it.entries[0]->lease->valid_ms, 0U) << "a member without preset grants no lease";
    it.put_in_force("ordinary");
    ASSERT_TRUE(it.applied_everywhere(1));
    json status;
    EXPECT_TRUE(it.loop.run_until([&] {
        status = it.call(2, "GET", "/v1/status").body;
        return status["in_force_on"] == 3;
    })) << status.dump();
    EXPECT_EQ(status["entries"], 3);
    EXPECT_EQ(status["preset"]["name"], "ordinary");
    EXPECT_TRUE(it.loop.run_until([&] { return it.entries[2]->lease->valid_ms > 0; }));
    it.entries[1]->link->close();
    EXPECT_TRUE(it.loop.run_until([&] {
        status = it.call(2, "GET", "/v1/status").body;
        return status["in_force_on"] == 2 && status["lagging"][0]["vm"] == "vm-02";
    })) << status.dump();
}

// Guards against a switch that waits for the next heartbeat: this peer never sends one.
TEST(control, a_new_document_is_pushed_to_controls_at_once) {
    world it;
    it.start_all();
    link_counts counts;
    document_version pushed;
    std::unique_ptr<frame_link> peer;
    frame_link::handlers on;
    on.on_ready = [&] {
        peer->send(
            hello_message{vm_id("vm-09"), process_role::control, {1}, failure_domain("d9"), "", "", ""});
    };
    on.on_message = [&](const message& value) {
        const auto* document = std::get_if<document_message>(&value);
        pushed = document != nullptr && document->key == in_force_key ? document->version : pushed;
    };
    on.on_closed = [](const std::string&) {};
    peer = frame_link::connect(it.loop.get(), it.configs[1].feed_address, it.configs[1].cluster_key,
                               std::move(on), counts);
    ASSERT_TRUE(it.loop.run_until([&] { return counts.frames_received > 1; }));
    it.put_in_force("ordinary");
    EXPECT_TRUE(it.loop.run_until([&] { return pushed.value == 1; }));
}

// Guards against two operators who both believe that their preset is in force.
TEST(control, one_of_two_racing_operators_wins_and_the_other_is_told_who) {
    world it;
    it.start_all();
    it.put_in_force("ordinary");
    ASSERT_TRUE(it.applied_everywhere(1));
    const auto day = it.begin(0, "POST", "/v1/preset/switch", world::switch_to("peak", 1, "by-day"));
    const auto night =
        it.begin(2, "POST", "/v1/preset/switch", world::switch_to("maintenance", 1, "by-night"),
                 "example-only-night-shift-key");
    ASSERT_TRUE(it.loop.run_until([&] { return day->done && night->done; }));
    ASSERT_EQ(day->status + night->status, 200U + 409U) << day->body.dump() << night->body.dump();
    const bool day_won = day->status == 200;
    const auto& loser = day_won ? night : day;
    EXPECT_EQ(loser->body["outcome"], "not-run");
    EXPECT_EQ(loser->body["won_by"], day_won ? "day-shift" : "night-shift");
    EXPECT_EQ(loser->body["in_force"]["name"], day_won ? "peak" : "maintenance");
    EXPECT_EQ(loser->body["in_force"]["version"], 2);
    EXPECT_TRUE(it.applied_everywhere(2));
    const auto audit = it.call(day_won ? 2 : 0, "GET", "/v1/audit").body["records"];
    EXPECT_EQ(audit[0]["who"], day_won ? "night-shift" : "day-shift");
    EXPECT_NE(audit[0]["outcome"].get<std::string>().find("refused"), std::string::npos);
}

// Guards against a change that is reported as failed although the store has taken it.
TEST(control, a_lost_answer_is_read_back) {
    world it;
    it.start_all();
    it.put_in_force("ordinary");
    it.platform->apply_fault({testbed::fault_mode::lost_answer, 0ms, "/v1/objects/preset/in-force", 1});
    const auto end = it.call(1, "POST", "/v1/preset/switch", world::switch_to("peak", 1, "lost"));
    EXPECT_EQ(end.status, 200U) << end.body.dump();
    EXPECT_EQ(end.body["in_force"]["operation_id"], "lost");
    EXPECT_TRUE(it.applied_everywhere(2));
}

// Guards against an operator who replaces what a founder has pinned, and a pin that a switch removes.
TEST(control, a_pin_holds_until_a_founder_releases_it) {
    world it;
    it.start_all();
    it.put_in_force("ordinary");
    EXPECT_EQ(it.call(0, "POST", "/v1/preset/pin", {{"operation_id", "p0"}}).status, 403U);
    EXPECT_EQ(it.call(0, "POST", "/v1/preset/pin", {{"operation_id", "p1"}}, founder_key).status, 200U);
    EXPECT_EQ(it.call(0, "POST", "/v1/preset/switch", world::switch_to("peak", 2, "s1")).status, 403U);
    EXPECT_EQ(it.call(0, "POST", "/v1/preset/switch", world::switch_to("peak", 2, "s2"), founder_key).status,
              200U);
    EXPECT_EQ(it.call(0, "POST", "/v1/preset/switch", world::switch_to("ordinary", 3, "s3")).status, 403U);
    EXPECT_EQ(it.call(0, "POST", "/v1/preset/release", {{"operation_id", "r1"}}, founder_key).status, 200U);
    EXPECT_EQ(it.call(0, "POST", "/v1/preset/switch", world::switch_to("ordinary", 4, "s4")).status, 200U);
}

// Guards against a restarted VM that waits for the platform, and a store outage that stops the others.
TEST(control, learns_documents_from_peers_and_keeps_leases_while_the_platform_is_down) {
    world it;
    it.start_all();
    it.put_in_force("ordinary");
    ASSERT_TRUE(it.applied_everywhere(1));
    it.platform->apply_fault({testbed::fault_mode::outage, 0ms, "", 0});
    it.entries[2].reset();
    it.controls[2].reset();
    it.start(2);
    EXPECT_TRUE(it.loop.run_until([&] { return it.entries[2]->applied.value == 1 && it.entries[2]->lease; }));
    it.loop.run_for(5s); // longer than the currency limit
    EXPECT_GT(it.entries[0]->lease->valid_ms, 2000U);
    EXPECT_GT(it.entries[2]->lease->valid_ms, 2000U);
    EXPECT_EQ(it.call(0, "POST", "/v1/preset/switch", world::switch_to("peak", 1, "down")).status, 503U);
}

// Guards against a switch that is accepted on the small side of a partition and misses the others.
TEST(control, refuses_a_switch_without_contact_to_a_majority) {
    world it;
    it.start(0);
    ASSERT_TRUE(it.loop.run_until([&] { return it.controls[0]->board().listed_live.size() == 3; }));
    const auto end = it.call(0, "POST", "/v1/preset/switch", world::switch_to("ordinary", 0, "alone"));
    EXPECT_EQ(end.status, 503U);
    EXPECT_EQ(end.body["outcome"], "not-run");
    EXPECT_TRUE(it.platform->store().objects.count("preset/in-force") == 0);
}

// Guards against a flood of requests with unknown keys that removes changes from the audit.
TEST(control, keeps_changes_in_the_audit_under_a_flood_of_unknown_keys) {
    world it;
    it.start(0);
    it.call(0, "POST", "/v1/drains", {{"draining", true}});
    for (std::size_t i = 0; i < max_audit_records + 1; ++i) {
        ASSERT_EQ(it.call(0, "GET", "/v1/status", nullptr, "unknown").status, 401U);
    }
    const auto audit = it.call(0, "GET", "/v1/audit").body;
    EXPECT_EQ(audit["records"][0]["who"], "day-shift");
    EXPECT_EQ(audit["unknown_keys"].size(), max_audit_records);
}

// Guards against a drain that is lost between two operators, and a server drain that entries do not learn.
TEST(control, keeps_drains_of_two_operators) {
    world it;
    it.start_all();
    const auto first = it.begin(0, "POST", "/v1/drains", {{"server", "status-01"}, {"draining", true}});
    const auto second = it.begin(1, "POST", "/v1/drains", {{"server", "status-02"}, {"draining", true}});
    ASSERT_TRUE(it.loop.run_until([&] { return first->done && second->done; }));
    EXPECT_EQ(first->status, 200U) << first->body.dump();
    EXPECT_EQ(second->status, 200U) << second->body.dump();
    EXPECT_TRUE(it.loop.run_until([&] { return it.controls[2]->board().drains.servers.size() == 2; }));
}

// Guards against callers that are still sent to a VM whose control is about to stop.
TEST(control, announces_leaving_before_it_stops) {
    world it;
    it.start_all();
    it.controls[1]->stop();
    EXPECT_TRUE(it.loop.run_until([&] { return it.entries[0]->members == 2; }));
    EXPECT_EQ(it.controls[1]->board().members.self.state, member_state::leaving);
    EXPECT_EQ(it.controls[0]->board().members.others.at(vm_id("vm-02")).record.state, member_state::leaving);
}

// Guards against callers that are still sent to a VM whose entry is about to stop.
TEST(control, announces_an_entry_that_is_leaving) {
    world it;
    it.start_all();
    it.entries[1]->state = member_state::leaving;
    it.entries[1]->report();
    EXPECT_TRUE(it.loop.run_until([&] { return it.entries[0]->members == 2; }));
}

struct refusal_case {
    const char* name;
    const char* method;
    const char* target;
    const char* body;
    const char* key;
    unsigned status;
};

class operator_refusal : public testing::TestWithParam<refusal_case> {};

// Guards against changes without a key or with invalid content.
TEST_P(operator_refusal, follows_the_table) {
    world it;
    it.start(0);
    const auto body = *GetParam().body == '\0' ? json() : json::parse(GetParam().body);
    EXPECT_EQ(it.call(0, GetParam().method, GetParam().target, body, GetParam().key).status,
              GetParam().status);
}

constexpr const char* day_key = "example-only-day-shift-key";
INSTANTIATE_TEST_SUITE_P(
    cases, operator_refusal,
    testing::Values(refusal_case{"wrong_key", "GET", "/v1/status", "", "example-only-day-shift-kez", 401},
                    refusal_case{"shorter_key", "GET", "/v1/status", "", "example-only-day-shift-ke", 401},
                    refusal_case{"no_key", "POST", "/v1/drains", "{}", "", 401},
                    refusal_case{"right_key", "GET", "/v1/status", "", day_key, 200},
                    refusal_case{"not_an_object", "POST", "/v1/preset/switch", "[]", day_key, 400},
                    refusal_case{"no_operation", "POST", "/v1/preset/switch",
                                 R"({"name":"a","expect_version":0})", day_key, 400},
                    refusal_case{"no_version", "POST", "/v1/preset/switch",
                                 R"({"name":"a","operation_id":"b"})", day_key, 400},
                    refusal_case{"bad_preset", "PUT", "/v1/presets/x", R"({"name":"x"})", day_key, 400},
                    refusal_case{"no_server", "POST", "/v1/drains", R"({"draining":true})", day_key, 400},
                    refusal_case{"other_name", "PUT", "/v1/presets/x", R"({"name":"y","kinds":[]})", day_key,
                                 400},
                    refusal_case{"unknown_path", "GET", "/v1/else", "", day_key, 404}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever::http_test
