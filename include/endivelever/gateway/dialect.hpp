#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/config/routing.hpp"
#include "endivelever/decide/load_report.hpp"
#include "endivelever/decide/run_evidence.hpp"
#include "endivelever/decide/server_directives.hpp"
#include "endivelever/net/http_header.hpp"
#include "endivelever/store/object_protocol.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace endivelever {

/// Names of the headers that a gateway reads or writes.
struct header_names {
    std::string request_id;      ///< on requests and responses; unique for each attempt of a caller
    std::string deadline_ms;     ///< on requests: remaining time that the caller waits, in milliseconds
    std::string expected_server; ///< on requests to servers: id of the intended server
    std::string tenant;          ///< on requests to servers: tenant of the key
};

/// Information in the headers of a server's response.
struct response_metadata {
    not_run_proof proof = not_run_proof::none; ///< what the server states about the run of the request
    std::optional<load_report> report;
    server_directives directives;
    std::optional<server_id> server;      ///< server that responded, if it says so
    bool invalid_directive = false;       ///< a directive was present but could not be read
    std::optional<duration> warm_up_left; ///< how long the server stays cold, if it says so
};

/// Names, paths and formats specific to one platform. Filled in by the platform adapter.
struct gateway_dialect {
    header_names names;
    std::string ready_path;
    std::string lookup_path;
    object_kind routing_kind;     ///< routing configurations
    std::string routing_object;   ///< name of the routing object in force
    object_kind server_kind;      ///< registered servers
    object_kind vm_kind;          ///< registered gateway VMs, written by the gateways themselves
    object_kind evacuation_kind;  ///< failure domains whose servers get no requests, written by operators
    object_kind quota_lease_kind; ///< leases of the quota allocators, written by the gateways themselves
    object_protocol store;
    /// @param usual  expected time of a request in a slot of a server at normal speed
    std::function<response_metadata(unsigned status, const http_headers& headers, duration usual)>
        read_response;
    std::function<std::string(const std::vector<std::string>& addresses, duration keep)> write_addresses;
    std::function<result<routing_config>(const nlohmann::json& content)> read_routing;
    std::function<result<registered_server>(const std::string& name, const nlohmann::json&)> read_server;
};

} // namespace endivelever
