#include "endivelever/decide/quota_lease.hpp"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <string>
#include <unordered_set>
#include <vector>
#include <xxhash.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t vm_count = 3;
constexpr time_point start{100s};
// Divides the time of a lease, so that the end of a validity is met exactly.
constexpr duration step_time = 600ms;
constexpr int max_steps = 5;

/// A conditional write that the store may execute at any time, and whose answer may be lost.
struct pending_write {
    bool exists = false;
    bool waits = false; ///< its VM still waits for the answer
    std::uint64_t expected = 0;
    quota_lease_record record;
    time_point sent{};
};

/// State of the store, the VMs and the writes under way.
struct lease_state {
    int steps = 0;
    std::uint64_t writes_left = 0;
    std::uint64_t revision = 0;
    quota_lease_record record;
    std::array<quota_lease, vm_count> leases;
    std::array<pending_write, vm_count> pending;

    [[nodiscard]] time_point now() const { return start + steps * step_time; }
};

/// Revision of a store that names no era.
object_revision numbered(std::uint64_t value) {
    return {store_era{}, value};
}

vm_hash hash(std::size_t vm) {
    return 10 + vm;
}

void append(std::string& out, std::uint64_t value) {
    out.append(reinterpret_cast<const char*>(&value), sizeof(value));
}

void append(std::string& out, time_point value) {
    append(out, static_cast<std::uint64_t>(value.time_since_epoch().count()));
}

void append(std::string& out, const quota_lease_record& it) {
    append(out, it.holder);
    append(out, it.released ? 1U : 0U);
}

/// Everything that the future of a state depends on. Times that lie further back than the time of a lease
/// have the same effect.
std::uint64_t key_of(const lease_state& it) {
    std::string out;
    const auto oldest = it.now() - quota_lease_time - quota_lease_margin;
    append(out, static_cast<std::uint64_t>(it.steps));
    append(out, it.writes_left);
    append(out, it.revision);
    append(out, it.record);
    for (std::size_t i = 0; i < vm_count; ++i) {
        const auto& lease = it.leases[i];
        append(out, lease.revision.value);
        append(out, lease.record);
        append(out, std::max(oldest, lease.learned_at));
        append(out, lease.is_holder ? std::max(oldest, lease.grants_from) : time_point{});
        append(out, lease.is_holder ? std::max(oldest, lease.valid_until) : time_point{});
        append(out,
               (lease.is_holder ? 1U : 0U) + (lease.is_writing ? 2U : 0U) + (lease.is_stopping ? 4U : 0U));
        const auto& write = it.pending[i];
        append(out, (write.exists ? 1U : 0U) + (write.waits ? 2U : 0U));
        append(out, write.expected);
        append(out, write.record);
        append(out, write.waits ? std::max(oldest, write.sent) : time_point{});
    }
    return XXH3_64bits(out.data(), out.size());
}

/// Lets the store execute the write of a VM, and answers it or loses the answer.
lease_state execute(lease_state it, std::size_t vm, bool answers) {
    auto& write = it.pending[vm];
    auto& lease = it.leases[vm];
    const bool is_written = write.expected == it.revision;
    if (is_written) {
        ++it.revision;
        it.record = write.record;
    }
    if (write.waits && answers && is_written) {
        note_written(lease, numbered(it.revision), write.record, write.sent);
    } else if (write.waits) {
        note_write_failed(lease);
        if (answers) {
            note_seen(lease, numbered(it.revision), it.record, hash(vm), incarnation{1}, it.now());
        }
    }
    write = {};
    return it;
}

/// States that follow from one event at a VM. A VM may write at any time, not only when next_action() says
/// so: the patience of the candidates is no condition of safety. A pause or a cut is a VM without events.
std::vector<lease_state> events_at(const lease_state& from, std::size_t vm) {
    std::vector<lease_state> out;
    const auto& lease = from.leases[vm];
    const auto& write = from.pending[vm];
    if (write.exists) {
        out.push_back(execute(from, vm, true));
        out.push_back(execute(from, vm, false));
    }
    if (write.exists && write.waits) {
        // The VM gives up, and the write may take effect later.
        auto it = from;
        note_write_failed(it.leases[vm]);
        it.pending[vm].waits = false;
        out.push_back(it);
    }
    const bool may_write = !lease.is_stopping || lease.is_holder;
    if (!write.exists && !lease.is_writing && from.writes_left > 0 && may_write) {
        auto it = from;
        --it.writes_left;
        it.pending[vm] = {true, true, lease.revision.value,
                          next_record(lease, hash(vm), incarnation{1}, store_era{}, from.now()), from.now()};
        note_write_started(it.leases[vm], from.now());
        out.push_back(it);
    }
    if (!lease.is_stopping && lease.is_holder) {
        auto it = from;
        stop_granting(it.leases[vm]);
        out.push_back(it);
    }
    for (std::size_t other = 0; other < vm_count; ++other) {
        const auto& known = from.leases[other];
        if (known.revision > lease.revision) {
            auto it = from;
            note_seen(it.leases[vm], known.revision, {known.record.holder, {}, 0, known.record.released},
                      hash(vm), incarnation{1}, from.now());
            out.push_back(it);
        }
    }
    return out;
}

struct exploration {
    std::size_t states = 0;
    std::size_t granting = 0; ///< states in which a VM may grant
    std::size_t with_two = 0; ///< states in which two may
};

exploration explore(const lease_state& first) {
    exploration found;
    std::unordered_set<std::uint64_t> known{key_of(first)};
    std::vector<lease_state> open{first};
    const auto add = [&](const lease_state& it) {
        if (known.insert(key_of(it)).second) {
            open.push_back(it);
        }
    };
    while (!open.empty()) {
        const auto it = open.back();
        open.pop_back();
        std::size_t grants = 0;
        for (const auto& lease : it.leases) {
            grants += may_grant(lease, it.now()) ? 1 : 0;
        }
        ++found.states;
        found.granting += grants > 0 ? 1 : 0;
        found.with_two += grants > 1 ? 1 : 0;
        for (std::size_t vm = 0; vm < vm_count; ++vm) {
            for (const auto& next : events_at(it, vm)) {
                add(next);
            }
        }
        if (it.steps < max_steps) {
            auto next = it;
            ++next.steps;
            add(next);
        }
    }
    return found;
}

/// Three VMs, the first of which holds the lease.
lease_state with_holder() {
    lease_state it;
    it.writes_left = 2;
    it.revision = 1;
    it.record = {hash(0), incarnation{1}, 1, false};
    it.leases[0].may_have_former = false;
    note_write_started(it.leases[0], start);
    note_written(it.leases[0], numbered(1), it.record, start);
    return it;
}

// Guards against two VMs that may grant at the same time, in any order of writes, lost answers, late writes,
// statuses, stops and pauses within the bounds of the exploration.
TEST(quota_lease_exploration, no_two_vms_may_grant_after_a_first_holder) {
    const auto found = explore(with_holder());
    EXPECT_EQ(0U, found.with_two);
    EXPECT_GT(found.granting, 1000U);
    RecordProperty("states", std::to_string(found.states));
}

// Guards against the same at the first start, when no VM knows a lease.
TEST(quota_lease_exploration, no_two_vms_may_grant_from_the_first_start) {
    lease_state first;
    first.writes_left = 3;
    for (auto& it : first.leases) {
        it.may_have_former = false;
    }
    const auto found = explore(first);
    EXPECT_EQ(0U, found.with_two);
    EXPECT_GT(found.granting, 1000U);
    RecordProperty("states", std::to_string(found.states));
}

} // namespace
} // namespace endivelever
