#include "soak/soak.hpp"

#include <docopt/docopt.h>
#include <iostream>

namespace {

constexpr const char* usage =
    R"(Fault soak of the gateway: real processes, random faults, promises checked while it runs.

Usage:
  endivelever-soak [--seed=N] [--runs=N] [--seconds=S] [--gateways=N] [--servers=N]
                  [--rarer=N] [--faults]
  endivelever-soak (-h | --help)

Options:
  --seed=N      First seed [default: 1].
  --runs=N      Runs, each with the next seed [default: 1].
  --seconds=S   Time in which faults come, for each run [default: 8].
  --gateways=N  Gateway processes [default: 3].
  --servers=N   Servers [default: 5].
  --rarer=N     Factor on the time between faults [default: 1].
  --faults      Prints the faults of each run.
)";

} // namespace

int main(int argc, char** argv) {
    using namespace endivelever;
    const auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    long failed = 0;
    const auto runs = args.at("--runs").asLong();
    for (long i = 0; i < runs; ++i) {
        soak::soak_options options;
        options.seed = static_cast<std::uint64_t>(args.at("--seed").asLong() + i);
        options.fault_time = std::chrono::seconds(args.at("--seconds").asLong());
        options.gateways = static_cast<std::size_t>(args.at("--gateways").asLong());
        options.servers = static_cast<std::size_t>(args.at("--servers").asLong());
        options.fault_gap_factor = static_cast<int>(args.at("--rarer").asLong());
        options.program = ENDIVELEVER_BIN_DIR "/endivelever-gateway";
        const auto report = soak::run_soak(options);
        std::cout << "seed " << options.seed << ": " << report.calls << " calls, " << report.done << " done, "
                  << report.refused << " refused, " << report.unclear << " unclear, " << report.most_in_window
                  << " in a quota window, " << report.faults.size() << " faults, " << report.violations.size()
                  << " violations\n";
        for (const auto& it : report.violations) {
            std::cout << "  " << it << '\n';
        }
        if (args.at("--faults").asBool()) {
            for (const auto& it : report.faults) {
                std::cout << "  fault " << it << '\n';
            }
        }
        std::cout.flush();
        failed += report.violations.empty() ? 0 : 1;
    }
    std::cout << runs - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
