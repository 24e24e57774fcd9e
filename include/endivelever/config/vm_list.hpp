#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/result.hpp"
#include "endivelever/config/settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace endivelever {

/// An entry VM as the platform lists it.
struct listed_entry {
    vm_id id;
    endivelever::failure_domain failure_domain;
    socket_address caller_address;
    socket_address feed_address; ///< "peer_address" in the VM list
    socket_address admin_address;
    bool leaving = false;
};

/// A server as the platform lists it.
struct listed_server {
    server_id id;
    service_id service;
    endivelever::failure_domain failure_domain;
    socket_address address;
    std::uint32_t slots = 0;       ///< 0 means the service's setting
    std::uint32_t connections = 0; ///< 0 means the service's setting
    bool leaving = false;
    duration warm_up_left{};    ///< how much longer it is slow after its start; 0 if not known
    std::int64_t start_ms = 0;  ///< Unix milliseconds of its start; tells two lives under one id apart
    std::int64_t statement = 0; ///< number of this entry among those of the server; 0 if not known
};

/// The platform's list of live and leaving VMs. It lags behind reality.
struct vm_list {
    std::vector<listed_entry> entries;
    std::vector<listed_server> servers;
};

/// Parses the body of GET /v1/vms.
/// @return the list, or error [config.N]; one bad item makes the whole list invalid
result<vm_list> parse_vm_list(const std::string& text);

/// @return JSON text that parse_vm_list() reads back to an equal value
std::string to_json(const vm_list& list);

} // namespace endivelever
