#pragma once

#include "experiments/experiment.hpp"
#include "testbed/load.hpp"

#include <future>

namespace endivelever::experiments {

/// Calls of every kind that run while an experiment acts on the cluster.
struct background_load {
    std::future<testbed::load_report> report;
    std::string calls_file;
};

/// Starts callers that repeat calls under the same call id.
/// @param calls_per_second  of each kind
background_load start_background_load(testbed::cluster& cluster, duration run_time, double calls_per_second);

/// What the callers were told, and what the ledger says, with the unit in each key.
nlohmann::json finish_background_load(testbed::cluster& cluster, background_load& load);

} // namespace endivelever::experiments
