#pragma once

#include "endivelever/config/settings.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace endivelever::http_test {

inline constexpr int caller_port = 7001;

/// Settings file of a gateway process.
/// @param host  loopback address of the VM, on which all its ports are
inline nlohmann::json platform_settings(const std::string& vm, const std::string& host,
                                        const socket_address& store, int grace_period_s) {
    return {{"node_name", vm},
            {"zone", "zone-a"},
            {"ip_address", host},
            {"listen_addrs",
             {{"frontend", host + ":" + std::to_string(caller_port)},
              {"ready", host + ":7002"},
              {"registry", host + ":7003"},
              {"control_plane", host + ":7004"}}},
            {"internal_port_range", {7005, 7010}},
            {"bounds",
             {{"ttl_max_s", 5},
              {"grace_period_s", grace_period_s},
              {"retry_budget_ratio", 0.2},
              {"retry_allowance", 60},
              {"probes_per_s", 60}}},
            {"platform", {{"address", store.text}}}};
}

} // namespace endivelever::http_test
