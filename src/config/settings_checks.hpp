#pragma once

#include "json_reader.hpp"

namespace endivelever::detail {

/// Checks what several values of the settings must have in common.
/// @param in  reader of the whole document, for messages
void check_settings(const object_reader& in, const settings& value);

} // namespace endivelever::detail
