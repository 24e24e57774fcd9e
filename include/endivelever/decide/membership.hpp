#pragma once

#include "endivelever/base/time.hpp"
#include "endivelever/config/vm_list.hpp"
#include "endivelever/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace endivelever {

struct member_entry {
    member_record record;
    time_point last_heard{}; ///< last direct heartbeat; default if never
    time_point listed_at{};  ///< when the VM list first named it
    bool listed = false;
    bool listed_leaving = false;
};

struct membership_limits {
    duration suspect_after = std::chrono::milliseconds(1500);
    duration forget_after = std::chrono::seconds(30);
    std::size_t max_members = 256; ///< further members are ignored
};

/// Members as one control sees them, itself included.
struct membership {
    member_record self;
    membership_limits limits;
    std::map<vm_id, member_entry> others;
    bool self_listed_leaving = false; ///< the VM list says that this VM is leaving
};

/// What a heartbeat changed.
enum class heartbeat_effect {
    newer,          ///< the record was taken over
    ignored,        ///< repeated, own, or over the limit of members
    outdated,       ///< older than the known record: answer with that one, the sender may have restarted
    own_life_raised ///< this process took the next life
};

/// Merges the VM list: adds and marks listed members.
void merge_vm_list(membership& members, const vm_list& list, time_point now);

/// Merges a heartbeat of a peer. A record of a lower life or, in the same life, a lower sequence is ignored.
/// If the record names this VM with a higher life, or with this life and a sequence that this process has not
/// sent, this process takes the next life.
heartbeat_effect merge_heartbeat(membership& members, const member_record& record, time_point now);

/// Removes members that are neither listed nor heard of within the limit.
/// @return ids of removed members
std::vector<vm_id> forget_silent(membership& members, time_point now);

/// True if the member was heard of within the suspicion limit.
bool is_reachable(const membership& members, const member_entry& member, time_point now);

/// Members for address responses: reachable, live, with a connected entry; this VM included if it serves.
std::vector<member_record> serving_members(const membership& members, time_point now);

/// True if this member is the one of its failure domain that watches the store.
/// Rendezvous hashing over the domain's reachable members, leaving ones included: the member with the highest
/// rank always watches, whatever it sees of the others, so different views never leave a domain unwatched.
bool is_watcher(const membership& members, time_point now);

/// Members to hold a link to: every known one but this VM and those that are leaving and silent.
std::vector<member_record> link_targets(const membership& members, time_point now);

} // namespace endivelever
