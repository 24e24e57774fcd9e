#include "endivelever/decide/route_table.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

tenant_config tenant(const char* id, std::vector<std::string> keys) {
    tenant_config it;
    it.id = tenant_id(id);
    it.keys = std::move(keys);
    return it;
}

TEST(tenant_directory, finds_the_tenant_that_holds_a_key) {
    routing_config config;
    config.tenants = {tenant("a", {"key", "other"}), tenant("b", {"key2"})};
    const auto table = make_route_table(std::move(config));
    ASSERT_NE(nullptr, find_tenant(table->tenants, "other"));
    EXPECT_EQ(tenant_id("a"), find_tenant(table->tenants, "other")->id);
    EXPECT_EQ(tenant_id("b"), find_tenant(table->tenants, "key2")->id);
}

struct unknown_key : testing::TestWithParam<const char*> {};

// Guards against a key that is accepted because it resembles another one.
TEST_P(unknown_key, belongs_to_no_tenant) {
    routing_config config;
    config.tenants = {tenant("a", {"key-1"})};
    const auto table = make_route_table(std::move(config));
    EXPECT_EQ(nullptr, find_tenant(table->tenants, GetParam()));
}

INSTANTIATE_TEST_SUITE_P(keys, unknown_key,
                         testing::Values("", "key", "key-", "key-11", "KEY-1", " key-1", "key-1 "));

struct authorization_case {
    const char* name;
    const char* value;
    const char* key;
};

struct authorization : testing::TestWithParam<authorization_case> {};

// Guards against reading a key from a header of another scheme or form.
TEST_P(authorization, has_a_key_in_the_bearer_scheme_only) {
    EXPECT_EQ(GetParam().key, bearer_key(GetParam().value));
}

INSTANTIATE_TEST_SUITE_P(values, authorization,
                         testing::Values(authorization_case{"plain", "Bearer abc", "abc"},
                                         authorization_case{"lower_case", "bearer abc", "abc"},
                                         authorization_case{"blanks", "Bearer   abc", "abc"},
                                         authorization_case{"blank_inside", "Bearer a b", "a b"},
                                         authorization_case{"other_scheme", "Basic abc", ""},
                                         authorization_case{"longer_scheme", "Bearers abc", ""},
                                         authorization_case{"no_blank", "Bearerabc", ""},
                                         authorization_case{"no_key", "Bearer ", ""},
                                         authorization_case{"empty", "", ""}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever
