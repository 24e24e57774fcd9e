#pragma once

#include "capacity/slope.hpp"

#include <string>
#include <vector>

namespace endivelever::bench {

/// Prints one table row for each slope: range, number of points, fit and residual.
void print_slopes(const std::vector<slope>& slopes);

/// Writes capacity.json (points and fits) and one gnuplot data file for each slope.
/// @param folder  existing folder
/// @throws std::runtime_error if a file cannot be written
void write_slopes(const std::vector<slope>& slopes, const std::string& folder);

/// @return one JSON line in the form of the other experiments
std::string result_line(const std::vector<slope>& slopes);

} // namespace endivelever::bench
