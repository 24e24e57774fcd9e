#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/config/routing.hpp"
#include "endivelever/decide/load_report.hpp"
#include "endivelever/net/http_header.hpp"
#include "endivelever/store/object_protocol.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace endivelever {

/// Names of the headers that a gateway reads or writes.
struct header_names {
    std::string request_id;      ///< on requests and responses; differs for each attempt of a caller
    std::string deadline_ms;     ///< on requests: milliseconds that the caller still waits
    std::string expected_server; ///< on requests to servers: id of the server that is meant
};

/// What a response of a server says beside its status and body.
struct response_facts {
    bool not_run = false; ///< the server states that it did not run the request
    std::optional<load_report> report;
};

/// Everything a gateway needs to know of how one platform speaks. An adapter fills it in.
struct gateway_dialect {
    header_names names;
    std::string ready_path;
    std::string lookup_path;
    object_kind routing_kind;   ///< objects with the routing configuration
    std::string routing_object; ///< name of the one in force
    object_kind server_kind;    ///< registered servers
    object_kind vm_kind;        ///< registered gateway VMs, owned by this system
    object_protocol store;
    /// @param usual  time that a request takes in a slot at the usual speed
    std::function<response_facts(unsigned status, const http_headers& headers, duration usual)> read_response;
    std::function<std::string(const std::vector<std::string>& addresses, duration keep)> write_addresses;
    std::function<result<routing_config>(const nlohmann::json& content)> read_routing;
    std::function<result<registered_server>(const std::string& name, const nlohmann::json&)> read_server;
};

} // namespace endivelever
