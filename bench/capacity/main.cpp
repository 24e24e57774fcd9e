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
  endivelever-capacity [--out=DIR]
  endivelever-capacity --help

Options:
  --out=DIR   folder for tables and plot data [default: bench/results/capacity]
)";

} // namespace

int main(int argc, char** argv) {
    try {
        const auto args = docopt::docopt(usage, {argv + 1, argv + argc});
        const auto folder = args.at("--out").asString();
        std::filesystem::create_directories(folder);
        const auto slopes = endivelever::bench::measure_in_process();
        endivelever::bench::print_slopes(slopes);
        endivelever::bench::write_slopes(slopes, folder);
        std::printf("%s\n", endivelever::bench::result_line(slopes).c_str());
        return 0;
    } catch (const std::exception& ec) {
        std::fprintf(stderr, "%s\n", ec.what());
        return 1;
    }
}
