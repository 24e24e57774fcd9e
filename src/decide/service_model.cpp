#include "endivelever/decide/service_model.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

// Values that a mean is based on at most; later ones replace earlier ones.
constexpr double max_response_weight = 64.0;
constexpr double max_report_weight = 512.0;
// The first responses belong to the shortest requests and would give too low a time.
constexpr double min_responses = 8.0;
// Weight of the next lower range in the estimate of a range. It keeps a few slow responses from looking like
// an effect of the load.
constexpr double neighbour_weight = 6.0;
// A response in five takes longer than the prediction times the margin.
constexpr double margin_quantile = 0.8;
constexpr double margin_step = 0.03;
constexpr double max_log_margin = 1.5;
// The smallest limit is taken whose throughput is this close to the highest.
constexpr double sufficient_throughput = 0.97;
// Another probe rarely finds a server that is faster by more than this.
constexpr double max_uncontended_factor = 1.3;
constexpr duration initial_lifetime = 250ms;
// Reports of a server that are this far apart count as independent even if speeds seem to last longer.
constexpr duration independent_report_age = 500ms;
// Speeds that must be known before their variance says anything.
constexpr double min_speeds = 16.0;
constexpr duration min_lifetime = 20ms;
constexpr duration max_lifetime = 2s;
// Standard deviation of the slowdown, relative to its mean, below which the speed counts as constant.
constexpr double min_slowdown_variation = 0.05;

void observe(observed_mean& mean, double value, double max_weight) {
    mean.weight = std::min(mean.weight + 1.0, max_weight);
    mean.value += (value - mean.value) / mean.weight;
}

observed_mean combined(const observed_mean& left, const observed_mean& right) {
    const double weight = left.weight + right.weight;
    return weight > 0.0
               ? observed_mean{(left.value * left.weight + right.value * right.weight) / weight, weight}
               : observed_mean{};
}

double speed_factor(const load_report& report) {
    return report.slowdown > 0.0 ? report.slowdown : 1.0;
}

/// Share of busy slots with one more request.
double occupancy_with(const load_report& report, std::uint32_t slots) {
    return (static_cast<double>(report.running) + report.queued + 1.0) / std::max(1U, slots);
}

std::size_t range_of(double occupancy) {
    const auto range = static_cast<std::size_t>(std::ceil(occupancy * occupancy_ranges - 1e-9));
    return std::clamp<std::size_t>(range, 1, occupancy_ranges) - 1;
}

/// Response time at a server of usual speed. Requests beyond the slots wait for a slot.
duration time_at(const service_model& model, double occupancy) {
    const double rounds = std::max(1.0, occupancy);
    return duration(static_cast<duration::rep>(
        static_cast<double>(model.fitted_time[range_of(occupancy)].count()) * rounds));
}

observed_mean total(const occupancy_means& values) {
    return std::accumulate(values.begin(), values.end(), observed_mean{}, &combined);
}

/// Makes the values non-decreasing with the least squared error: neighbours in the wrong order get their
/// common mean.
void make_monotonic(occupancy_means& values) {
    struct block {
        observed_mean mean;
        std::size_t size = 0;
    };
    std::array<block, occupancy_ranges> blocks{};
    std::size_t n = 0;
    for (const auto& it : values) {
        blocks[n++] = {it, 1};
        while (n > 1 && blocks[n - 2].mean.value > blocks[n - 1].mean.value) {
            blocks[n - 2].mean = combined(blocks[n - 2].mean, blocks[n - 1].mean);
            blocks[n - 2].size += blocks[n - 1].size;
            --n;
        }
    }
    std::size_t position = 0;
    for (std::size_t i = 0; i < n; ++i) {
        for (std::size_t j = 0; j < blocks[i].size; ++j) {
            values[position++].value = blocks[i].mean.value;
        }
    }
}

} // namespace

void add(occupancy_means& sum, const occupancy_means& part) {
    std::transform(sum.begin(), sum.end(), part.begin(), sum.begin(), &combined);
}

void assume_time(service_model& model, duration initial_time) {
    if (!model.learned) {
        model.fitted_time.fill(initial_time > duration::zero() ? initial_time : assumed_response_time);
    }
}

void learn_response(service_model& model, const load_report& report, std::uint32_t slots,
                    duration response_time) {
    const double occupancy = occupancy_with(report, slots);
    const auto predicted = predicted_time(model, report, slots);
    if (response_time <= duration::zero() || occupancy > 1.0) {
        return; // the time of a queued request depends on those ahead of it
    }
    if (model.learned) {
        const double error = std::log(to_seconds(response_time) / to_seconds(predicted));
        model.log_margin +=
            margin_step * (error > model.log_margin ? margin_quantile : margin_quantile - 1.0);
        model.log_margin = std::clamp(model.log_margin, 0.0, max_log_margin);
    }
    // A slow server may speed up while it runs the request, so that only the others show the usual time.
    if (model.slowdown.weight == 0.0 || speed_factor(report) <= model.slowdown.value) {
        observe(model.log_time[range_of(occupancy)],
                std::log(to_seconds(response_time) / speed_factor(report)), max_response_weight);
    }
}

