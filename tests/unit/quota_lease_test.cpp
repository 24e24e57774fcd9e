#include "endivelever/decide/quota_lease.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr vm_hash own = 7;
constexpr vm_hash other = 8;
constexpr incarnation life{3};
constexpr time_point start{100s};
constexpr store_era no_era{};

/// Revision of a store that names no era.
constexpr object_revision numbered(std::uint64_t value) {
    return {no_era, value};
}

/// Lease that this VM has written at `start`, as the first revision.
quota_lease held_lease() {
    quota_lease lease;
    lease.may_have_former = false;
    note_write_started(lease, start);
    note_written(lease, numbered(10), next_record(lease, own, life, no_era, start), start);
    return lease;
}

// -- release on a planned stop ---------------------------------------------------------------------------

// Guards against a VM that grants again once its release has been stored, beside the next holder.
TEST(quota_lease, is_not_held_again_after_its_release_is_stored) {
    auto lease = held_lease();
    stop_granting(lease);
    EXPECT_EQ(quota_lease_action::release, next_action(lease, own, 0, start + 300ms));
    const auto record = next_record(lease, own, life, no_era, start);
    EXPECT_TRUE(record.released);
    note_write_started(lease, start + 300ms);
    note_written(lease, numbered(11), record, start + 300ms);
    for (auto at = start; at < start + 3s; at += 10ms) {
        EXPECT_FALSE(may_grant(lease, at));
        EXPECT_EQ(quota_lease_action::none, next_action(lease, own, 0, at));
    }
}

// Guards against a renewal that is answered after the decision to stop: the lease is still held in the store,
// and has to be released, not used.
TEST(quota_lease, is_released_after_a_renewal_in_progress) {
    auto lease = held_lease();
    const auto renewal = next_record(lease, own, life, no_era, start);
    note_write_started(lease, start + 500ms);
    stop_granting(lease);
    EXPECT_EQ(quota_lease_action::none, next_action(lease, own, 0, start + 501ms));
    note_written(lease, numbered(11), renewal, start + 500ms);
    EXPECT_FALSE(may_grant(lease, start + 502ms));
    EXPECT_EQ(quota_lease_action::release, next_action(lease, own, 0, start + 502ms));
}

// Guards against a release that is sent again without a pause while the store refuses it.
TEST(quota_lease, release_that_failed_is_tried_again_after_the_renewal_interval) {
    auto lease = held_lease();
    stop_granting(lease);
    note_write_started(lease, start + 300ms);
    note_write_failed(lease);
    EXPECT_EQ(quota_lease_action::none, next_action(lease, own, 0, start + 700ms));
    EXPECT_EQ(quota_lease_action::release, next_action(lease, own, 0, start + 800ms));
}

// -- validity --------------------------------------------------------------------------------------------

// Guards against a validity that is counted from another write than the one that was answered.
TEST(quota_lease, is_valid_from_the_sending_of_the_write_that_succeeded) {
    auto lease = held_lease();
    note_write_started(lease, start + 500ms);
    note_written(lease, numbered(11), next_record(lease, own, life, no_era, start), start + 500ms);
    EXPECT_TRUE(may_grant(lease, start + 500ms + quota_lease_time - 1ms));
    EXPECT_FALSE(may_grant(lease, start + 500ms + quota_lease_time));
}

struct takeover_case {
    const char* name;
    std::uint64_t known_revision; ///< 0 if the VM knows no lease
    bool released;
    bool may_have_former;
    duration grants_after; ///< from the sending of the write that took the lease
};

struct quota_lease_takeover : testing::TestWithParam<takeover_case> {};

// Guards against two holders: a lease that the former one may still hold is used only after it has ended. One
// that is not in the store may have been lost together with the history of the store.
TEST_P(quota_lease_takeover, grants_only_after_the_former_lease_has_ended) {
    const auto& param = GetParam();
    quota_lease lease;
    lease.may_have_former = param.may_have_former;
    if (param.known_revision != 0) {
        note_seen(lease, numbered(param.known_revision), {other, {}, 5, param.released}, own, life, start);
    }
    const auto taken_at = start + 100ms;
    note_write_started(lease, taken_at);
    note_written(lease, numbered(11), next_record(lease, own, life, no_era, start), taken_at);
    EXPECT_FALSE(may_grant(lease, taken_at + param.grants_after - 1ms));
    EXPECT_TRUE(lease.is_holder);
    EXPECT_EQ(taken_at + param.grants_after, lease.grants_from);
}

INSTANTIATE_TEST_SUITE_P(
    former, quota_lease_takeover,
    testing::Values(takeover_case{"holds", 10, false, true, quota_lease_time + quota_lease_margin - 100ms},
                    takeover_case{"released", 10, true, true, 0ms},
                    takeover_case{"not_in_the_store", 0, false, true, quota_lease_time + quota_lease_margin},
                    takeover_case{"first_start", 0, false, false, 0ms}),
    [](const auto& it) { return it.param.name; });

