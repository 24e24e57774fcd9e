#pragma once

#include "experiments/experiment.hpp"

namespace endivelever::experiments {

/// The least urgent kind of the order ledger at ten times its capacity; against first come, first served.
experiment_result run_flood_low(const experiment_options& options);

/// The most urgent kind of the order ledger at ten times its capacity; against first come, first served.
experiment_result run_flood_urgent(const experiment_options& options);

/// All kinds of the order ledger at 1.3 times its capacity; against first come, first served.
experiment_result run_rank(const experiment_options& options);

} // namespace endivelever::experiments
