#include "endivelever/config/check_preset.hpp"
#include "endivelever/config/drains.hpp"
#include "endivelever/config/in_force.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/config/vm_list.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace endivelever {
namespace {

using nlohmann::json;

const json good_settings = json::parse(R"({
    "vm": "vm-01", "failure_domain": "kr-a",
    "caller_address": "127.0.0.1:1", "admin_address": "127.0.0.1:2", "feed_address": "127.0.0.1:3",
    "operator_address": "[::1]:4", "platform_address": "127.0.0.1:5", "seeds": ["127.0.0.1:6"],
    "cluster_key": "0123456789abcdef", "when_isolated": "serve", "address_keep_ms": 2500.5,
    "operators": [{"name": "min.park", "key": "fedcba9876543210", "founder": true}],
    "services": [{"id": "status", "slots_per_server": 4, "connections_per_server": 250},
                 {"id": "ledger", "slots_per_server": 6, "connections_per_server": 220, "choice": "random"}],
    "kinds": [{"id": "job", "service": "status", "path_prefix": "/status/", "idempotent": true,
               "latency_target_ms": 0.34, "default_deadline_ms": 1000, "max_deadline_ms": 2000,
               "max_request_body_bytes": 0},
              {"id": "order", "service": "ledger", "path_prefix": "/orders/", "idempotent": false,
               "latency_target_ms": 50, "default_deadline_ms": 2000, "max_deadline_ms": 2000,
               "max_request_body_bytes": 65536}]})");

const json good_preset = json::parse(R"({
    "name": "ordinary", "description": "a day",
    "kinds": [{"kind": "job", "served_as": "low", "guaranteed_share": 0.1, "max_queue_delay_ms": 20},
              {"kind": "order", "served_as": "urgent", "guaranteed_share": 0.6}]})");

const json good_list = json::parse(R"({"vms": [
    {"id": "vm-01", "role": "entry", "address": "127.0.0.1:1", "peer_address": "127.0.0.1:2",
     "admin_address": "127.0.0.1:3", "failure_domain": "kr-a", "state": "live"},
    {"id": "status-1", "role": "server", "service": "status", "address": "127.0.0.1:4",
     "failure_domain": "kr-b", "slots": 4, "connections": 250, "state": "leaving"}]})");

const json good_record = json::parse(R"({"operation_id": "op-1", "who": "min.park", "when_us": 5,
    "replaced_version": 3, "pinned_by": "",
    "history": [{"operation_id": "op-1", "who": "min.park", "what": "switch", "name": "ordinary", "when_us": 5}]})");

json record_with_preset() {
    auto record = good_record;
    record["content"] = good_preset;
    return record;
}

// -- values that are refused -----------------------------------------------------------------------------

/// One change of a valid document. A null value removes the member.
struct bad_value {
    const char* name;
    const char* pointer;
    json value;
    int error_id;
    const char* message_part;
};

void PrintTo(const bad_value& it, std::ostream* out) {
    *out << it.name;
}

json changed(json document, const bad_value& change) {
    const json::json_pointer pointer(change.pointer);
    if (change.value.is_null()) {
        document.at(pointer.parent_pointer()).erase(pointer.back());
    } else {
        document[pointer] = change.value;
    }
    return document;
}

template <typename Result>
void expect_refused(const Result& parsed, const bad_value& change) {
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().id, change.error_id) << parsed.error().message;
    EXPECT_NE(parsed.error().message.find(change.message_part), std::string::npos) << parsed.error().message;
}

const auto case_name = [](const auto& it) { return it.param.name; };

class bad_settings : public testing::TestWithParam<bad_value> {};

// Guards against a process that starts with settings it cannot follow, and against messages that do not say
// where the fault is and what would be right.
TEST_P(bad_settings, name_the_place_and_what_is_allowed) {
    expect_refused(parse_settings(changed(good_settings, GetParam()).dump(), "a.json"), GetParam());
}

