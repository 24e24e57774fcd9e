#pragma once

#include "experiments/experiment.hpp"

namespace endivelever::experiments {

/// A third of the servers is ten times slower for 5 to 50 ms at a time; against two choices by own count.
experiment_result run_shift(const experiment_options& options);

/// Two of 20 servers become 20 times slower and one fails fast; against two choices by own count.
experiment_result run_straggler(const experiment_options& options);

/// Probes that a server receives while the number of entry VMs grows (I1).
experiment_result run_measuring(const experiment_options& options);

/// Load on servers that shed half of all calls.
experiment_result run_retry_storm(const experiment_options& options);

} // namespace endivelever::experiments
