#include "endivelever/decide/server_registry.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>

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
    note_store_failure(registry, start);
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
    note_store_failure(registry, start);
    apply_removed(registry, server_id("a"), start + 1s);
    note_store_success(registry, start + 20s);
    EXPECT_FALSE(drop_missing(registry, start + 21s));
    EXPECT_TRUE(drop_missing(registry, start + 23s));
}

struct outage_case {
    const char* name;
    duration failed_for; ///< calls of this VM fail for so long
    /// Other VMs read the store until the first and again from the second, relative to the first failed call.
    std::optional<duration> others_read_until;
    std::optional<duration> others_read_from;
    bool kept; ///< a server missing from the next list
};

struct store_outage : testing::TestWithParam<outage_case> {};

// Guards against taking the partition of one VM for an outage of the store, and the reverse.
TEST_P(store_outage, is_told_from_a_partition) {
    const auto& param = GetParam();
    const auto failed_at = start + 10s;
    server_registry registry;
    apply_listed(registry, {server("a")}, start);
    time_point others_read_at{};
    for (duration passed = -1s; passed < param.failed_for; passed += 100ms) {
        const bool reads = (param.others_read_until && passed <= *param.others_read_until) ||
                           (param.others_read_from && passed >= *param.others_read_from);
        others_read_at = reads ? failed_at + passed : others_read_at;
        if (passed >= duration::zero()) {
            note_store_failure(registry, failed_at + passed);
            observe_other_reads(registry, others_read_at, failed_at + passed);
        }
    }
    const auto back = failed_at + param.failed_for;
    note_store_success(registry, back, others_read_at);
    apply_listed(registry, {}, back);
    EXPECT_EQ(param.kept ? 1U : 0U, count_servers(registry));
    EXPECT_FALSE(registry.store_unavailable);
}

INSTANTIATE_TEST_SUITE_P(observations, store_outage,
                         testing::Values(outage_case{"nothing_known_of_others", 2s, {}, {}, true},
                                         outage_case{"others_read_before_it_only", 8s, -500ms, {}, true},
                                         outage_case{"others_read_all_the_time", 8s, 8s, {}, false},
                                         outage_case{"others_lost_it_later", 8s, 2s, {}, true},
                                         outage_case{"others_read_again_first", 8s, -500ms, 7700ms, true},
                                         outage_case{"others_took_over_the_watch", 8s, -500ms, 1300ms, false},
                                         outage_case{"short_partition", 1s, 500ms, {}, false}),
                         [](const auto& it) { return it.param.name; });

struct peer_removal_case {
    const char* name;
    bool complete_list;
    bool kept_by_peer;
    std::size_t at_1s;
    std::size_t at_3s;
};

struct peer_removal : testing::TestWithParam<peer_removal_case> {};

// Guards against a VM that judges for itself whether an entry has expired in an outage that it has not seen.
TEST_P(peer_removal, follows_the_vm_that_read_the_store) {
    server_registry registry;
    apply_listed(registry, {server("a"), server("b")}, start);
    expired_servers expired;
    if (GetParam().kept_by_peer) {
        expired[server_id("a")] = 2s;
    }
    if (GetParam().complete_list) {
        apply_peer_list(registry, {server("b")}, expired, start);
    } else {
        apply_peer_removal(registry, server_id("a"), expired, start);
    }
    drop_missing(registry, start + 1s);
    EXPECT_EQ(GetParam().at_1s, count_servers(registry));
    EXPECT_EQ(GetParam().kept_by_peer ? 1U : 0U, missing_servers(registry, start + 1s).size());
    drop_missing(registry, start + 3s);
    EXPECT_EQ(GetParam().at_3s, count_servers(registry));
}

INSTANTIATE_TEST_SUITE_P(removals, peer_removal,
                         testing::Values(peer_removal_case{"change_gone", false, false, 1, 1},
                                         peer_removal_case{"change_kept", false, true, 2, 1},
                                         peer_removal_case{"list_gone", true, false, 1, 1},
                                         peer_removal_case{"list_kept", true, true, 2, 1}),
                         [](const auto& it) { return it.param.name; });

