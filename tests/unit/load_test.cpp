#include "testbed/body_pattern.hpp"
#include "testbed/http_text.hpp"
#include "testbed/load.hpp"

#include <gtest/gtest.h>

namespace endivelever::testbed {
namespace {

// Guards against a check that accepts bytes of another response or of another place.
TEST(body_pattern, differs_by_target_and_offset) {
    const auto pattern = pattern_of("/status/1?size=100");
    std::string body;
    append_bytes(pattern, 0, 50, body);
    append_bytes(pattern, 50, 50, body);
    EXPECT_TRUE(matches(pattern, 0, body));
    EXPECT_TRUE(matches(pattern, 13, body.substr(13, 20)));
    EXPECT_FALSE(matches(pattern, 8, body.substr(0, 20)));
    EXPECT_FALSE(matches(pattern_of("/status/2?size=100"), 0, body));
}

TEST(query, finds_whole_names_only) {
    EXPECT_EQ(query_value("/a?watch=3&wait_ms=5", "wait_ms"), "5");
    EXPECT_EQ(query_value("/a?await_ms=5", "wait_ms"), std::nullopt);
    EXPECT_EQ(query_number("/a?size=x", "size", 7), 7U);
}

TEST(load_options, json_round_trip) {
    load_options options;
    options.entries = {socket_address("127.0.0.1:1")};
    options.kinds.push_back({.kind = kind_id("order"), .path_prefix = "/orders/", .calls_per_second = 10});
    options.resend = resend_policy::same_id;
    const auto parsed = parse_load_options(to_json(options));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(to_json(*parsed), to_json(options));
    EXPECT_FALSE(parse_load_options(R"({"kinds":[],"resend":"always"})"));
}

struct ledger_case {
    const char* name;
    call_record record;
    std::uint32_t runs;
    ledger_check expected;
};

class ledger : public testing::TestWithParam<ledger_case> {};

// Guards against experiments that overlook a lost or duplicated call.
TEST_P(ledger, finds_violations) {
    const auto check = check_ledger({GetParam().record}, {{"k", GetParam().runs}});
    EXPECT_EQ(check.ran_after_not_run, GetParam().expected.ran_after_not_run);
    EXPECT_EQ(check.ran_twice, GetParam().expected.ran_twice);
    EXPECT_EQ(check.done_without_run, GetParam().expected.done_without_run);
}

INSTANTIATE_TEST_SUITE_P(
    records, ledger,
    testing::Values(ledger_case{"done_once", {"k", false, 1, 0, 0}, 1, {}},
                    ledger_case{"done_twice", {"k", false, 1, 0, 0}, 2, {.ran_twice = 1}},
                    ledger_case{"idempotent_twice", {"k", true, 1, 0, 1}, 2, {}},
                    ledger_case{"unclear_either_way", {"k", false, 0, 0, 1}, 1, {}},
                    ledger_case{"not_run_but_ran", {"k", false, 0, 1, 0}, 1, {.ran_after_not_run = 1}},
                    ledger_case{"done_but_did_not_run", {"k", false, 1, 0, 0}, 0, {.done_without_run = 1}}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever::testbed
