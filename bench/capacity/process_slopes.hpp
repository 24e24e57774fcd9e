#pragma once

#include "capacity/slope.hpp"

namespace endivelever::bench {

/// Slopes measured inside one process with the product's own functions.
std::vector<slope> measure_in_process();

} // namespace endivelever::bench
