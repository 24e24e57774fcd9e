#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/config/preset.hpp"
#include "endivelever/config/settings.hpp"

#include <string>

namespace endivelever {

/// Checks a preset against the kinds and services of the settings: each kind of the settings has exactly one
/// rule, no rule names another kind, and the guaranteed shares of one service sum to at most 1.
/// @param source  name used in error messages, for instance a file name
/// @return nothing, or error [config.8] naming source, JSON pointer and value
result<void> check_preset(const preset& rules, const settings& against, const std::string& source);

} // namespace endivelever
