#pragma once

#include "endivelever/config/settings.hpp"

#include <string>
#include <vector>

namespace endivelever {

/// Finds the operator whose bearer key an Authorization header carries. The time taken does not depend on how
/// much of a key was right: digests of equal length are compared in constant time, with every operator.
/// @param header  value of the Authorization header
/// @return the operator, or nullptr
const operator_settings* find_operator(const std::vector<operator_settings>& operators,
                                       const std::string& header);

} // namespace endivelever
