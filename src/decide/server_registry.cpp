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

void apply_peer_list(server_registry& registry, const std::vector<registered_server>& listed,
                     const expired_servers& expired, time_point now) {
    std::set<server_id> present;
    for (const auto& it : listed) {
        present.insert(it.id);
        apply_changed(registry, it);
    }
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
        registry.entries.erase(found);
    } else if (!found->second.missing) {
        found->second.missing = true;
        found->second.missing_until = now + kept->second;
    }
}

void apply_listed(server_registry& registry, const std::vector<registered_server>& listed, time_point now) {
    std::set<server_id> present;
    for (const auto& it : listed) {
        present.insert(it.id);
        apply_changed(registry, it);
    }
    for (auto it = registry.entries.begin(); it != registry.entries.end();) {
        if (present.contains(it->first)) {
            ++it;
        } else if (may_have_expired(registry, now) && !it->second.server.draining) {
            mark_missing(registry, it->second, now);
            ++it;
        } else {
            it = registry.entries.erase(it);
        }
    }
    registry.loaded = true;
}

void apply_changed(server_registry& registry, const registered_server& server) {
    auto& entry = registry.entries[server.id];
    entry = {server, false, {}};
    const auto left = registry.leaving.find(server.id);
    if (left == registry.leaving.end()) {
        return;
    }
    if (left->second == server_incarnation{server.address, server.start_ms}) {
        entry.server.draining = true;
    } else {
        registry.leaving.erase(left); // the next incarnation has taken its place
    }
}

bool note_leaving(server_registry& registry, const server_id& id, const server_incarnation& left) {
    const auto known = registry.leaving.find(id);
    if (known != registry.leaving.end() && known->second == left) {
        return false;
    }
    if (registry.leaving.size() >= max_leaving_servers) {
        std::erase_if(registry.leaving, [&](const auto& it) { return !registry.entries.contains(it.first); });
    }
    if (registry.leaving.size() >= max_leaving_servers) {
        registry.leaving.erase(registry.leaving.begin());
    }
    registry.leaving[id] = left;
    const auto entry = registry.entries.find(id);
    if (entry != registry.entries.end() && entry->second.server.address == left.address &&
        entry->second.server.start_ms == left.start_ms) {
        entry->second.server.draining = true;
    }
    return true;
}

void apply_removed(server_registry& registry, const server_id& id, time_point now) {
    const auto found = registry.entries.find(id);
    if (found == registry.entries.end()) {
        return;
    }
    if (may_have_expired(registry, now) && !found->second.server.draining) {
        mark_missing(registry, found->second, now);
    } else {
        registry.entries.erase(found);
    }
}

bool drop_missing(server_registry& registry, time_point now) {
    if (registry.store_unavailable) {
        return false;
    }
    return std::erase_if(registry.entries, [now](const auto& it) {
               return it.second.missing && now >= it.second.missing_until;
           }) > 0;
}

std::vector<registered_server> servers_of(const server_registry& registry, const service_id& service) {
    std::vector<registered_server> found;
    for (const auto& it : registry.entries) {
        if (it.second.server.service == service) {
            found.push_back(it.second.server);
        }
    }
    return found;
}

} // namespace endivelever