// Guards against an outage of the past that is remembered by a VM which no longer reads the store.
TEST(server_registry, forgets_the_store_with_its_duty) {
    server_registry registry;
    apply_listed(registry, {server("a")}, start);
    note_store_failure(registry, start);
    forget_store_state(registry);
    apply_removed(registry, server_id("a"), start + 1s);
    EXPECT_EQ(0U, count_servers(registry));
}

struct leaving_case {
    const char* name;
    void (*then)(server_registry&, const registered_server&);
    bool draining;
};

struct leaving_server : testing::TestWithParam<leaving_case> {};

// Guards against a server that said it leaves and is used again because its entry says otherwise.
TEST_P(leaving_server, stays_out_of_use_while_it_lives) {
    server_registry registry;
    auto it = server("a");
    it.address = socket_address("10.0.0.1:80");
    it.start_ms = 1000;
    apply_listed(registry, {it}, start);
    EXPECT_TRUE(note_leaving(registry, it.id, {it.address, it.start_ms}));
    EXPECT_FALSE(note_leaving(registry, it.id, {it.address, it.start_ms}));
    GetParam().then(registry, it);
    const auto known = servers_of(registry, service_id("desk"));
    ASSERT_EQ(1U, known.size());
    EXPECT_EQ(GetParam().draining, known.front().draining);
}

INSTANTIATE_TEST_SUITE_P(
    entries, leaving_server,
    testing::Values(leaving_case{"nothing", [](server_registry&, const registered_server&) {}, true},
                    leaving_case{"changed_to_ready",
                                 [](server_registry& registry, const registered_server& it) {
                                     apply_changed(registry, it);
                                 },
                                 true},
                    leaving_case{"listed_as_ready",
                                 [](server_registry& registry, const registered_server& it) {
                                     apply_listed(registry, {it}, start + 1s);
                                 },
                                 true},
                    leaving_case{"removed_and_back",
                                 [](server_registry& registry, const registered_server& it) {
                                     apply_removed(registry, it.id, start + 1s);
                                     apply_peer_list(registry, {it}, {}, start + 2s);
                                 },
                                 true},
                    leaving_case{"started_again",
                                 [](server_registry& registry, registered_server const& it) {
                                     auto next = it;
                                     next.start_ms = 2000;
                                     apply_changed(registry, next);
                                 },
                                 false},
                    leaving_case{"at_another_address",
                                 [](server_registry& registry, registered_server const& it) {
                                     auto next = it;
                                     next.address = socket_address("10.0.0.2:80");
                                     apply_changed(registry, next);
                                 },
                                 false}),
    [](const auto& it) { return it.param.name; });

struct replaced_case {
    const char* name;
    void (*then)(server_registry&, const registered_server&);
    std::size_t usable;
};

struct replaced_server : testing::TestWithParam<replaced_case> {};

// Guards against a server that is used although another instance has answered at its address.
TEST_P(replaced_server, is_used_again_only_on_newer_evidence) {
    server_registry registry;
    auto it = server("a");
    it.address = socket_address("10.0.0.1:80");
    it.start_ms = 1000;
    apply_listed(registry, {it}, start);
    EXPECT_TRUE(note_replaced(registry, it.id, {it.address, it.start_ms}));
    EXPECT_FALSE(note_replaced(registry, it.id, {it.address, it.start_ms}));
    GetParam().then(registry, it);
    const auto known = servers_of(registry, service_id("desk"));
    EXPECT_EQ(GetParam().usable, static_cast<std::size_t>(std::count_if(
                                     known.begin(), known.end(), [](const auto& s) { return !s.draining; })));
}

