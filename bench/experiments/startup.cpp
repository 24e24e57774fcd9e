#include "experiments/experiment.hpp"
#include "testbed/blocking_http.hpp"

#include <cstdio>
#include <stdexcept>

namespace endivelever::experiments {
namespace {

using testbed::cluster;
using namespace std::chrono_literals;

/// I7: a preset is in force everywhere within 6 s, so a VM that starts must serve under it by then.
constexpr double i7_limit_ms = 6000.0;
constexpr duration serve_limit = 60s;
constexpr duration attempt_timeout = 200ms;
constexpr std::size_t default_pairs = 5;
constexpr std::size_t long_pairs = 20;

double milliseconds_until(const std::function<bool()>& served, time_point start) {
    if (!testbed::wait_until(served, serve_limit)) {
        throw std::runtime_error("no call was served within " + std::to_string(to_seconds(serve_limit)) +
                                 " s");
    }
    return to_milliseconds(boot_clock::now() - start);
}

/// Baseline: a fake server program on its own, which has nobody to learn from.
double direct_start_ms(cluster& testbed) {
    const auto file =
        testbed.folder().write("single.json", R"({"servers":[{"id":"single","service":"single"}]})");
    const auto start = boot_clock::now();
    auto server = testbed::process::start({std::string(ENDIVELEVER_BIN_DIR) + "/endivelever-fake-servers",
                                           {"--servers=" + file},
                                           testbed.folder().path("single.log")});
    if (!server) {
        throw std::runtime_error(server.error().message);
    }
    const socket_address control(testbed::read_listening_address(*server).value());
    const auto listing = testbed::call_http(control, "GET", "/fake/servers");
    const socket_address address(nlohmann::json::parse(listing.body).at("servers")[0].at("address"));
    return milliseconds_until(
        [&address] { return testbed::succeeded(testbed::call_http(address, "GET", "/status/1")); }, start);
}

/// Kills and restarts both processes of one VM.
double entry_start_ms(cluster& testbed, std::size_t index) {
    auto& vm = testbed.vm(index);
    vm.entry.kill();
    vm.control.kill();
    const auto start = boot_clock::now();
    auto started = testbed.start_control(index);
    if (started) {
        started = testbed.start_entry(index);
    }
    if (!started) {
        throw std::runtime_error(started.error().message);
    }
    const auto& address = vm.config.caller_address;
    const auto target = vm.config.kinds.at(0).path_prefix + "1";
    return milliseconds_until(
        [&] {
            return testbed::succeeded(testbed::call_http(address, "GET", target, "", {}, attempt_timeout));
        },
        start);
}

} // namespace

experiment_result run_startup(const experiment_options& options) {
    const auto testbed = start_cluster(example_cluster("hanbit", options));
    std::vector<double> direct;
    std::vector<double> entry;
    const auto pairs = options.long_run ? long_pairs : default_pairs;
    std::printf("pair  direct_ms  entry_ms\n");
    for (std::size_t i = 0; i < pairs; ++i) {
        direct.push_back(direct_start_ms(*testbed));
        entry.push_back(entry_start_ms(*testbed, i % testbed->size()));
        std::printf("%4zu  %9.1f  %8.1f\n", i + 1, direct.back(), entry.back());
    }
    experiment_result result;
    const double worst = *std::max_element(entry.begin(), entry.end());
    result.baseline = {{"start_to_first_call_p50_ms", median(direct)}};
    result.current = {{"start_to_first_call_p50_ms", median(entry)}, {"start_to_first_call_max_ms", worst}};
    result.target = {{"start_to_first_call_max_ms", i7_limit_ms}};
    result.met = worst <= i7_limit_ms;
    return result;
}

} // namespace endivelever::experiments
