#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/config/routing.hpp"
#include "endivelever/decide/tenant_directory.hpp"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace endivelever {

/// Routes of one configuration, indexed by host. It is immutable and shared, so that requests in progress
/// keep the configuration that they started with.
struct route_table {
    routing_config config;
    /// Routes of each normalized host, longest prefix first; the pointers refer to `config`.
    std::unordered_map<std::string, std::vector<const route*>> by_host;
    tenant_directory tenants;
};

/// Builds the index of a configuration.
std::shared_ptr<const route_table> make_route_table(routing_config config);

/// Finds the route of a request.
/// @param host  value of the Host header, in any case, with or without port
/// @param path  path without query
/// @return the route with the longest matching path prefix, or nullptr if none matches
const route* find_route(const route_table& table, std::string_view host, std::string_view path);

/// Selects the service of a request at random, in proportion to the weights of the route's traffic split.
/// @return the service; the first one if all weights are 0
const service_id& pick_service(const route& it, random_source& random);

/// Response time assumed for a service until responses have been measured, for instance after a restart.
/// @return a fraction of the shortest latency target of its routes; 0 if no route has a target
duration assumed_time(const routing_config& config, const service_id& service);

} // namespace endivelever