INSTANTIATE_TEST_SUITE_P(
    evidence, replaced_server,
    testing::Values(replaced_case{"nothing", [](server_registry&, const registered_server&) {}, 0},
                    replaced_case{"listed_again",
                                  [](server_registry& registry, const registered_server& it) {
                                      apply_listed(registry, {it}, start + 1s);
                                      apply_peer_list(registry, {it}, {}, start + 2s);
                                  },
                                  0},
                    replaced_case{"kept_in_an_outage",
                                  [](server_registry& registry, const registered_server& it) {
                                      note_store_failure(registry, start + 1s);
                                      apply_removed(registry, it.id, start + 2s);
                                  },
                                  0},
                    replaced_case{"written_again",
                                  [](server_registry& registry, const registered_server& it) {
                                      apply_changed(registry, it);
                                  },
                                  1},
                    replaced_case{"answers_itself",
                                  [](server_registry& registry, const registered_server& it) {
                                      EXPECT_TRUE(note_answered(registry, it.id, {it.address, it.start_ms}));
                                  },
                                  1},
                    replaced_case{"an_earlier_incarnation_answered",
                                  [](server_registry& registry, const registered_server& it) {
                                      EXPECT_FALSE(note_answered(registry, it.id, {it.address, 500}));
                                  },
                                  0},
                    replaced_case{"next_incarnation_is_listed",
                                  [](server_registry& registry, const registered_server& it) {
                                      auto next = it;
                                      next.start_ms = 2000;
                                      apply_listed(registry, {next}, start + 1s);
                                  },
                                  1},
                    replaced_case{"left_and_answers",
                                  [](server_registry& registry, const registered_server& it) {
                                      note_leaving(registry, it.id, {it.address, it.start_ms});
                                      EXPECT_FALSE(note_answered(registry, it.id, {it.address, it.start_ms}));
                                  },
                                  0}),
    [](const auto& it) { return it.param.name; });

struct same_address_case {
    const char* name;
    std::int64_t other_start_ms; ///< of another server at the same address
    bool other_missing;
    bool is_usable;
};

struct same_address : testing::TestWithParam<same_address_case> {};

// Guards against the use of a server whose address a later one has, while the store keeps its entry.
TEST_P(same_address, belongs_to_the_latest_listed_start) {
    server_registry registry;
    auto it = server("a");
    it.address = socket_address("10.0.0.1:80");
    it.start_ms = 1000;
    auto other = server("b");
    other.address = it.address;
    other.start_ms = GetParam().other_start_ms;
    apply_listed(registry, {it, other}, start);
    if (GetParam().other_missing) {
        note_store_failure(registry, start + 1s);
        apply_removed(registry, other.id, start + 1s);
    }
    const auto known = servers_of(registry, service_id("desk"));
    ASSERT_EQ(2U, known.size());
    EXPECT_EQ(GetParam().is_usable, !known.front().draining);
}

INSTANTIATE_TEST_SUITE_P(starts, same_address,
                         testing::Values(same_address_case{"later", 2000, false, false},
                                         same_address_case{"earlier", 500, false, true},
                                         same_address_case{"same", 1000, false, true},
                                         same_address_case{"later_but_missing", 2000, true, true}),
                         [](const auto& it) { return it.param.name; });

// -- copies of the store ---------------------------------------------------------------------------------

registered_server started_server(std::int64_t start_ms, bool draining = false) {
    auto it = server("a", draining);
    it.address = socket_address("10.0.0.1:80");
    it.start_ms = start_ms;
    return it;
}

using server_list = std::vector<registered_server>;

struct copy_case {
    const char* name;
    server_list known;  ///< before the store came back
    server_list before; ///< listed before that; those that are not known were removed
    server_list copy;
    void (*later)(server_registry&); ///< happens one second after the return
    std::size_t usable_at_once;
    std::size_t usable_at_1s;
    std::size_t usable_at_3s;
};

struct registry_copy : testing::TestWithParam<copy_case> {};

std::size_t count_usable(const server_registry& registry) {
    const auto found = servers_of(registry, service_id("desk"));
    return static_cast<std::size_t>(
        std::count_if(found.begin(), found.end(), [](const auto& it) { return !it.draining; }));
}

void apply_copy(server_registry& registry, const server_list& copy, bool from_peer, time_point now) {
    begin_copy(registry, now);
    if (from_peer) {
        apply_peer_list(registry, copy, {}, now);
    } else {
        apply_listed(registry, copy, now);
    }
    end_copy(registry);
}