INSTANTIATE_TEST_SUITE_P(
    settings, bad_settings,
    testing::Values(
        bad_value{"missing", "/vm", nullptr, 5, "a.json: document: key \"vm\" is missing"},
        bad_value{"vm_with_dot", "/vm", "vm.1", 7, "/vm: value \"vm.1\" is not allowed; allowed is 1 to 64"},
        bad_value{"wrong_type", "/vm", 7, 7, "/vm: value 7"},
        bad_value{"unknown", "/colour", "red", 4, "key \"colour\" is unknown; allowed are address_keep_ms"},
        bad_value{"unknown_in_limits", "/limits/speed", 1, 4, "/limits: key \"speed\""},
        bad_value{"unknown_in_kind", "/kinds/1/rank", "low", 4, "/kinds/1: key \"rank\""},
        bad_value{"no_object", "/limits", 5, 6, "/limits: value 5 is not allowed; allowed is an object"},
        bad_value{"no_array", "/kinds", 5, 7, "/kinds: value 5 is not allowed; allowed is an array"},
        bad_value{"no_kinds", "/kinds", json::array(), 7, "allowed is an array of 1 to 256 items"},
        bad_value{"host_name", "/caller_address", "localhost:80", 7, "\"localhost:80\""},
        bad_value{"no_port", "/feed_address", "127.0.0.1", 7, "/feed_address"},
        bad_value{"large_port", "/feed_address", "127.0.0.1:65536", 7, "/feed_address"},
        bad_value{"wildcard", "/caller_address", "0.0.0.0:80", 8, "one IP number of this VM"},
        bad_value{"taken_port", "/admin_address", "127.0.0.1:1", 8, "/admin_address"},
        bad_value{"platform_port_0", "/platform_address", "127.0.0.1:0", 8, "/platform_address"},
        bad_value{"bad_seed", "/seeds/0", "x", 8, "/seeds/0"},
        bad_value{"short_cluster_key", "/cluster_key", "hush", 7, "secret value of 4 bytes"},
        bad_value{"short_operator_key", "/operators/0/key", "hush", 7, "/operators/0/key"},
        bad_value{"shared_key", "/operators/0/key", "0123456789abcdef", 8, "/operators/0/key"},
        bad_value{"bad_choice", "/services/0/choice", "best", 7,
                  "one of \"estimated_wait\", \"least_in_flight\""},
        bad_value{"no_slots", "/services/0/slots_per_server", 0, 7, "an integer from 1 to 10000"},
        bad_value{"negative", "/services/0/slots_per_server", -1, 7, "value -1"},
        bad_value{"fraction", "/services/0/slots_per_server", 1.5, 7, "value 1.5"},
        bad_value{"huge", "/services/0/slots_per_server", 18'446'744'073'709'551'615U, 7, "184467440737"},
        bad_value{"service_twice", "/services/1/id", "status", 8, "/services/1/id"},
        bad_value{"unknown_service", "/kinds/1/service", "store", 8, "/kinds/1/service: value \"store\""},
        bad_value{"kind_twice", "/kinds/1/id", "job", 8, "/kinds/1/id"},
        bad_value{"prefix_twice", "/kinds/1/path_prefix", "/status/", 8, "/kinds/1/path_prefix"},
        bad_value{"prefix_open", "/kinds/1/path_prefix", "/orders", 8, "starts and ends with '/'"},
        bad_value{"prefix_dots", "/kinds/1/path_prefix", "/a/../", 8, "/kinds/1/path_prefix"},
        bad_value{"prefix_query", "/kinds/1/path_prefix", "/a?/", 8, "/kinds/1/path_prefix"},
        bad_value{"prefix_reserved", "/kinds/1/path_prefix", "/.well-known/x/", 8, "reserved"},
        bad_value{"deadline_order", "/kinds/1/default_deadline_ms", 2001, 8, "/kinds/1/default_deadline_ms"},
        bad_value{"target_order", "/kinds/1/latency_target_ms", 2001, 8, "/kinds/1/latency_target_ms"},
        bad_value{"long_deadline", "/kinds/1/max_deadline_ms", 300'001, 7, "a number from 0.01 to 300000.0"},
        bad_value{"no_target", "/kinds/1/latency_target_ms", 0, 7, "/kinds/1/latency_target_ms"},
        bad_value{"flag_as_text", "/kinds/1/idempotent", "no", 7, "allowed is true or false"},
        bad_value{"long_keep", "/address_keep_ms", 120'001, 7, "/address_keep_ms"},
        bad_value{"bad_level", "/log_level", "loud", 7, "/log_level"}),
    case_name);

class bad_preset : public testing::TestWithParam<bad_value> {};

// Guards against a preset that is accepted although its rules cannot be applied.
TEST_P(bad_preset, is_refused) {
    const auto parsed = parse_preset(changed(good_preset, GetParam()).dump(), "p.json");
    if (!parsed) {
        expect_refused(parsed, GetParam());
        return;
    }
    const auto against = parse_settings(good_settings.dump(), "a.json");
    expect_refused(check_preset(*parsed, *against, "p.json"), GetParam());
}

INSTANTIATE_TEST_SUITE_P(
    presets, bad_preset,
    testing::Values(
        bad_value{"no_name", "/name", "", 7, "p.json: /name"},
        bad_value{"unknown", "/kinds/0/rank", "low", 4, "/kinds/0"},
        bad_value{"bad_rank", "/kinds/0/served_as", "first", 7, "one of \"urgent\", \"normal\", \"low\""},
        bad_value{"share_range", "/kinds/0/guaranteed_share", 1.1, 7, "value 1.1"},
        bad_value{"no_queue", "/kinds/0/queue_items", 0, 7, "from 1 to 100000"},
        bad_value{"negative_delay", "/kinds/0/max_queue_delay_ms", -1, 7, "/kinds/0/max_queue_delay_ms"},
        bad_value{"retry_range", "/retry_budget_ratio", 2, 7, "/retry_budget_ratio"},
        bad_value{"kind_twice", "/kinds/1/kind", "job", 8, "/kinds/1/kind"},
        bad_value{"unknown_kind", "/kinds/1/kind", "pour", 8, "allowed are job, order"},
        bad_value{"missing_kind", "/kinds", json::array({good_preset["kinds"][0]}), 8, "kind \"order\""}),
    case_name);

class bad_list : public testing::TestWithParam<bad_value> {};

// Guards against half a list: a list with one bad item would look as if VMs had left.
TEST_P(bad_list, is_refused_as_a_whole) {
    expect_refused(parse_vm_list(changed(good_list, GetParam()).dump()), GetParam());
}

INSTANTIATE_TEST_SUITE_P(
    lists, bad_list,
    testing::Values(bad_value{"no_array", "/vms", 3, 6, "\"vms\""},
                    bad_value{"bad_role", "/vms/0/role", "boss", 7, "/vms/0/role"},
                    bad_value{"bad_state", "/vms/1/state", "gone", 7, "one of \"live\", \"leaving\""},
                    bad_value{"no_address", "/vms/1/address", nullptr, 5, "/vms/1: key \"address\""},
                    bad_value{"id_twice", "/vms/1/id", "vm-01", 8, "/vms/1/id"}),
    case_name);

class bad_record : public testing::TestWithParam<bad_value> {};

TEST_P(bad_record, is_refused) {
    expect_refused(parse_in_force(changed(record_with_preset(), GetParam()).dump()), GetParam());
}

INSTANTIATE_TEST_SUITE_P(
    records, bad_record,
    testing::Values(bad_value{"no_content", "/content", nullptr, 5, "/content"},
                    bad_value{"bad_content", "/content/kinds/0/served_as", "first", 7, "/content/kinds/0"},
                    bad_value{"no_operation", "/operation_id", "", 7, "/operation_id"},
                    bad_value{"bad_change", "/history/0/what", "undo", 7, "/history/0/what"},
                    bad_value{"negative_time", "/when_us", -5, 7, "/when_us"}),
    case_name);

TEST(config_syntax, error_names_source_and_line) {
    const auto parsed = parse_settings("{\n  // comment\n  \"vm\": \"a\",\n  oops\n}", "a.json");
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().id, 2);
    EXPECT_EQ(parsed.error().message.rfind("[config.2] a.json: line 4: ", 0), 0U) << parsed.error().message;
}

TEST(config_syntax, cut_documents_are_errors) {
    const auto text = good_settings.dump();
    for (std::size_t i = 0; i < text.size(); ++i) {
        EXPECT_FALSE(parse_settings(text.substr(0, i), "a.json"));
    }
}

// Guards against a second value that silently replaces the first one.
TEST(config_syntax, duplicate_key_is_an_error) {
    const auto parsed = parse_drains(R"({"operation_id": "a", "servers": [], "operation_id": "b"})");
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().id, 3);
}

