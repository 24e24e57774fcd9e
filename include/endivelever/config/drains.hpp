#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/result.hpp"

#include <string>
#include <vector>

namespace endivelever {

/// Payload of the document "drains": servers that operators took out of service.
struct drain_list {
    operation_id operation; ///< the change that wrote this list
    std::vector<server_id> servers;
};

/// Parses the payload. @return the list, or error [config.N]
result<drain_list> parse_drains(const std::string& text);

/// @return JSON text that parse_drains() reads back to an equal value
std::string to_json(const drain_list& list);

} // namespace endivelever
