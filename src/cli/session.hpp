#pragma once

#include "endivelever/cli/operator_client.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <ostream>

/// Shared by the commands that ask a control. Private to the module.
namespace endivelever::detail {

/// Reads the key and opens the client; reports a key file that cannot be read.
/// @return the client, or null
std::unique_ptr<operator_client> open_client(const cli_options& options, std::ostream& err);

/// @return the body as JSON; discarded if it is not valid
nlohmann::json body_of(const http_reply& reply);

/// @return one sentence on why a request did not succeed
std::string failure_text(const http_reply& reply, const cli_options& options);

/// Reads a resource and reports failures.
/// @return the body, or discarded JSON with `code` set
nlohmann::json read_resource(operator_client& client, const cli_options& options, const std::string& target,
                             std::ostream& err, exit_code& code);

/// @return "peak, version 8, by min.park at 2026-12-04 05:36:00 UTC", or "none"
std::string in_force_text(const nlohmann::json& record);

} // namespace endivelever::detail
