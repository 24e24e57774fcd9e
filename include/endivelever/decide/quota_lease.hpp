#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/object_revision.hpp"
#include "endivelever/base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace endivelever {

/// Shards of the tenants. Each has one allocator, so that a failed one stops the quotas of some tenants only.
constexpr std::size_t quota_shards = 2;
/// Validity of a lease from the sending of the call that wrote it.
constexpr duration quota_lease_time = std::chrono::milliseconds(1200);
constexpr duration quota_renewal_interval = std::chrono::milliseconds(500);
/// A lease that was not seen to change for this long is taken over. Its revision spreads with the statuses,
/// which takes up to a second if one of them is lost; taking it over too early fails and does no harm.
constexpr duration quota_takeover_silence = std::chrono::milliseconds(1250);
/// A new holder waits this much longer than a former lease can be valid, since the clocks of two VMs differ
/// in rate. They may differ by 1.5 %, far more than hardware clocks do.
constexpr duration quota_lease_margin = std::chrono::milliseconds(20);
/// Each candidate after the first one waits this much longer.
constexpr duration quota_takeover_stagger = std::chrono::milliseconds(400);

/// Hash of a VM's id; see hash_of().
using vm_hash = std::uint64_t;

/// Content of a lease's object in the store.
struct quota_lease_record {
    vm_hash holder = 0;
    incarnation life;       ///< of the holder
    std::uint64_t term = 0; ///< rises with each write, since the store ignores one that changes nothing
    bool released = false;
    /// How long after the write a former lease may still have been valid; the longest time if not known.
    std::uint32_t gate_ms = static_cast<std::uint32_t>(quota_lease_time.count() / 1'000'000);
    store_era
        era{}; ///< of the revision that this record replaces, or that was current if it is the first one

    bool operator==(const quota_lease_record&) const = default;
};

/// Lease of one shard as known to one VM. The object in the store is only written on condition that it is
/// still at the known revision, so a write that succeeds shows that the former holder has not renewed since.
struct quota_lease {
    object_revision revision;   ///< 0 if the object is not known
    quota_lease_record record;  ///< as written at that revision
    time_point learned_at{};    ///< when this VM first saw that revision; it was written before
    bool is_holder = false;     ///< this VM wrote that revision
    time_point grants_from{};   ///< the holder may grant from then on: any former lease has ended
    time_point valid_until{};   ///< until when the holder may grant
    bool is_writing = false;    ///< a write of this VM is in progress
    time_point write_started{}; ///< of the last write
    bool is_stopping = false;   ///< this VM grants nothing more and takes no lease
    time_point release_started{};
    /// An unknown lease may be valid: the store may have lost it. False at the first start of the system.
    bool may_have_former = true;
};

/// What a VM does about a lease now.
enum class quota_lease_action {
    none,
    create, ///< the object
    renew,  ///< replace the object, as its holder
    take,   ///< replace the object of another holder
    release ///< replace the object, so that another VM takes the lease at once
};

/// @return the record with which this VM takes, renews or releases the lease
/// @param era  latest that this VM knows, for a lease that it does not know
quota_lease_record next_record(const quota_lease& lease, vm_hash own, incarnation own_life, store_era era,
                               time_point now);

/// True if the known record was written in an earlier era than that of its revision: the store came back from
/// a copy. Any VM may have held the lease since that copy was taken.
bool is_copied(const quota_lease& lease);

/// @param own       hash of this VM's id
/// @param position  place of this VM among the candidates for the shard; 0 is the first
quota_lease_action next_action(const quota_lease& lease, vm_hash own, std::size_t position, time_point now);

/// True if this VM may grant tokens of the shard.
bool may_grant(const quota_lease& lease, time_point now);

/// Records that a write of this VM begins.
void note_write_started(quota_lease& lease, time_point now);

/// Records that a write took effect.
/// @param revision  in the era of `record`: a write that the store has answered in a later one may have
///                  replaced the lease of another VM, whose revision is the same by chance
/// @param record    as written by this VM
/// @param started   when it was sent
void note_written(quota_lease& lease, object_revision revision, const quota_lease_record& record,
                  time_point started);

/// Records that the write failed, or that its result is not known.
void note_write_failed(quota_lease& lease);

/// Records that the store came back from a copy. It may have lost a lease that this VM has never seen.
void note_new_era(quota_lease& lease);

/// Records that the store has no object, although one was known: it came back from a copy without it.
void note_lost(quota_lease& lease, store_era era);

/// Applies a revision that was read from the store or named by another VM. Older ones are ignored. One of a
/// later era ends the lease of this VM, since another one may have held it meanwhile.
/// @param own       hash of this VM's id
/// @param own_life  life of this process
void note_seen(quota_lease& lease, object_revision revision, const quota_lease_record& record, vm_hash own,
               incarnation own_life, time_point now);

/// Gives the lease up: this VM grants nothing from now on, and next_action() asks to release the lease.
void stop_granting(quota_lease& lease);

/// Shard of a tenant.
/// @param tenant  hash of the tenant's id
std::size_t shard_of(std::uint64_t tenant);

} // namespace endivelever