struct attempt_case {
    const char* name;
    std::size_t position;
    bool released;
    duration silence; ///< since the revision was learned
    quota_lease_action action;
};

struct quota_lease_attempt : testing::TestWithParam<attempt_case> {};

// Guards against candidates that all write at the same moment, and against a lease that nobody takes.
TEST_P(quota_lease_attempt, follows_the_order_of_the_candidates) {
    const auto& param = GetParam();
    quota_lease lease;
    note_seen(lease, numbered(10), {other, {}, 5, param.released}, own, life, start);
    EXPECT_EQ(param.action, next_action(lease, own, param.position, start + param.silence));
}

INSTANTIATE_TEST_SUITE_P(
    silence, quota_lease_attempt,
    testing::Values(attempt_case{"renewed", 0, false, 1249ms, quota_lease_action::none},
                    attempt_case{"silent", 0, false, 1250ms, quota_lease_action::take},
                    attempt_case{"second_waits", 1, false, 1649ms, quota_lease_action::none},
                    attempt_case{"second_takes", 1, false, 1650ms, quota_lease_action::take},
                    attempt_case{"released", 0, true, 0ms, quota_lease_action::take},
                    attempt_case{"released_second_waits", 1, true, 399ms, quota_lease_action::none},
                    attempt_case{"released_second_takes", 1, true, 400ms, quota_lease_action::take}),
    [](const auto& it) { return it.param.name; });

// -- lost answers and late writes ------------------------------------------------------------------------

// Guards against a lease that is extended by a renewal without an answer.
TEST(quota_lease, is_not_extended_by_a_renewal_whose_answer_is_lost) {
    auto lease = held_lease();
    const auto renewal = next_record(lease, own, life, no_era, start);
    note_write_started(lease, start + 500ms);
    note_write_failed(lease);
    note_seen(lease, numbered(11), renewal, own, life, start + 600ms);
    EXPECT_TRUE(lease.is_holder);
    EXPECT_TRUE(may_grant(lease, start + quota_lease_time - 1ms));
    EXPECT_FALSE(may_grant(lease, start + quota_lease_time));
}

// Guards against a VM that grants because it sees a record of its own that it was never told to have written.
TEST(quota_lease, is_not_held_after_a_late_write_of_a_candidate) {
    quota_lease lease;
    note_seen(lease, numbered(10), {other, {}, 5, false}, own, life, start);
    const auto record = next_record(lease, own, life, no_era, start);
    note_write_started(lease, start + 2s);
    note_write_failed(lease);
    note_seen(lease, numbered(11), record, own, life, start + 5s);
    EXPECT_FALSE(lease.is_holder);
    EXPECT_FALSE(may_grant(lease, start + 5s));
}

struct seen_case {
    const char* name;
    std::uint64_t revision;
    quota_lease_record record;
    bool still_holds;
};

struct quota_lease_seen : testing::TestWithParam<seen_case> {};

// Guards against a holder that ignores its successor, also one with its own id after a restart.
TEST_P(quota_lease_seen, ends_the_lease_if_another_process_has_written_it) {
    auto lease = held_lease();
    note_seen(lease, numbered(GetParam().revision), GetParam().record, own, life, start + 100ms);
    EXPECT_EQ(GetParam().still_holds, may_grant(lease, start + 100ms));
}

INSTANTIATE_TEST_SUITE_P(records, quota_lease_seen,
                         testing::Values(seen_case{"other_vm", 11, {other, life, 5, false}, false},
                                         seen_case{"other_life", 11, {own, incarnation{4}, 5, false}, false},
                                         seen_case{"own", 11, {own, life, 5, false}, true},
                                         seen_case{"older", 9, {other, life, 5, false}, true}),
                         [](const auto& it) { return it.param.name; });

// Guards against a write that is answered after another VM has taken the lease, such as after a pause.
TEST(quota_lease, is_not_held_if_the_answer_arrives_after_that_of_a_newer_revision) {
    auto lease = held_lease();
    const auto renewal = next_record(lease, own, life, no_era, start);
    note_write_started(lease, start + 500ms);
    note_seen(lease, numbered(12), {other, life, 9, false}, own, life, start + 4s);
    note_written(lease, numbered(11), renewal, start + 500ms);
    EXPECT_FALSE(lease.is_holder);
    EXPECT_EQ(numbered(12), lease.revision);
}

