#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/settings.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endivelever {

using route_id = strong_id<struct route_id_tag>;
using tenant_id = strong_id<struct tenant_id_tag>; ///< a customer whose requests carry one of its keys

/// Version of a routing configuration; a higher one is newer.
using routing_version = strong_number<struct routing_version_tag, std::uint64_t>;

/// One part of a traffic split.
struct service_weight {
    service_id service;
    std::uint32_t weight = 1;
};

/// Where the requests of one host and path prefix go, and what may be done with them.
struct route {
    route_id id;
    std::string host;        ///< lower case, without port
    std::string path_prefix; ///< starts and ends with '/'; the longest match wins
    bool idempotent = false; ///< true if a request may run more than once
    bool large_response = false;
    bool large_request = false;        ///< requests have large bodies
    bool is_public = false;            ///< requests need no key
    duration timeout{};                ///< longest time from the arrival of a request to its final response
    duration latency_target{};         ///< wanted time to the complete response
    std::uint32_t rank = 0;            ///< 0 is the most urgent
    std::uint32_t max_attempts = 1;    ///< servers to which one request may be sent
    std::vector<service_weight> split; ///< at least one part
};

/// What the configuration says of a service. Its servers register themselves.
struct routed_service {
    service_id id;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< connections a server accepts from all VMs together
    duration warm_up{};                ///< how long a server stays cold after its start
    /// Requests per second that a cold server tolerates from all VMs together; 0 if there is no limit.
    double warm_up_rate = 0.0;
};

/// A customer whose requests are identified by a key.
struct tenant_config {
    tenant_id id;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> rank; ///< replaces the rank of the route
    double rate = 0.0;                 ///< requests per second over all VMs; 0 if there is no limit
    double burst = 0.0;                ///< requests beyond the rate
};

/// Limits on what a caller may send.
struct request_limits {
    byte_count max_header{16'384};
    byte_count max_body{67'108'864};
    duration idle_timeout = std::chrono::seconds(15);
};

/// A complete routing configuration.
struct routing_config {
    routing_version version;
    std::vector<route> routes;
    std::vector<routed_service> services;
    std::vector<tenant_config>
        tenants; ///< if there is any, requests to routes that are not public need a key
    request_limits limits;
};

/// A server as it registered itself.
struct registered_server {
    server_id id;
    service_id service;
    socket_address address;
    endivelever::failure_domain failure_domain;
    std::uint32_t slots = 1; ///< requests it runs at the same time
    bool draining = false;
    duration warm_up_left{};    ///< how much longer it is slow after its start
    std::int64_t start_ms = 0;  ///< Unix milliseconds of its start; tells two lives under one id apart
    std::int64_t statement = 0; ///< number of this entry among those of the server

    bool operator==(const registered_server&) const = default;
};

} // namespace endivelever
