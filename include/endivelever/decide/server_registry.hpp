#pragma once

#include "endivelever/base/time.hpp"
#include "endivelever/config/routing.hpp"

#include <map>
#include <vector>

namespace endivelever {

/// One server of the registry as this VM knows it.
struct registry_entry {
    registered_server server;
    /// Set while the entry is missing from the store for a reason that may be the store's own outage.
    bool missing = false;
    time_point missing_until{}; ///< the server counts as gone from then on
};

/// The servers that registered in the store. Entries that lapse during an outage of the store are kept until
/// their servers had time to register again.
struct server_registry {
    std::map<server_id, registry_entry> entries;
    bool loaded = false;        ///< a complete list was applied
    bool store_is_away = false; ///< the last call to the store failed
    time_point store_back_at{}; ///< when the store answered again after an outage; default if it never failed
};

/// How long after the store's return a server may take to register again.
/// Servers write about every 1.5 s and the platform names two seconds.
constexpr duration reregistration_time = std::chrono::milliseconds(2200);

/// Notes that a call to the store failed, or that it answered.
void note_store_away(server_registry& registry);
void note_store_answer(server_registry& registry, time_point now);

/// Takes over a complete list of the registered servers.
void apply_listed(server_registry& registry, const std::vector<registered_server>& listed, time_point now);

/// Takes over one changed entry.
void apply_changed(server_registry& registry, const registered_server& server);

/// Removes one entry; near an outage of the store it is only marked as missing.
void apply_removed(server_registry& registry, const server_id& id, time_point now);

/// Drops entries that stayed missing. @return true if any was dropped
bool drop_missing(server_registry& registry, time_point now);

/// @return servers of one service, draining ones included
std::vector<registered_server> servers_of(const server_registry& registry, const service_id& service);

} // namespace endivelever