void learn_speed(service_model& model, const load_report& report, const load_report& previous, duration age) {
    if (report.slowdown <= 0.0) {
        return;
    }
    const auto lifetime = speed_lifetime(model);
    if (previous.slowdown <= 0.0 || age >= std::min(lifetime, independent_report_age)) {
        // A server is probed again soon only if it was fast, so that earlier reports of it are no fair
        // sample.
        observe(model.slowdown, report.slowdown, max_report_weight);
        const double deviation = report.slowdown - model.slowdown.value;
        observe(model.slowdown_variance, deviation * deviation, max_report_weight);
    }
    if (previous.slowdown > 0.0 && age > duration::zero() && age <= lifetime / 2) {
        const double change = report.slowdown - previous.slowdown;
        const double kept = 1.0 - 1.0 / max_report_weight;
        model.squared_changes = kept * model.squared_changes + change * change / 2.0;
        model.change_seconds = kept * model.change_seconds + to_seconds(age);
    }
}

void refit(service_model& model) {
    const auto own = total(model.log_time);
    const auto domain = total(model.domain_log_time);
    auto estimate = domain.weight > own.weight ? model.domain_log_time : model.log_time;
    const auto& all = domain.weight > own.weight ? domain : own;
    if (all.weight < min_responses) {
        return;
    }
    double lower = all.value;
    for (auto& it : estimate) {
        it.value = (it.value * it.weight + lower * neighbour_weight) / (it.weight + neighbour_weight);
        it.weight += neighbour_weight;
        lower = it.value;
    }
    make_monotonic(estimate);
    for (std::size_t i = 0; i < occupancy_ranges; ++i) {
        model.fitted_time[i] = from_milliseconds(1000.0 * std::exp(estimate[i].value));
    }
    model.learned = true;
}

duration light_time(const service_model& model) {
    return model.fitted_time.front();
}

duration predicted_time(const service_model& model, const load_report& report, std::uint32_t slots) {
    const auto usual = time_at(model, occupancy_with(report, slots));
    return duration(static_cast<duration::rep>(static_cast<double>(usual.count()) * speed_factor(report)));
}

double response_margin(const service_model& model) {
    return std::exp(model.log_margin);
}

std::uint32_t operating_limit(const service_model& model, std::uint32_t slots) {
    const auto throughput = [&](std::uint32_t n) {
        return n / to_seconds(std::max(time_at(model, static_cast<double>(n) / slots), duration(1)));
    };
    // Within a range the throughput rises with the load, so that the ends of the ranges are enough.
    const auto range_end = [slots](std::size_t range) {
        return std::max(1U, static_cast<std::uint32_t>((range + 1) * slots / occupancy_ranges));
    };
    double highest = 0.0;
    for (std::size_t range = 0; range < occupancy_ranges; ++range) {
        highest = std::max(highest, throughput(range_end(range)));
    }
    std::size_t range = 0;
    while (throughput(range_end(range)) < sufficient_throughput * highest) {
        ++range;
    }
    return range_end(range);
}

duration speed_lifetime(const service_model& model) {
    const double variance = model.slowdown_variance.value;
    const double min_deviation = min_slowdown_variation * model.slowdown.value;
    const bool is_known = model.slowdown.weight >= min_speeds;
    if (is_known && variance < min_deviation * min_deviation) {
        return max_lifetime;
    }
    if (!is_known || model.change_seconds <= 0.0) {
        return initial_lifetime;
    }
    // Successive speeds differ by half the squared change that independent speeds would, scaled by the part
    // of the lifetime between them.
    const double seconds = variance * model.change_seconds / std::max(model.squared_changes, 1e-9);
    return std::clamp(from_milliseconds(1000.0 * std::min(seconds, to_seconds(max_lifetime))), min_lifetime,
                      max_lifetime);
}

duration recent_report_age(const service_model& model) {
    return std::min(speed_lifetime(model) / 12, light_time(model) / 3);
}

duration fresh_report_age(const service_model& model) {
    return std::min(speed_lifetime(model) / 30, light_time(model) / 8);
}

bool is_uncontended(const service_model& model, const load_report& report, std::uint32_t slots) {
    return to_seconds(predicted_time(model, report, slots)) <=
           max_uncontended_factor * to_seconds(light_time(model));
}

bool has_room(const service_model& model, const load_report& report, std::uint32_t slots) {
    return report.running + report.queued < operating_limit(model, slots);
}

} // namespace endivelever