// Guards against the use of servers that have left and are listed again by an older copy of the store, and
// against the loss of those that it lacks.
TEST_P(registry_copy, does_not_outrank_what_is_known) {
    const auto& param = GetParam();
    for (const bool from_peer : {false, true}) {
        server_registry registry;
        apply_listed(registry, param.before, start);
        apply_listed(registry, param.known, start + 1s);
        apply_copy(registry, param.copy, from_peer, start + 10s);
        EXPECT_EQ(param.usable_at_once, count_usable(registry)) << from_peer;
        param.later(registry);
        drop_missing(registry, start + 11s);
        EXPECT_EQ(param.usable_at_1s, count_usable(registry)) << from_peer;
        drop_missing(registry, start + 13s);
        EXPECT_EQ(param.usable_at_3s, count_usable(registry)) << from_peer;
    }
}

void nothing(server_registry& /*registry*/) {}
void written_again(server_registry& registry) {
    apply_changed(registry, started_server(1000));
}
void answers(server_registry& registry) {
    note_answered(registry, server_id("a"), {socket_address("10.0.0.1:80"), 1000});
}
void drains_again(server_registry& registry) {
    apply_changed(registry, started_server(1000, true));
}

INSTANTIATE_TEST_SUITE_P(
    copies, registry_copy,
    testing::Values(
        copy_case{"same", {started_server(1000)}, {}, {started_server(1000)}, &nothing, 1, 1, 1},
        copy_case{"drained_since",
                  {started_server(1000, true)},
                  {started_server(1000)},
                  {started_server(1000)},
                  &nothing,
                  0,
                  0,
                  0},
        copy_case{"drained_since_and_again",
                  {started_server(1000, true)},
                  {started_server(1000)},
                  {started_server(1000)},
                  &drains_again,
                  0,
                  0,
                  0},
        copy_case{"removed_since", {}, {started_server(1000)}, {started_server(1000)}, &nothing, 0, 0, 0},
        copy_case{"removed_since_and_written_again",
                  {},
                  {started_server(1000)},
                  {started_server(1000)},
                  &written_again,
                  0,
                  1,
                  1},
        copy_case{"removed_since_and_answers",
                  {},
                  {started_server(1000)},
                  {started_server(1000)},
                  &answers,
                  0,
                  1,
                  1},
        copy_case{"removed_since_and_started_again",
                  {},
                  {started_server(1000)},
                  {started_server(2000)},
                  &nothing,
                  1,
                  1,
                  1},
        copy_case{"joined_since", {started_server(1000)}, {}, {}, &nothing, 1, 1, 0},
        copy_case{"joined_since_and_written_again", {started_server(1000)}, {}, {}, &written_again, 1, 1, 1},
        copy_case{"drained_since_and_not_in_the_copy",
                  {started_server(1000, true)},
                  {started_server(1000)},
                  {},
                  &nothing,
                  0,
                  0,
                  0},
        copy_case{"earlier_start_in_the_copy",
                  {started_server(2000)},
                  {started_server(1000)},
                  {started_server(1000)},
                  &nothing,
                  1,
                  1,
                  0}),
    [](const auto& it) { return it.param.name; });

// Guards against a copy that is believed because the store comes back from it once more.
TEST(server_registry, removed_server_stays_out_of_use_over_two_copies) {
    server_registry registry;
    apply_listed(registry, {started_server(1000)}, start);
    apply_removed(registry, server_id("a"), start + 1s);
    apply_copy(registry, {started_server(1000)}, false, start + 2s);
    apply_copy(registry, {started_server(1000)}, false, start + 4s);
    EXPECT_EQ(0U, count_usable(registry));
}

// Guards against a server that stays out of use for a removal that lies long back.
TEST(server_registry, removal_is_forgotten_after_a_while) {
    server_registry registry;
    apply_listed(registry, {started_server(1000)}, start);
    apply_removed(registry, server_id("a"), start + 1s);
    apply_copy(registry, {started_server(1000)}, false, start + 2s + removal_memory);
    EXPECT_EQ(1U, count_usable(registry));
}

} // namespace
} // namespace endivelever
