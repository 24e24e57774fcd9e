#include "endivelever/decide/quota_lease.hpp"

#include <algorithm>

namespace endivelever {

namespace {

/// When the leases of others have ended, if this VM takes the lease with a write that it sends at `started`.
time_point former_lease_end(const quota_lease& lease, vm_hash own, time_point started) {
    if (lease.revision.value == 0) {
        // A lost object was valid until this write at the latest.
        return lease.may_have_former ? started + quota_lease_time + quota_lease_margin : started;
    }
    if (is_copied(lease)) {
        // The lease after this record is lost. It was written before the store came back.
        return std::max(started, lease.learned_at + quota_lease_time + quota_lease_margin);
    }
    if (lease.record.released) {
        return started;
    }
    // The known revision was written before it was learned here. If this VM has written it, in a former life
    // or without hearing the result, only the lease before that one may be valid.
    const auto left = lease.record.holder == own ? std::chrono::milliseconds(lease.record.gate_ms)
                                                 : duration(quota_lease_time);
    return left == duration::zero() ? started : lease.learned_at + left + quota_lease_margin;
}

} // namespace

quota_lease_record next_record(const quota_lease& lease, vm_hash own, incarnation own_life, store_era era,
                               time_point now) {
    const auto gate = lease.is_holder ? lease.grants_from : former_lease_end(lease, own, now);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(std::max(duration::zero(), gate - now));
    return {own,
            own_life,
            lease.record.term + 1,
            lease.is_stopping,
            static_cast<std::uint32_t>(left.count()),
            lease.revision.value != 0 ? lease.revision.era : era};
}

bool is_copied(const quota_lease& lease) {
    return lease.revision.value != 0 && lease.record.era < lease.revision.era;
}

quota_lease_action next_action(const quota_lease& lease, vm_hash own, std::size_t position, time_point now) {
    if (lease.is_writing) {
        return quota_lease_action::none;
    }
    if (lease.is_stopping) {
        const bool is_due = lease.is_holder && (lease.release_started == time_point{} ||
                                                now - lease.release_started >= quota_renewal_interval);
        return is_due ? quota_lease_action::release : quota_lease_action::none;
    }
    if (lease.is_holder) {
        const bool is_due = now - lease.write_started >= quota_renewal_interval;
        return is_due ? quota_lease_action::renew : quota_lease_action::none;
    }
    const auto patience = static_cast<int>(position) * quota_takeover_stagger;
    if (now - lease.write_started < quota_renewal_interval + patience) {
        return quota_lease_action::none; // the last attempt has just failed
    }
    if (lease.revision.value == 0) {
        return quota_lease_action::create;
    }
    // Nobody uses a lease of a former life of this VM, or one that it has written without hearing the result,
    // or one that only a copy of the store holds.
    const bool is_unused = lease.record.released || lease.record.holder == own || is_copied(lease);
    const auto silence = is_unused ? duration::zero() : quota_takeover_silence;
    return now - lease.learned_at >= silence + patience ? quota_lease_action::take : quota_lease_action::none;
}

bool may_grant(const quota_lease& lease, time_point now) {
    return lease.is_holder && !lease.is_stopping && now >= lease.grants_from && now < lease.valid_until;
}

void note_write_started(quota_lease& lease, time_point now) {
    lease.is_writing = true;
    lease.write_started = now;
    if (lease.is_stopping) {
        lease.release_started = now;
    }
}

void note_written(quota_lease& lease, object_revision revision, const quota_lease_record& record,
                  time_point started) {
    lease.is_writing = false;
    if (revision <= lease.revision) {
        return; // another VM has taken the lease since
    }
    if (!lease.is_holder) {
        lease.grants_from = std::max(started, former_lease_end(lease, record.holder, started));
    }
    lease.is_holder = !record.released;
    lease.revision = revision;
    lease.record = record;
    lease.learned_at = started;
    lease.valid_until = started + quota_lease_time;
}

void note_write_failed(quota_lease& lease) {
    lease.is_writing = false;
}

void note_new_era(quota_lease& lease) {
    lease.may_have_former = true;
}

void note_lost(quota_lease& lease, store_era era) {
    lease.is_writing = false;
    lease.is_holder = false;
    lease.revision = {era, 0};
    lease.may_have_former = true;
}

void note_seen(quota_lease& lease, object_revision revision, const quota_lease_record& record, vm_hash own,
               incarnation own_life, time_point now) {
    const bool is_named_in_full = record.life != incarnation{};
    if (revision == lease.revision && is_named_in_full && lease.record.life == incarnation{}) {
        lease.record = record; // a status has named this revision before
        return;
    }
    if (revision <= lease.revision) {
        return;
    }
    const bool is_own = record.holder == own && record.life == own_life && !record.released;
    // A renewal took effect although its response was lost: the next one uses its revision. Its validity is
    // not extended by it.
    lease.is_holder = lease.is_holder && is_own && revision.era == lease.revision.era;
    lease.revision = revision;
    lease.record = record;
    lease.learned_at = now;
}

void stop_granting(quota_lease& lease) {
    lease.is_stopping = true;
}

std::size_t shard_of(std::uint64_t tenant) {
    return tenant % quota_shards;
}

} // namespace endivelever
