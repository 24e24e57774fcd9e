#include "capacity/slope.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <malloc.h>

namespace endivelever::bench {
namespace {

constexpr int batches = 5;
constexpr double batch_us = 20'000.0; // long against the resolution of the processor clock

double processor_clock_us() {
    timespec ts{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return static_cast<double>(ts.tv_sec) * 1e6 + static_cast<double>(ts.tv_nsec) / 1e3;
}

double batch_mean_us(const std::function<void()>& work) {
    const double start = processor_clock_us();
    double spent = 0.0;
    double calls = 0.0;
    while (spent < batch_us) {
        work();
        calls += 1.0;
        spent = processor_clock_us() - start;
    }
    return spent / calls;
}

} // namespace

slope_fit fit_line(const std::vector<slope_point>& points) {
    const auto n = static_cast<double>(points.size());
    double sum_x = 0.0;
    double sum_y = 0.0;
    for (const auto& it : points) {
        sum_x += it.size;
        sum_y += it.value;
    }
    const double mean_x = sum_x / n;
    const double mean_y = sum_y / n;
    double sxx = 0.0;
    double sxy = 0.0;
    for (const auto& it : points) {
        sxx += (it.size - mean_x) * (it.size - mean_x);
        sxy += (it.size - mean_x) * (it.value - mean_y);
    }
    slope_fit fit;
    fit.per_unit = sxy / sxx;
    fit.intercept = mean_y - fit.per_unit * mean_x;
    double squares = 0.0;
    for (const auto& it : points) {
        const double error = it.value - (fit.intercept + fit.per_unit * it.size);
        squares += error * error;
    }
    fit.residual = std::sqrt(squares / n);
    return fit;
}

double processor_us(const std::function<void()>& work) {
    work();
    std::vector<double> means;
    means.reserve(batches);
    for (int i = 0; i < batches; ++i) {
        means.push_back(batch_mean_us(work));
    }
    std::sort(means.begin(), means.end());
    return means[means.size() / 2];
}

double heap_bytes(const std::function<void()>& build) {
    malloc_trim(0);
    const auto before = mallinfo2();
    build();
    const auto after = mallinfo2();
    const auto used = [](const auto& info) { return info.uordblks + info.hblkhd; };
    return static_cast<double>(used(after)) - static_cast<double>(used(before));
}

} // namespace endivelever::bench
