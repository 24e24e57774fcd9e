#pragma once

#include "endivelever/base/time.hpp"
#include "endivelever/config/routing.hpp"
#include "endivelever/decide/incarnation_standing.hpp"

#include <map>
#include <vector>

namespace endivelever {

/// One registered server as known to this VM.
struct registry_entry {
    registered_server server;
    /// Set while the entry is missing from the object store and may have expired because of a store outage.
    bool missing = false;
    time_point missing_until{}; ///< the server counts as removed from then on
};

/// One incarnation of a server.
struct server_incarnation {
    socket_address address;
    std::int64_t start_ms = 0;
    auto operator<=>(const server_incarnation&) const = default;
};

/// An incarnation whose entry was removed from the store.
struct removed_incarnation {
    server_incarnation incarnation;
    time_point removed_at{};
};

/// An incarnation of which is known that it takes no further requests.
struct ended_incarnation {
    server_incarnation incarnation;
    incarnation_end end = incarnation_end::none;
};

/// Servers registered in the object store. Entries that expire during a store outage are kept until their
/// servers have had time to register again.
struct server_registry {
    std::map<server_id, registry_entry> entries;
    /// Incarnations that have ended by what servers have answered, whatever their entries say.
    std::map<server_id, ended_incarnation> ended;
    /// Entries that were removed lately, in case that the store comes back from a copy that still has them.
    std::map<server_id, removed_incarnation> removed;
    bool is_reading_copy = false;         ///< between begin_copy() and end_copy()
    bool loaded = false;                  ///< a complete list has been applied
    bool store_unavailable = false;       ///< the last call of this VM to the store failed
    time_point store_unavailable_since{}; ///< first of the failed calls
    bool outage_confirmed = false;        ///< since then, nobody has read it for shortest_expiring_outage
    time_point store_available_since{};   ///< when the store answered again after an outage; default if it
                                          ///< never failed
};

/// Time that a server may take to register again once the store answers after an outage. Servers renew their
/// entry about every 1.5 s, and the platform specifies two seconds.
constexpr duration reregistration_time = std::chrono::milliseconds(2200);

/// An outage that is seen for less than this expires no entry: servers renew theirs about every 1.5 s, the
/// store removes one after three such intervals, and an outage is noticed within a second.
constexpr duration shortest_expiring_outage = std::chrono::seconds(2);

/// Records that a call of this VM to the store failed.
void note_store_failure(server_registry& registry, time_point now);

/// Records that the store answered this VM. After an outage, missing entries get reregistration_time from
/// `now` on. If other VMs read the store all the time, it was not away: only this VM was cut off.
/// @param others_read_at  when other VMs last read the store successfully; default if that is not known
void note_store_success(server_registry& registry, time_point now, time_point others_read_at = {});

/// Notes, while calls of this VM fail, whether other VMs still read the store. Called regularly.
void observe_other_reads(server_registry& registry, time_point others_read_at, time_point now);

/// Forgets the state of the store, when this VM no longer calls it.
void forget_store_state(server_registry& registry);

/// How long a removed entry is remembered. A copy from which the store comes back is some seconds old.
constexpr duration removal_memory = std::chrono::seconds(60);

/// Begins to apply the first list after the store came back from an older copy. What this VM knows outranks
/// the copy: a server that was draining stays so, one whose entry was removed takes no request until the
/// store writes its entry again or it answers itself, and an earlier incarnation replaces no later one.
/// Entries that the copy lacks are missing for reregistration_time, as after an outage.
void begin_copy(server_registry& registry, time_point now);
void end_copy(server_registry& registry);

/// Applies a complete list of the registered servers. Entries that are not listed are treated as in
/// apply_removed().
void apply_listed(server_registry& registry, const std::vector<registered_server>& listed, time_point now);

/// Servers whose entry is missing and may have expired in an outage, with the time that they have left to
/// register again. The VM that read the store decides which; others take that over from it.
using expired_servers = std::map<server_id, duration>;

/// @return the servers whose entries are missing but kept
expired_servers missing_servers(const server_registry& registry, time_point now);

/// Applies a complete list from a peer. Entries that are not listed are removed, unless the peer keeps them.
void apply_peer_list(server_registry& registry, const std::vector<registered_server>& listed,
                     const expired_servers& expired, time_point now);

/// Removes one entry that a peer has reported as removed, or marks it as missing if the peer keeps it.
void apply_peer_removal(server_registry& registry, const server_id& id, const expired_servers& expired,
                        time_point now);

/// Adds or replaces one entry that the store has written. A new write shows that the server lives, also if
/// another one has answered at its address.
void apply_changed(server_registry& registry, const registered_server& server);

/// Most incarnations that are remembered as ended; beyond it, those without an entry are forgotten.
constexpr std::size_t max_ended_servers = 4096;

/// Records that a server has said itself that it leaves. Its entry counts as draining for as long as this
/// incarnation lives, also when it comes back by a list, from a peer or after an outage.
/// @return true if that was not known
bool note_leaving(server_registry& registry, const server_id& id, const server_incarnation& left);

/// Records that another instance has answered at the address of an incarnation. It takes no further request
/// until the store writes its entry again, or it answers itself.
/// @return true if that was not known
bool note_replaced(server_registry& registry, const server_id& id, const server_incarnation& replaced);

/// Records that an incarnation has answered itself.
/// @return true if it had counted as replaced or removed
bool note_answered(server_registry& registry, const server_id& id, const server_incarnation& alive);

/// Removes one entry. During and shortly after a store outage, an entry of a server that is not draining is
/// only marked as missing.
void apply_removed(server_registry& registry, const server_id& id, time_point now);

/// Removes entries that stayed missing. Does nothing during a store outage.
/// @return true if any entry was removed
bool drop_missing(server_registry& registry, time_point now);

/// @return the servers of a service; those that are not usable are marked as draining
std::vector<registered_server> servers_of(const server_registry& registry, const service_id& service);

} // namespace endivelever
