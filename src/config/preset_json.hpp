#pragma once

#include "endivelever/config/preset.hpp"

#include "json_reader.hpp"

namespace endivelever::detail {

/// Reads one preset and refuses unknown keys.
preset read_preset(object_reader in);

/// @return JSON value that read_preset() reads back
ordered_json to_value(const preset& value);

} // namespace endivelever::detail
