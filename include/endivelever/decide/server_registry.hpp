#pragma once

#include "endivelever/base/time.hpp"
#include "endivelever/config/routing.hpp"

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

/// Servers registered in the object store. Entries that expire during a store outage are kept until their
/// servers have had time to register again.
struct server_registry {
    std::map<server_id, registry_entry> entries;
    bool loaded = false;                ///< a complete list has been applied
    bool store_unavailable = false;     ///< the last call to the store failed
    time_point store_available_since{}; ///< when the store answered again after an outage; default if it
                                        ///< never failed
};

/// Time that a server may take to register again once the store answers after an outage. Servers renew their
/// entry about every 1.5 s, and the platform specifies two seconds.
constexpr duration reregistration_time = std::chrono::milliseconds(2200);

/// Records that a call to the store failed.
void note_store_failure(server_registry& registry);

/// Records that the store answered. After an outage, missing entries get reregistration_time from `now` on.
void note_store_success(server_registry& registry, time_point now);

/// Applies a complete list of the registered servers. Entries that are not listed are treated as in
/// apply_removed().
void apply_listed(server_registry& registry, const std::vector<registered_server>& listed, time_point now);

/// Adds or replaces one entry.
void apply_changed(server_registry& registry, const registered_server& server);

/// Removes one entry. During and shortly after a store outage, an entry of a server that is not draining is
/// only marked as missing.
void apply_removed(server_registry& registry, const server_id& id, time_point now);

/// Removes entries that stayed missing. Does nothing during a store outage.
/// @return true if any entry was removed
bool drop_missing(server_registry& registry, time_point now);

/// @return the servers of a service, including draining ones
std::vector<registered_server> servers_of(const server_registry& registry, const service_id& service);

} // namespace endivelever
