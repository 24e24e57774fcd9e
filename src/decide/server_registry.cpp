#include "endivelever/decide/server_registry.hpp"

#include <algorithm>
#include <set>

namespace endivelever {
namespace {

// How long a VM that does not read the store keeps a missing entry while its reader has no contact to the
// store.
constexpr duration outage_hold_time = std::chrono::seconds(10);

/// True while an entry may be missing only because its server could not renew it during a store outage.
bool may_have_expired(const server_registry& registry, time_point now) {
    if (registry.store_unavailable) {
        return true;
    }
    return registry.store_available_since != time_point{} &&
           now < registry.store_available_since + reregistration_time;
}

void mark_missing(server_registry& registry, registry_entry& entry, time_point now) {
    if (!entry.missing) {
        entry.missing = true;
        entry.missing_until =
            (registry.store_unavailable ? now : registry.store_available_since) + reregistration_time;
    }
}

server_incarnation incarnation_of(const registered_server& server) {
    return {server.address, server.start_ms};
}

void remember_removal(server_registry& registry, const registered_server& server, time_point now) {
    if (registry.removed.size() >= max_ended_servers) {
        std::erase_if(registry.removed,
                      [now](const auto& it) { return now - it.second.removed_at > removal_memory; });
    }
    if (registry.removed.size() < max_ended_servers) {
        registry.removed[server.id] = {incarnation_of(server), now};
    }
}

std::map<server_id, registry_entry>::iterator
erase_entry(server_registry& registry, std::map<server_id, registry_entry>::iterator it, time_point now) {
    remember_removal(registry, it->second.server, now);
    return registry.entries.erase(it);
}

void store_entry(server_registry& registry, const registered_server& server) {
    registry.entries[server.id] = {server, false, {}};
    const auto known = registry.ended.find(server.id);
    if (known != registry.ended.end() && known->second.incarnation != incarnation_of(server)) {
        registry.ended.erase(known); // the next incarnation has taken its place
    }
}

/// @return true if that was not known
bool note_ended(server_registry& registry, const server_id& id, const ended_incarnation& ended) {
    const auto known = registry.ended.find(id);
    if (known != registry.ended.end() && known->second.incarnation == ended.incarnation &&
        known->second.end == ended.end) {
        return false;
    }
    if (registry.ended.size() >= max_ended_servers) {
        std::erase_if(registry.ended, [&](const auto& it) { return !registry.entries.contains(it.first); });
    }
    if (registry.ended.size() >= max_ended_servers) {
        registry.ended.erase(registry.ended.begin());
    }
    registry.ended[id] = ended;
    return true;
}

incarnation_end end_of(const server_registry& registry, const registered_server& server) {
    const auto known = registry.ended.find(server.id);
    const bool applies = known != registry.ended.end() && known->second.incarnation == incarnation_of(server);
    return applies ? known->second.end : incarnation_end::none;
}

bool is_draining(const server_registry& registry, const registered_server& server) {
    return server.draining || end_of(registry, server) == incarnation_end::leaving;
}

/// True if an entry of a copy is of an earlier incarnation than the one that this VM knows.
bool is_outdated(const server_registry& registry, const registered_server& server) {
    const auto known = registry.entries.find(server.id);
    return registry.is_reading_copy && known != registry.entries.end() &&
           known->second.server.start_ms > server.start_ms;
}

void store_listed(server_registry& registry, const registered_server& server, time_point now) {
    const auto removed = registry.removed.find(server.id);
    const bool was_removed = registry.is_reading_copy && removed != registry.removed.end() &&
                             !registry.entries.contains(server.id) &&
                             removed->second.incarnation == incarnation_of(server) &&
                             now - removed->second.removed_at <= removal_memory;
    store_entry(registry, server);
    if (was_removed && end_of(registry, server) == incarnation_end::none) {
        note_ended(registry, server.id, {incarnation_of(server), incarnation_end::removed});
    }
}

/// @return ids of the servers that the list shows to be registered
std::set<server_id> store_all(server_registry& registry, const std::vector<registered_server>& listed,
                              time_point now) {
    std::set<server_id> present;
    for (const auto& it : listed) {
        if (!is_outdated(registry, it)) {
            present.insert(it.id);
            store_listed(registry, it, now);
        }
    }
    return present;
}

/// True if the store or the server itself can show that the incarnation still lives.
bool is_refutable(incarnation_end end) {
    return end == incarnation_end::replaced || end == incarnation_end::removed;
}

/// Latest start that the store lists at each address. Entries that are missing are not listed.
std::map<socket_address, std::int64_t> latest_starts(const server_registry& registry) {
    std::map<socket_address, std::int64_t> latest;
    for (const auto& [id, entry] : registry.entries) {
        if (!entry.missing) {
            auto& start = latest[entry.server.address];
            start = std::max(start, entry.server.start_ms);
        }
    }
    return latest;
}

} // namespace

void note_store_failure(server_registry& registry, time_point now) {
    if (!registry.store_unavailable) {
        registry.store_unavailable = true;
        registry.store_unavailable_since = now;
        registry.outage_confirmed = false;
    }
}

void observe_other_reads(server_registry& registry, time_point others_read_at, time_point now) {
    const auto last_read = std::max(registry.store_unavailable_since, others_read_at);
    if (registry.store_unavailable && now - last_read >= shortest_expiring_outage) {
        registry.outage_confirmed = true;
    }
}

void note_store_success(server_registry& registry, time_point now, time_point others_read_at) {
    if (!registry.store_unavailable) {
        return;
    }
    registry.store_unavailable = false;
    const bool others_read =
        others_read_at != time_point{} && others_read_at >= registry.store_unavailable_since;
    if (others_read && !registry.outage_confirmed) {
        return;
    }
    registry.store_available_since = now;
    for (auto& it : registry.entries) {
        if (it.second.missing) {
            it.second.missing_until = now + reregistration_time;
        }
    }
}

void forget_store_state(server_registry& registry) {
    registry.store_unavailable = false;
    registry.store_available_since = {};
}

expired_servers missing_servers(const server_registry& registry, time_point now) {
    expired_servers missing;
    for (const auto& it : registry.entries) {
        if (it.second.missing) {
            // Until the store is back, nobody knows when these servers can register again.
            missing[it.first] = registry.store_unavailable
                                    ? outage_hold_time
                                    : std::max(duration::zero(), it.second.missing_until - now);
        }
    }
    return missing;
}

void begin_copy(server_registry& registry, time_point now) {
    registry.is_reading_copy = true;
    registry.store_available_since = now;
    for (const auto& it : registry.entries) {
        if (it.second.server.draining) {
            note_ended(registry, it.first, {incarnation_of(it.second.server), incarnation_end::leaving});
        }
    }
}

void end_copy(server_registry& registry) {
    registry.is_reading_copy = false;
}

void apply_peer_list(server_registry& registry, const std::vector<registered_server>& listed,
                     const expired_servers& expired, time_point now) {
    const auto present = store_all(registry, listed, now);
    std::vector<server_id> removed;
    for (const auto& it : registry.entries) {
        if (!present.contains(it.first)) {
            removed.push_back(it.first);
        }
    }
    for (const auto& it : removed) {
        apply_peer_removal(registry, it, expired, now);
    }
    registry.loaded = true;
}

void apply_peer_removal(server_registry& registry, const server_id& id, const expired_servers& expired,
                        time_point now) {
    const auto found = registry.entries.find(id);
    const auto kept = expired.find(id);
    if (found == registry.entries.end()) {
        return;
    }
    if (kept == expired.end()) {
        if (registry.is_reading_copy && !is_draining(registry, found->second.server)) {
            mark_missing(registry, found->second, now);
        } else {
            erase_entry(registry, found, now);
        }
    } else if (!found->second.missing) {
        found->second.missing = true;
        found->second.missing_until = now + kept->second;
    }
}

void apply_listed(server_registry& registry, const std::vector<registered_server>& listed, time_point now) {
    const auto present = store_all(registry, listed, now);
    for (auto it = registry.entries.begin(); it != registry.entries.end();) {
        if (present.contains(it->first)) {
            ++it;
        } else if (may_have_expired(registry, now) && !is_draining(registry, it->second.server)) {
            mark_missing(registry, it->second, now);
            ++it;
        } else {
            it = erase_entry(registry, it, now);
        }
    }
    registry.loaded = true;
}

void apply_changed(server_registry& registry, const registered_server& server) {
    const auto known = registry.ended.find(server.id);
    if (known != registry.ended.end() && is_refutable(known->second.end)) {
        registry.ended.erase(known);
    }
    store_entry(registry, server);
}

bool note_leaving(server_registry& registry, const server_id& id, const server_incarnation& left) {
    return note_ended(registry, id, {left, incarnation_end::leaving});
}

bool note_replaced(server_registry& registry, const server_id& id, const server_incarnation& replaced) {
    const auto known = registry.ended.find(id);
    if (known != registry.ended.end() && known->second.incarnation == replaced) {
        return false; // it has left, or is replaced already
    }
    return note_ended(registry, id, {replaced, incarnation_end::replaced});
}

bool note_answered(server_registry& registry, const server_id& id, const server_incarnation& alive) {
    const auto known = registry.ended.find(id);
    if (known == registry.ended.end() || !is_refutable(known->second.end) ||
        known->second.incarnation != alive) {
        return false;
    }
    registry.ended.erase(known);
    return true;
}

void apply_removed(server_registry& registry, const server_id& id, time_point now) {
    const auto found = registry.entries.find(id);
    if (found == registry.entries.end()) {
        return;
    }
    if (may_have_expired(registry, now) && !is_draining(registry, found->second.server)) {
        mark_missing(registry, found->second, now);
    } else {
        erase_entry(registry, found, now);
    }
}

bool drop_missing(server_registry& registry, time_point now) {
    if (registry.store_unavailable) {
        return false;
    }
    bool dropped = false;
    for (auto it = registry.entries.begin(); it != registry.entries.end();) {
        const bool is_due = it->second.missing && now >= it->second.missing_until;
        dropped = dropped || is_due;
        it = is_due ? erase_entry(registry, it, now) : std::next(it);
    }
    return dropped;
}

std::vector<registered_server> servers_of(const server_registry& registry, const service_id& service) {
    const auto latest = latest_starts(registry);
    std::vector<registered_server> found;
    for (const auto& [id, entry] : registry.entries) {
        if (entry.server.service != service) {
            continue;
        }
        const auto start = latest.find(entry.server.address);
        incarnation_evidence evidence;
        evidence.entry_draining = entry.server.draining;
        evidence.end = end_of(registry, entry.server);
        evidence.newer_is_listed = start != latest.end() && start->second > entry.server.start_ms;
        found.push_back(entry.server);
        found.back().draining = standing_of(evidence) != incarnation_standing::usable;
    }
    return found;
}

} // namespace endivelever
