#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/settings.hpp"

#include <cstdint>
#include <optional>

namespace endivelever {

/// Settings of the gateway process of one VM.
struct gateway_settings {
    vm_id vm;
    endivelever::failure_domain failure_domain;
    socket_address caller_address;  ///< accepts requests from callers
    socket_address ready_address;   ///< readiness endpoint
    socket_address lookup_address;  ///< lookup of the addresses that callers should use
    socket_address relay_address;   ///< serves configuration and server entries to peers, and the metrics
    socket_address metrics_address; ///< additional metrics listener; none if empty
    socket_address peer_address;    ///< datagrams between gateway VMs
    socket_address store_address;   ///< the platform's object store
    duration address_keep = std::chrono::seconds(1); ///< how long callers may cache an address response
    duration graceful_stop_limit =
        std::chrono::seconds(6);               ///< from the start of a graceful stop to the process exit
    double retry_ratio = 0.2;                  ///< retries per request, over all VMs of the fleet
    std::uint32_t retry_allowance = 50;        ///< retries beyond the ratio in one window, over all VMs
    double probes_per_server_per_second = 0.0; ///< upper limit over all VMs
    bool first_start = false;                  ///< first start of the whole system: no VM is registered yet
    std::uint32_t capacity = 0;                ///< CPU share in hundredths of a core; 0 if unknown
    std::uint32_t max_connections = 3000;      ///< maximum number of caller connections
    byte_count memory{256UL << 20U};           ///< memory that the process may use

    // Bounds over the whole fleet. A feature whose bound is 0 or absent is switched off.
    duration evacuation_limit{};  ///< until when an evacuation of a failure domain is in force everywhere
    duration revocation_limit{};  ///< until when a key that was taken away is refused, by every VM
    duration quota_window{};      ///< sliding window in which tenants' quotas are counted
    double quota_overage = 0.0;   ///< share by which the requests in a window may exceed the quota
    double quota_tolerance = 0.0; ///< requests by which they may exceed it besides
    std::optional<double> warm_up_overage; ///< factor on the requests per second that a cold server tolerates
    double warm_up_tolerance = 0.0;        ///< requests in one second that a cold server tolerates besides
};

} // namespace endivelever
