#include "testbed/fake_store.hpp"

#include <gtest/gtest.h>

namespace endivelever::testbed {
namespace {

TEST(fake_store, conditional_update_accepts_only_the_present_version) {
    fake_store store;
    EXPECT_FALSE(put(store, "a", {document_version{1}}, "x").accepted);
    EXPECT_EQ(put(store, "a", {std::nullopt}, "x").version, document_version{1});
    const auto refused = put(store, "a", {std::nullopt}, "y");
    EXPECT_FALSE(refused.accepted);
    EXPECT_EQ(refused.version, document_version{1});
    EXPECT_EQ(put(store, "a", {document_version{1}}, "y").version, document_version{2});
    EXPECT_EQ(store.objects.at("a").payload, "y");
}

struct etag_case {
    const char* name;
    const char* text;
    std::optional<document_version> expected;
};

class etag : public testing::TestWithParam<etag_case> {};

TEST_P(etag, parses_quoted_numbers_only) {
    EXPECT_EQ(parse_etag(GetParam().text), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(texts, etag,
                         testing::Values(etag_case{"version", "\"17\"", document_version{17}},
                                         etag_case{"bare", "17", std::nullopt},
                                         etag_case{"empty", "\"\"", std::nullopt},
                                         etag_case{"weak", "W/\"17\"", std::nullopt}),
                         [](const auto& it) { return it.param.name; });

// Guards against a counted fault that hits more requests than asked for, or a read instead of the update.
TEST(fault_table, counted_lost_answer_hits_updates_under_its_prefix_once) {
    fault_table table;
    const auto rule = parse_fault(R"({"mode":"lost_answer","path_prefix":"/v1/objects/preset","count":1})");
    ASSERT_TRUE(rule);
    set_fault(table, *rule);
    EXPECT_EQ(take_fault(table, "/v1/objects/preset/in-force", false).mode, fault_mode::none);
    EXPECT_EQ(take_fault(table, "/v1/objects/drains", true).mode, fault_mode::none);
    EXPECT_EQ(take_fault(table, "/v1/objects/preset/in-force", true).mode, fault_mode::lost_answer);
    EXPECT_EQ(take_fault(table, "/v1/objects/preset/in-force", true).mode, fault_mode::none);
}

TEST(fault_table, longest_prefix_wins_and_none_removes) {
    fault_table table;
    set_fault(table, {.mode = fault_mode::outage});
    set_fault(table, {.mode = fault_mode::silent, .path_prefix = "/v1/vms"});
    EXPECT_EQ(take_fault(table, "/v1/vms", false).mode, fault_mode::silent);
    EXPECT_EQ(take_fault(table, "/v1/objects", false).mode, fault_mode::outage);
    set_fault(table, {.mode = fault_mode::none, .path_prefix = "/v1/vms"});
    EXPECT_EQ(take_fault(table, "/v1/vms", false).mode, fault_mode::outage);
    set_fault(table, {});
    EXPECT_TRUE(table.rules.empty());
}

TEST(fault_table, unknown_mode_is_an_error) {
    EXPECT_FALSE(parse_fault(R"({"mode":"lost"})"));
    EXPECT_FALSE(parse_fault("[]"));
}

} // namespace
} // namespace endivelever::testbed
