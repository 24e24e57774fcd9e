#include "endivelever/decide/server_registry.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};

registered_server server(const std::string& id, bool draining = false) {
    registered_server it;
    it.id = server_id(id);
    it.service = service_id("desk");
    it.draining = draining;
    return it;
}

std::size_t count_servers(const server_registry& registry) {
    return servers_of(registry, service_id("desk")).size();
}

// Guards against keeping a removed server in use although the store answers.
TEST(server_registry, removes_at_once_while_the_store_answers) {
    server_registry registry;
    apply_listed(registry, {server("a"), server("b")}, start);
    apply_removed(registry, server_id("a"), start + 1s);
    EXPECT_EQ(1U, count_servers(registry));
    apply_listed(registry, {}, start + 2s);
    EXPECT_EQ(0U, count_servers(registry));
}

struct expiry_case {
    const char* name;
    bool draining;
    bool renewed;      ///< the entry is written again within two seconds
    std::size_t at_1s; ///< servers known one second after the store answers again
    std::size_t at_3s;
};

struct registry_expiry : testing::TestWithParam<expiry_case> {};

// Guards against losing all servers because their entries expired during a store outage, and against keeping
// those that are in fact gone.
TEST_P(registry_expiry, waits_for_renewed_entries) {
    server_registry registry;
    apply_listed(registry, {server("a", GetParam().draining)}, start);
    note_store_failure(registry);
    EXPECT_FALSE(drop_missing(registry, start + 60s));
    note_store_success(registry, start + 60s);
    apply_listed(registry, {}, start + 60s);
    if (GetParam().renewed) {
        apply_changed(registry, server("a"));
    }
    drop_missing(registry, start + 61s);
    EXPECT_EQ(GetParam().at_1s, count_servers(registry));
    drop_missing(registry, start + 63s);
    EXPECT_EQ(GetParam().at_3s, count_servers(registry));
}

INSTANTIATE_TEST_SUITE_P(entries, registry_expiry,
                         testing::Values(expiry_case{"renewed", false, true, 1, 1},
                                         expiry_case{"gone", false, false, 1, 0},
                                         expiry_case{"draining", true, false, 0, 0}),
                         [](const auto& it) { return it.param.name; });

// Guards against an entry that a peer reports as removed during an outage and that is dropped before the
// store answers again.
TEST(server_registry, waits_for_renewal_from_the_end_of_the_outage) {
    server_registry registry;
    apply_listed(registry, {server("a")}, start);
    note_store_failure(registry);
    apply_removed(registry, server_id("a"), start + 1s);
    note_store_success(registry, start + 20s);
    EXPECT_FALSE(drop_missing(registry, start + 21s));
    EXPECT_TRUE(drop_missing(registry, start + 23s));
}

} // namespace
} // namespace endivelever
