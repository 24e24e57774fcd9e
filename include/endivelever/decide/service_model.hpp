#pragma once

#include "endivelever/base/time.hpp"
#include "endivelever/decide/load_report.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace endivelever {

/// Occupancy is the share of a server's slots that are busy. It is divided into this many equal ranges.
constexpr std::size_t occupancy_ranges = 8;

/// Response time that is assumed if nothing is known about a service.
constexpr duration assumed_response_time = std::chrono::milliseconds(50);

/// Smoothed mean of observed values, with the number of values that it is based on.
struct observed_mean {
    double value = 0.0;
    double weight = 0.0;
};

/// Means by range of occupancy.
using occupancy_means = std::array<observed_mean, occupancy_ranges>;

/// Adds the observations of another VM.
void add(occupancy_means& sum, const occupancy_means& part);

/// Model of the servers of one service, learned from their responses and load reports. It answers how long a
/// request takes at a server with a given load, how many requests a server should run at the same time, and
/// for how long a load report can be trusted. It forgets, so that it follows servers that change.
struct service_model {
    /// Logarithm of the response time in seconds at a server of usual speed, by occupancy at dispatch.
    occupancy_means log_time{};
    /// The same as observed by all VMs of the failure domain, from its head.
    occupancy_means domain_log_time{};
    /// Response time at a server of usual speed, by occupancy. Never falls as occupancy rises.
    std::array<duration, occupancy_ranges> fitted_time = [] {
        std::array<duration, occupancy_ranges> times{};
        times.fill(assumed_response_time);
        return times;
    }();
    double log_margin = 0.0; ///< logarithm of the margin of response_margin()
    observed_mean slowdown;  ///< over all servers that report it
    observed_mean slowdown_variance;
    double squared_changes = 0.0; ///< sum of half the squared differences of successive slowdowns
    double change_seconds = 0.0;  ///< sum of the times between these
    bool learned = false;         ///< fitted_time is based on responses
};

/// Sets the response time that is assumed until responses show it.
/// @param initial_time  0 means unknown
void assume_time(service_model& model, duration initial_time);

/// Learns from a successful response.
/// @param report         load of the server when the request was sent, this request not included
/// @param response_time  from dispatch to the complete response
void learn_response(service_model& model, const load_report& report, std::uint32_t slots,
                    duration response_time);

/// Learns from the speed in a load report.
/// @param previous  last report of the same server; ignored unless it contains a slowdown
/// @param age       age of `previous`
void learn_speed(service_model& model, const load_report& report, const load_report& previous, duration age);

/// Updates fitted_time from the responses learned since. Call it a few times a second.
/// @complexity linear in occupancy_ranges
void refit(service_model& model);

/// @return response time of a lightly loaded server at its usual speed
duration light_time(const service_model& model);

/// Predicts the response time of a request that is sent to a server now.
duration predicted_time(const service_model& model, const load_report& report, std::uint32_t slots);

/// @return factor by which a response time exceeds its prediction in no more than one of five cases
double response_margin(const service_model& model);

/// Finds the number of requests that a server should run at the same time: the smallest one at which it
/// completes about as many requests a second as it can.
/// @return 1 to `slots`
/// @complexity linear in occupancy_ranges
std::uint32_t operating_limit(const service_model& model, std::uint32_t slots);

/// @return time after which the speed of a server no longer says anything about its present speed
duration speed_lifetime(const service_model& model);

/// @return age up to which a load report can replace a probe if no probe is possible
duration recent_report_age(const service_model& model);

/// @return age up to which a load report makes a probe unnecessary
duration fresh_report_age(const service_model& model);

/// True if a request would take little longer at this server than at a lightly loaded one of usual speed, so
/// that it is not worth while to look for another server.
bool is_uncontended(const service_model& model, const load_report& report, std::uint32_t slots);

/// True if another request would not raise the load of the server above its operating limit.
bool has_room(const service_model& model, const load_report& report, std::uint32_t slots);

} // namespace endivelever
