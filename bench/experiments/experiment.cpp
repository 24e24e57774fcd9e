#include "experiments/experiment.hpp"

#include <algorithm>
#include <stdexcept>

namespace endivelever::experiments {

testbed::cluster_options example_cluster(const std::string& deployment, const experiment_options& options) {
    testbed::cluster_options cluster;
    cluster.program_folder = ENDIVELEVER_BIN_DIR;
    cluster.example_folder = std::string(ENDIVELEVER_SOURCE_DIR) + "/examples/" + deployment;
    cluster.seed = options.seed;
    return cluster;
}

std::unique_ptr<testbed::cluster> start_cluster(const testbed::cluster_options& options) {
    auto started = testbed::cluster::start(options);
    if (!started) {
        throw std::runtime_error(started.error().message);
    }
    return std::move(*started);
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    const auto middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2.0;
}

} // namespace endivelever::experiments
