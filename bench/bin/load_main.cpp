#include "endivelever/base/log.hpp"
#include "testbed/load.hpp"

#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr const char* usage = R"(Open-loop load generator: plays callers of the entries.

Usage:
  endivelever-load --options=FILE
  endivelever-load (-h | --help)

Options:
  --options=FILE  JSON document: entries, kinds with rates, run time, seed.

Prints one JSON object when every call has ended: outcomes and latencies by kind.
)";

} // namespace

int main(int argc, char** argv) {
    using namespace endivelever;
    const auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    configure_logging("info");
    const std::ifstream in(args.at("--options").asString());
    std::ostringstream text;
    text << in.rdbuf();
    const auto options = testbed::parse_load_options(text.str());
    if (!options) {
        LOG(ERROR) << "[load] " << options.error().message;
        return 1;
    }
    std::cout << testbed::to_json(testbed::run_load(*options)) << '\n';
    return 0;
}
