#include "endivelever/decide/server_registry.hpp"

#include <set>

namespace endivelever {
namespace {

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

void note_store_failure(server_registry& registry) {
    registry.store_unavailable = true;
}

void note_store_success(server_registry& registry, time_point now) {
    if (!registry.store_unavailable) {
        return;
    }
    registry.store_unavailable = false;
    registry.store_available_since = now;
    for (auto& it : registry.entries) {
        if (it.second.missing) {
            it.second.missing_until = now + reregistration_time;
        }
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
    registry.entries[server.id] = {server, false, {}};
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
