#pragma once

#include <functional>
#include <string>
#include <vector>

namespace endivelever::bench {

/// One measured point of a slope.
struct slope_point {
    double size = 0.0;
    double value = 0.0;
};

/// Straight line through measured points.
struct slope_fit {
    double intercept = 0.0;
    double per_unit = 0.0;
    double residual = 0.0; ///< root mean square of the residuals, in the unit of the values
};

/// One quantity measured while one thing grows.
struct slope {
    std::string name;  ///< for instance "vm_list_parse"
    std::string grows; ///< what grows, for instance "targets"
    std::string unit;  ///< unit of the values, for instance "us"
    std::vector<slope_point> points;
};

/// Least-squares line; needs at least two points with different sizes.
slope_fit fit_line(const std::vector<slope_point>& points);

/// Processor time of this process for one call of `work`, in microseconds: median of several batches.
double processor_us(const std::function<void()>& work);

/// Heap bytes that `build` leaves allocated; the built object must stay alive until the return.
double heap_bytes(const std::function<void()>& build);

} // namespace endivelever::bench
