#include "capacity/cluster_slopes.hpp"
#include "capacity/process_slopes.hpp"
#include "capacity/report.hpp"
#include "endivelever/base/log.hpp"

#include <cstdio>
#include <docopt/docopt.h>
#include <exception>
#include <filesystem>

namespace {

constexpr const char* usage = R"(Measures how state, messages, memory and processor time grow.

Usage:
  endivelever-capacity [--out=DIR] [--in-process]
  endivelever-capacity --help

Options:
  --out=DIR     folder for tables and plot data [default: bench/results/capacity]
  --in-process  only the slopes that need no other process
)";

void add_cluster_slopes(std::vector<endivelever::bench::slope>& slopes) {
    const endivelever::bench::cluster_slope_options options{ENDIVELEVER_BIN_DIR,
                                                            ENDIVELEVER_SOURCE_DIR "/examples/hanbit", 1};
    for (auto measure : {&endivelever::bench::measure_members, &endivelever::bench::measure_changes}) {
        for (auto& it : measure(options)) {
            slopes.push_back(std::move(it));
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    try {
        const auto args = docopt::docopt(usage, {argv + 1, argv + argc});
        const auto folder = args.at("--out").asString();
        std::filesystem::create_directories(folder);
        auto slopes = endivelever::bench::measure_in_process();
        if (!args.at("--in-process").asBool()) {
            add_cluster_slopes(slopes);
        }
        endivelever::bench::print_slopes(slopes);
        endivelever::bench::write_slopes(slopes, folder);
        std::printf("%s\n", endivelever::bench::result_line(slopes).c_str());
        return 0;
    } catch (const std::exception& ec) {
        std::fprintf(stderr, "%s\n", ec.what());
        return 1;
    }
}
