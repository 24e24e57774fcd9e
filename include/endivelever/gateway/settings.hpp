#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/settings.hpp"

#include <cstdint>

namespace endivelever {

/// Settings of the gateway process of one VM.
struct gateway_settings {
    vm_id vm;
    endivelever::failure_domain failure_domain;
    socket_address caller_address;  ///< callers connect here with their requests
    socket_address ready_address;   ///< answers whether this VM takes requests
    socket_address lookup_address;  ///< answers callers that ask which addresses to use
    socket_address relay_address;   ///< serves configuration and server entries to peers, and the metrics
    socket_address metrics_address; ///< serves counters and histograms as well; empty: nothing more
    socket_address peer_address;    ///< datagrams between gateway VMs
    socket_address store_address;   ///< the platform's object store
    duration address_keep = std::chrono::seconds(1); ///< how long callers may keep an address answer
    duration stop_limit = std::chrono::seconds(6);   ///< from a planned stop to the end of the process
    double retry_ratio = 0.2;                        ///< retries per request, over all VMs
    std::uint32_t retry_allowance = 50;              ///< retries beyond the ratio in one window, over all VMs
    double probes_per_server_per_second = 0.0;       ///< limit over all VMs
    bool first_start = false;   ///< the whole system starts for the first time: no VM is registered yet
    std::uint32_t capacity = 0; ///< processor share in hundredths of a core; 0 if not known
    std::uint32_t max_connections = 3000; ///< of callers
};

} // namespace endivelever
