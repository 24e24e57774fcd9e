#include "endivelever/decide/quota_lease.hpp"

#include <algorithm>

namespace endivelever {

quota_lease_record next_record(const quota_lease& lease, vm_hash own, incarnation own_life) {
    return {own, own_life, lease.record.term + 1, lease.is_stopping};
}

quota_lease_action next_action(const quota_lease& lease, std::size_t position, time_point now) {
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
    if (lease.revision == 0) {
        return quota_lease_action::create;
    }
    const auto silence = lease.record.released ? duration::zero() : quota_takeover_silence;
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

void note_written(quota_lease& lease, std::uint64_t revision, const quota_lease_record& record,
                  time_point started) {
    lease.is_writing = false;
    if (revision <= lease.revision) {
        return; // another VM has taken the lease since
    }
    if (!lease.is_holder) {
        const bool is_known = lease.revision != 0;
        const bool had_holder = is_known ? !lease.record.released : lease.may_have_former;
        // A known revision was written before it was learned here. A lost one was valid until this write.
        const auto written_before = is_known ? lease.learned_at : started;
        lease.grants_from = had_holder ? written_before + quota_lease_time + quota_lease_margin : started;
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

void note_seen(quota_lease& lease, std::uint64_t revision, const quota_lease_record& record, vm_hash own,
               incarnation own_life, time_point now) {
    if (revision <= lease.revision) {
        return;
    }
    const bool is_own = record.holder == own && record.life == own_life && !record.released;
    // A renewal took effect although its response was lost: the next one uses its revision. Its validity is
    // not extended by it.
    lease.is_holder = lease.is_holder && is_own;
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
