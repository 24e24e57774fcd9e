#pragma once

#include "testbed/cluster.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace endivelever::experiments {

struct experiment_options {
    bool long_run = false; ///< more pairs and longer runs
    std::uint64_t seed = 1;
};

/// Outcome of one experiment; each key of the objects ends in its unit.
struct experiment_result {
    nlohmann::json baseline = nlohmann::json::object();
    nlohmann::json current = nlohmann::json::object();
    nlohmann::json target = nlohmann::json::object();
    bool met = false;
};

/// Runs both example deployments and prints each call's outcome. @return true if every outcome was right
bool run_demo(const experiment_options& options);

/// Latency that the balancer adds, calls per entry core and memory per open call (section 1.6).
experiment_result run_added_latency(const experiment_options& options);

/// Process start to first served call of an entry VM that joins a running cluster (I7).
experiment_result run_startup(const experiment_options& options);

/// Example deployment ("hanbit" or "consortium") with the built programs.
testbed::cluster_options example_cluster(const std::string& deployment, const experiment_options& options);

/// Starts a cluster, or throws std::runtime_error with what went wrong.
std::unique_ptr<testbed::cluster> start_cluster(const testbed::cluster_options& options);

/// @return the median; the vector must not be empty
double median(std::vector<double> values);

} // namespace endivelever::experiments