// Guards against waiting, after a restart, for a lease that a former life of this VM held, when a status has
// named the lease before the store did.
TEST(quota_lease, of_a_former_life_is_taken_at_once) {
    quota_lease lease;
    note_seen(lease, numbered(10), {own, {}, 0, false}, own, life, start);
    note_seen(lease, numbered(10), {own, incarnation{2}, 5, false, 0}, own, life, start + 10ms);
    EXPECT_EQ(quota_lease_action::take, next_action(lease, own, 0, start + 11ms));
    const auto record = next_record(lease, own, life, no_era, start + 11ms);
    note_write_started(lease, start + 11ms);
    note_written(lease, numbered(11), record, start + 11ms);
    EXPECT_TRUE(may_grant(lease, start + 12ms));
}

// Guards against two allocators after a lease was taken while a former one was valid, and its holder
// restarted.
TEST(quota_lease, of_a_former_life_keeps_the_end_of_the_lease_before_it) {
    quota_lease lease;
    note_seen(lease, numbered(10), {own, incarnation{2}, 5, false, 700}, own, life, start);
    const auto record = next_record(lease, own, life, no_era, start);
    note_write_started(lease, start);
    note_written(lease, numbered(11), record, start);
    EXPECT_FALSE(may_grant(lease, start + 700ms));
    EXPECT_TRUE(may_grant(lease, start + 700ms + quota_lease_margin));
    EXPECT_GE(next_record(lease, own, life, no_era, start + 100ms).gate_ms, 600U);
}

// -- eras of the store -----------------------------------------------------------------------------------

constexpr store_era first_era{1};
constexpr store_era second_era{2};
constexpr duration full_wait = quota_lease_time + quota_lease_margin;

quota_lease_record record_of(vm_hash holder, bool released, store_era era) {
    quota_lease_record record{holder, life, 5, released, 0};
    record.era = era;
    return record;
}

struct copied_case {
    const char* name;
    quota_lease_record record; ///< as the store shows it in its second era, with a lower revision
    bool holds = false;        ///< this VM held the lease in the first era
    duration grants_after;     ///< from the moment at which the record was seen
};

struct quota_lease_copy : testing::TestWithParam<copied_case> {};

// Guards against tenants without an allocator after the store came back from an older copy, and against two
// allocators: any VM may have held the lease since the copy was taken.
TEST_P(quota_lease_copy, is_taken_at_once_and_used_when_all_leases_of_the_former_era_have_ended) {
    const auto& param = GetParam();
    quota_lease lease;
    lease.may_have_former = false;
    if (param.holds) {
        note_write_started(lease, start);
        note_written(lease, {first_era, 90}, next_record(lease, own, life, first_era, start), start);
    } else {
        note_seen(lease, {first_era, 90}, record_of(other, false, first_era), own, life, start);
    }
    const auto seen_at = start + 700ms;
    note_seen(lease, {second_era, 40}, param.record, own, life, seen_at);
    EXPECT_FALSE(may_grant(lease, seen_at));
    EXPECT_EQ(quota_lease_action::take, next_action(lease, own, 0, seen_at));
    const auto record = next_record(lease, own, life, second_era, seen_at);
    note_write_started(lease, seen_at);
    note_written(lease, {second_era, 41}, record, seen_at);
    EXPECT_EQ(seen_at + param.grants_after, lease.grants_from);
    EXPECT_EQ(second_era, lease.record.era);
}

INSTANTIATE_TEST_SUITE_P(
    records, quota_lease_copy,
    testing::Values(copied_case{"of_another_vm", record_of(other, false, first_era), false, full_wait},
                    copied_case{"released", record_of(other, true, first_era), false, full_wait},
                    copied_case{"own", record_of(own, false, first_era), false, full_wait},
                    copied_case{"own_while_it_holds", record_of(own, false, first_era), true, full_wait},
                    copied_case{"of_another_vm_while_it_holds", record_of(other, false, first_era), true,
                                full_wait},
                    copied_case{"released_in_the_new_era", record_of(other, true, second_era), false, 0ms}),
    [](const auto& it) { return it.param.name; });

// Guards against a lease that is never taken again because the copy has no object of it.
TEST(quota_lease, that_the_copy_lacks_is_created_and_used_after_the_former_one_has_ended) {
    auto lease = held_lease();
    note_write_started(lease, start + 500ms);
    note_lost(lease, second_era);
    EXPECT_FALSE(may_grant(lease, start + 510ms));
    note_seen(lease, {first_era, 95}, record_of(other, false, first_era), own, life, start + 520ms);
    EXPECT_EQ(0U, lease.revision.value); // the status of a peer in the former era
    const auto created_at = start + 1s;
    EXPECT_EQ(quota_lease_action::create, next_action(lease, own, 0, created_at));
    const auto record = next_record(lease, own, life, second_era, created_at);
    note_write_started(lease, created_at);
    note_written(lease, {second_era, 12}, record, created_at);
    EXPECT_EQ(created_at + full_wait, lease.grants_from);
}

} // namespace
} // namespace endivelever
