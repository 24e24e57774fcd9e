#pragma once

#include "endivelever/control/change_preset.hpp"

namespace endivelever {

/// Marks a server as drained or not. Repeats on conflicts: drains of different servers do not exclude each
/// other.
void change_drain(control& it, const server_id& server, bool draining,
                  std::function<void(const change_result&)> on_done);

/// Stores the definition of a preset.
/// @param expect  version to replace; 0 to create it
void store_definition(control& it, const preset& definition, document_version expect,
                      std::function<void(const change_result&)> on_done);

} // namespace endivelever
