#pragma once

#include "endivelever/base/time.hpp"
#include "endivelever/config/vm_list.hpp"
#include "endivelever/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace endivelever {

/// State of another member.
struct member_entry {
    member_record record;
    time_point last_heard{};     ///< last heartbeat from the member itself; default if none
    time_point listed_at{};      ///< first appearance in the VM list
    bool listed = false;         ///< present in the current VM list
    bool listed_leaving = false; ///< marked as leaving in the VM list
};

struct membership_limits {
    duration suspect_after = std::chrono::milliseconds(1500); ///< a silent member becomes unreachable
    duration remove_after = std::chrono::seconds(30);         ///< a silent, unlisted member is removed
    std::size_t max_members = 256;                            ///< further members are ignored
};

/// Members as seen by one control, including itself.
struct membership {
    member_record self;
    membership_limits limits;
    std::map<vm_id, member_entry> others;
    bool self_listed_leaving = false; ///< the VM list says that this VM is leaving
};

/// Effect of a received heartbeat.
enum class heartbeat_effect {
    newer,    ///< the record was stored
    ignored,  ///< repeated, an echo of this member's own record, or beyond max_members
    outdated, ///< older than the known record; reply with the known one, as the sender may have restarted
    own_incarnation_raised ///< this process advanced to a higher incarnation
};

/// Merges the VM list: adds new members and updates which ones are listed and leaving.
void merge_vm_list(membership& members, const vm_list& list, time_point now);

/// Merges a heartbeat of a peer. A record with a lower incarnation or, in the same incarnation, a lower
/// sequence is not stored. If the record names this VM with a higher incarnation, or with the current one and
/// a sequence that this process has not sent, this process advances to the incarnation after the record's.
heartbeat_effect merge_heartbeat(membership& members, const member_record& record, time_point now);

/// Removes members that are not listed and have been silent for longer than the limit.
/// @return ids of removed members
std::vector<vm_id> remove_silent(membership& members, time_point now);

/// True if a heartbeat of the member arrived within membership_limits::suspect_after.
bool is_reachable(const membership& members, const member_entry& member, time_point now);

/// Members for address responses: reachable, live and with a connected entry. Includes this VM if it serves.
std::vector<member_record> serving_members(const membership& members, time_point now);

/// True if this member watches the store on behalf of its failure domain.
/// The watcher is elected by rendezvous hashing over the reachable members of the domain, including leaving
/// ones. The member with the highest hash watches regardless of which other members it can reach, so
/// differing views never leave a domain without a watcher.
bool is_watcher(const membership& members, time_point now);

/// Members to keep a link to: all known ones except this VM and those that are leaving and unreachable.
std::vector<member_record> link_targets(const membership& members, time_point now);

} // namespace endivelever
