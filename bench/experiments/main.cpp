#include "endivelever/base/log.hpp"
#include "experiments/admission.hpp"
#include "experiments/choice.hpp"
#include "experiments/experiment.hpp"
#include "experiments/nodes.hpp"

#include <docopt/docopt.h>
#include <exception>
#include <functional>
#include <iostream>

namespace {

using namespace endivelever;
using experiments::experiment_options;
using experiments::experiment_result;

constexpr const char* usage = R"(Runs an experiment, or the demo, on a testbed of its own.

Usage:
  endivelever-experiment NAME [--long] [--seed=N]
  endivelever-experiment (-h | --help)

Names:
  demo           calls of every kind on both example deployments; exit code 0 if every outcome was right
  added-latency  latency added by the balancer, calls per entry core, memory per open call
  startup        process start to first served call
  shift, straggler, measuring, retry-storm                     choice of servers
  flood-low, flood-urgent, rank                                admission
  preset-spread, store-load, drain, rolling-replace,
  entry-death, at-most-once                                    entry VMs together
  all            every experiment except the demo

Options:
  --long    More pairs and longer runs.
  --seed=N  Seed of all random numbers [default: 1].

The last line of each experiment is one JSON object.
)";

struct named_experiment {
    const char* name;
    std::function<experiment_result(const experiment_options&)> run;
};

const std::vector<named_experiment>& all_experiments() {
    static const std::vector<named_experiment> list{{"added-latency", experiments::run_added_latency},
                                                    {"startup", experiments::run_startup},
                                                    {"shift", experiments::run_shift},
                                                    {"straggler", experiments::run_straggler},
                                                    {"measuring", experiments::run_measuring},
                                                    {"retry-storm", experiments::run_retry_storm},
                                                    {"flood-low", experiments::run_flood_low},
                                                    {"flood-urgent", experiments::run_flood_urgent},
                                                    {"rank", experiments::run_rank},
                                                    {"preset-spread", experiments::run_preset_spread},
                                                    {"store-load", experiments::run_store_load},
                                                    {"drain", experiments::run_drain},
                                                    {"rolling-replace", experiments::run_rolling_replace},
                                                    {"entry-death", experiments::run_entry_death},
                                                    {"at-most-once", experiments::run_at_most_once}};
    return list;
}

void print_result(const std::string& name, const experiment_options& options,
                  const experiment_result& result) {
    const nlohmann::ordered_json line{{"experiment", name},          {"seed", options.seed},
                                      {"baseline", result.baseline}, {"current", result.current},
                                      {"target", result.target},     {"met", result.met}};
    std::cout << line.dump() << std::endl; // NOLINT(performance-avoid-endl): each result appears at once
}

/// @return exit code; a missed target is a result, not a failure of the run
int run_named(const std::string& name, const experiment_options& options) {
    if (name == "demo") {
        return experiments::run_demo(options) ? 0 : 1;
    }
    bool found = false;
    for (const auto& it : all_experiments()) {
        if (name == "all" || name == it.name) {
            found = true;
            print_result(it.name, options, it.run(options));
        }
    }
    if (!found) {
        LOG(ERROR) << "[experiment] unknown name \"" << name << "\"";
    }
    return found ? 0 : 2;
}

} // namespace

int main(int argc, char** argv) {
    const auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    configure_logging("info");
    const experiment_options options{.long_run = args.at("--long").asBool(),
                                     .seed = static_cast<std::uint64_t>(args.at("--seed").asLong())};
    try {
        return run_named(args.at("NAME").asString(), options);
    } catch (const std::exception& problem) {
        LOG(ERROR) << "[experiment] " << problem.what();
        return 3;
    }
}
