#pragma once

#include "capacity/slope.hpp"

#include <cstdint>
#include <string>

namespace endivelever::bench {

struct cluster_slope_options {
    std::string program_folder; ///< ENDIVELEVER_BIN_DIR
    std::string example_folder; ///< deployment whose settings are used
    std::uint64_t seed = 1;
};

/// Processor time, memory and traffic of the control process while the number of entry VMs grows.
/// Starts two processes for each VM, the platform and the servers.
/// @throws std::runtime_error if a cluster does not start
std::vector<slope> measure_members(const cluster_slope_options& options);

/// The same at a fixed number of VMs while preset switches a second grow.
std::vector<slope> measure_changes(const cluster_slope_options& options);

} // namespace endivelever::bench