TEST(config_syntax, messages_never_show_a_secret) {
    auto document = good_settings;
    document["cluster_key"] = "hush-hush";
    EXPECT_EQ(parse_settings(document.dump(), "a.json").error().message.find("hush"), std::string::npos);
}

TEST(load_settings, missing_file_is_an_error) {
    const auto loaded = load_settings("/nonexistent/settings.json");
    ASSERT_FALSE(loaded);
    EXPECT_EQ(loaded.error().id, 1);
}

// -- values that are read --------------------------------------------------------------------------------

// Guards against fields that are dropped, swapped or rounded when a document is written and read again.
TEST(config_round_trip, documents_keep_every_value) {
    const auto parsed = parse_settings(good_settings.dump(), "a.json");
    ASSERT_TRUE(parsed) << parsed.error().message;
    EXPECT_EQ(to_json(*parse_settings(to_json(*parsed), "b")), to_json(*parsed));
    EXPECT_EQ(parsed->kinds[0].latency_target, std::chrono::microseconds(340));
    EXPECT_EQ(parsed->address_keep, std::chrono::microseconds(2'500'500));
    EXPECT_EQ(parsed->services[1].choice, choice_policy::random);
    EXPECT_EQ(parsed->when_isolated, isolation_policy::serve);

    const auto record = parse_in_force(record_with_preset().dump());
    ASSERT_TRUE(record) << record.error().message;
    EXPECT_EQ(to_json(*parse_in_force(to_json(*record))), to_json(*record));
    EXPECT_EQ(record->content.kinds[1].served_as, rank::urgent);
    EXPECT_EQ(record->replaced, document_version{3});
    EXPECT_EQ(record->history.at(0).what, "switch");

    const auto list = parse_vm_list(good_list.dump());
    ASSERT_TRUE(list) << list.error().message;
    EXPECT_EQ(json::parse(to_json(*list)), good_list);
    EXPECT_TRUE(list->servers[0].leaving);

    const drain_list drains{operation_id("op-2"), {server_id("status-1")}};
    EXPECT_EQ(parse_drains(to_json(drains))->servers, drains.servers);
}

TEST(check_preset, shares_of_one_service_sum_to_at_most_one) {
    auto document = good_settings;
    document["kinds"][0]["service"] = "ledger";
    const auto against = parse_settings(document.dump(), "a.json");
    auto rules = *parse_preset(good_preset.dump(), "p.json");
    rules.kinds[0].guaranteed_share = 0.4;
    EXPECT_TRUE(check_preset(rules, *against, "p.json"));
    rules.kinds[0].guaranteed_share = 0.41;
    const auto checked = check_preset(rules, *against, "p.json");
    ASSERT_FALSE(checked);
    EXPECT_NE(checked.error().message.find("p.json: /kinds/1/guaranteed_share"), std::string::npos);
}

TEST(split_address, removes_brackets) {
    const auto parts = split_address(socket_address("[::1]:80"));
    ASSERT_TRUE(parts);
    EXPECT_EQ(parts->host, "::1");
    EXPECT_EQ(parts->port, 80);
    EXPECT_EQ(split_address(socket_address("::1:80")).error().id, 10);
}

} // namespace
} // namespace endivelever
