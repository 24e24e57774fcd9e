#pragma once

#include "endivelever/config/settings.hpp"
#include "experiments/experiment.hpp"
#include "testbed/load.hpp"

#include <functional>
#include <map>
#include <string>

namespace endivelever::experiments {

/// Entry VMs of each deployment at its full size (section 1.3 of the design).
constexpr std::size_t full_size = 16;

/// One run of an experiment: a deployment, its policies, its load and what happens meanwhile.
struct trial {
    std::string deployment = "hanbit";
    std::size_t entry_vms = full_size;
    choice_policy choice = choice_policy::estimated_wait;
    admission_policy admission = admission_policy::ranked;
    std::string behaviour = "{}";          ///< of every server
    std::map<std::string, double> rates{}; ///< calls a second by kind; absent kinds get none
    duration run_time = std::chrono::seconds(4);
    duration warm_up = std::chrono::seconds(1);
    testbed::resend_policy resend = testbed::resend_policy::none;
    bool one_entry = false; ///< callers keep the address of a single entry
    std::function<void(testbed::cluster&)> prepare{};
    std::function<void(testbed::cluster&)> during{}; ///< on a thread of its own while the load runs
};

/// What one trial gave.
struct trial_report {
    testbed::load_report load;
    std::map<std::string, nlohmann::json> servers; ///< counts of each server at the end
    double counted_seconds = 0.0;                  ///< run time less warm-up
};

/// Starts a cluster, runs the load and stops everything.
trial_report run_trial(const trial& wanted, const experiment_options& options);

/// Calls of a kind that ended with this outcome.
double count_of(const trial_report& report, const std::string& kind, testbed::call_outcome outcome);

/// Calls of a kind that were done, a second.
double goodput(const trial_report& report, const std::string& kind);

/// Quantile of the latency of a kind, in milliseconds.
double latency_ms(const trial_report& report, const std::string& kind, double quantile);

/// Sum of one counter over all servers.
double sum_of(const trial_report& report, const std::string& counter);

/// Slots of a service's servers divided by the mean service time, in calls a second.
/// @param sigma  standard deviation of the logarithm of the service time
double capacity_of(std::size_t servers, std::size_t slots, double median_ms, double sigma);

/// Runs pairs of a baseline and a current trial in turn and gives the medians of `measure`.
struct pair_medians {
    std::map<std::string, double> baseline;
    std::map<std::string, double> current;
};
pair_medians run_pairs(const trial& baseline, const trial& current, const experiment_options& options,
                       const std::function<std::map<std::string, double>(const trial_report&)>& measure);

/// Prints one row per measured quantity.
void print_pairs(const pair_medians& medians);

} // namespace endivelever::experiments
