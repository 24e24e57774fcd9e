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

std::size_t known(const server_registry& registry) {
    return servers_of(registry, service_id("desk")).size();
}

// Guards against a server that stays in use after it left while the store answers.
TEST(server_registry, removes_at_once_while_the_store_answers) {
    server_registry registry;
    apply_listed(registry, {server("a"), server("b")}, start);
    apply_removed(registry, server_id("a"), start + 1s);
    EXPECT_EQ(1U, known(registry));
    apply_listed(registry, {}, start + 2s);
    EXPECT_EQ(0U, known(registry));
}

struct lapse_case {
    const char* name;
    bool draining;
    bool returns;      ///< the entry is written again within two seconds
    std::size_t at_1s; ///< servers known one second after the store's return
    std::size_t at_3s;
};

struct registry_lapse : testing::TestWithParam<lapse_case> {};

// Guards against losing all servers when their entries lapsed in an outage, and against keeping those that
// are really gone.
TEST_P(registry_lapse, waits_for_entries_to_return) {
    server_registry registry;
    apply_listed(registry, {server("a", GetParam().draining)}, start);
    note_store_away(registry);
    EXPECT_FALSE(drop_missing(registry, start + 60s));
    note_store_answer(registry, start + 60s);
    apply_listed(registry, {}, start + 60s);
    if (GetParam().returns) {
        apply_changed(registry, server("a"));
    }
    drop_missing(registry, start + 61s);
    EXPECT_EQ(GetParam().at_1s, known(registry));
    drop_missing(registry, start + 63s);
    EXPECT_EQ(GetParam().at_3s, known(registry));
}

INSTANTIATE_TEST_SUITE_P(entries, registry_lapse,
                         testing::Values(lapse_case{"lapsed", false, true, 1, 1},
                                         lapse_case{"gone", false, false, 1, 0},
                                         lapse_case{"draining", true, false, 0, 0}),
                         [](const auto& it) { return it.param.name; });

// Guards against a removal during the outage, told by a peer, that is dropped before the store is back.
TEST(server_registry, counts_the_wait_from_the_return_of_the_store) {
    server_registry registry;
    apply_listed(registry, {server("a")}, start);
    note_store_away(registry);
    apply_removed(registry, server_id("a"), start + 1s);
    note_store_answer(registry, start + 20s);
    EXPECT_FALSE(drop_missing(registry, start + 21s));
    EXPECT_TRUE(drop_missing(registry, start + 23s));
}

} // namespace
} // namespace endivelever
