#include "experiments/experiment.hpp"
#include "testbed/blocking_http.hpp"
#include "testbed/usage.hpp"

#include <cstdio>
#include <stdexcept>
#include <thread>

namespace endivelever::experiments {
namespace {

using testbed::call_outcome;
using testbed::cluster;
using testbed::load_options;
using testbed::load_report;
using namespace std::chrono_literals;

/// Section 1.6: 0.34 ms added latency for 99 in 100 calls.
constexpr double section_1_6_added_p99_us = 340.0;
constexpr std::size_t default_pairs = 5;
constexpr std::size_t long_pairs = 15;
constexpr duration default_run = 3s;
constexpr duration long_run = 10s;
constexpr duration warm_up = 500ms;
constexpr duration settle_limit = 30s;
constexpr duration capacity_run = 1500ms;
constexpr double first_rate = 2000.0;
constexpr double highest_rate = 128'000.0;
constexpr double rate_growth = 1.25;
constexpr double served_share = 0.99; ///< below this the direct path is over its capacity
constexpr std::uint32_t callers = 16;

/// Constant, short service times: what remains is the latency of the path.
constexpr const char* short_service = R"({"work":[{"median_ms":1}]})";

/// Long calls with many slots, so that thousands of calls are open at once.
constexpr const char* long_service = R"({"work":[{"median_ms":4000}]})";
constexpr std::uint32_t many_slots = 500;
constexpr double open_calls_rate = 500.0;
constexpr duration open_calls_run = 3500ms;
constexpr duration open_calls_sample = 3s;

const testbed::kind_report& only_kind(const load_report& report) {
    return report.kinds.begin()->second;
}

std::uint64_t done(const load_report& report) {
    return only_kind(report).outcomes.at(static_cast<std::size_t>(call_outcome::done));
}

/// Load of the least urgent kind of Hanbit, straight to its servers or through the entries.
load_options status_load(cluster& testbed, bool direct, double rate, duration run_time) {
    auto options = testbed.caller_options();
    options.kinds.resize(1);
    auto& kind = options.kinds[0];
    kind.calls_per_second = rate;
    if (direct) {
        for (const auto& it : testbed.vms().servers) {
            if (it.service == testbed.vm(0).config.kinds.at(0).service) {
                kind.servers.push_back(it.address);
            }
        }
    }
    options.callers = callers;
    options.run_time = run_time;
    options.warm_up = warm_up;
    return options;
}

bool within_capacity(const load_report& report, duration latency_target) {
    const auto served = static_cast<double>(done(report));
    const auto offered = static_cast<double>(only_kind(report).calls);
    return served >= offered * served_share && value_at(only_kind(report).latency, 0.99) <= latency_target;
}

std::uint64_t running_calls(cluster& testbed) {
    const auto reply = testbed::call_http(testbed.servers_control(), "GET", "/fake/counts");
    std::uint64_t sum = 0;
    for (const auto& it : nlohmann::json::parse(reply.body)) {
        sum += it.at("running").get<std::uint64_t>();
    }
    return sum;
}

/// Waits until no call of an earlier run occupies a server.
void settle(cluster& testbed) {
    if (!testbed::wait_until([&testbed] { return running_calls(testbed) == 0; }, settle_limit)) {
        throw std::runtime_error("servers are still busy after an overload");
    }
}

/// @return highest rate tried at which the direct path serves its calls within the kind's latency target
double direct_capacity(cluster& testbed) {
    const auto target = testbed.vm(0).config.kinds.at(0).latency_target;
    double capacity = 0.0;
    for (double rate = first_rate; rate <= highest_rate; rate *= rate_growth) {
        const auto report = testbed::run_load(status_load(testbed, true, rate, capacity_run));
        if (!within_capacity(report, target)) {
            break;
        }
        capacity = rate;
    }
    settle(testbed);
    return capacity;
}

duration entry_cpu(cluster& testbed) {
    duration sum{};
    for (std::size_t i = 0; i < testbed.size(); ++i) {
        sum += testbed::usage_of(testbed.vm(i).entry.pid()).cpu;
    }
    return sum;
}

std::uint64_t entry_memory(cluster& testbed) {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < testbed.size(); ++i) {
        sum += testbed::usage_of(testbed.vm(i).entry.pid()).resident.value;
    }
    return sum;
}

/// @return bytes of all entries together per 1,000 calls that are open in them
double memory_per_1000_open_calls(const experiment_options& options) {
    auto settings = example_cluster("hanbit", options);
    settings.behaviour = long_service;
    settings.adjust = [](endivelever::settings& it) {
        for (auto& service : it.services) {
            service.slots_per_server = many_slots;
        }
        it.kinds.at(0).default_deadline = 5s;
    };
    settings.adjust_vm_list = [](vm_list& list) {
        for (auto& it : list.servers) {
            it.slots = many_slots;
        }
    };
    const auto testbed = start_cluster(settings);
    const auto before = entry_memory(*testbed);
    auto load = status_load(*testbed, false, open_calls_rate, open_calls_run);
    load.kinds[0].deadline = 5s;
    auto generator = testbed->start_load(load);
    if (!generator) {
        throw std::runtime_error(generator.error().message);
    }
    std::this_thread::sleep_for(open_calls_sample);
    const auto open = running_calls(*testbed);
    const auto after = entry_memory(*testbed);
    if (open == 0) {
        throw std::runtime_error("no calls were open when memory was measured");
    }
    return static_cast<double>(after - before) * 1000.0 / static_cast<double>(open);
}

struct pair_figures {
    std::vector<double> direct_p50_us;
    std::vector<double> balanced_p50_us;
    std::vector<double> direct_p99_us;
    std::vector<double> balanced_p99_us;
    std::vector<double> added_p99_us;
    std::vector<double> calls_per_core_second;
    std::uint64_t not_done = 0;
};

double quantile_us(const load_report& report, double quantile) {
    return to_milliseconds(value_at(only_kind(report).latency, quantile)) * 1000.0;
}

void run_pair(cluster& testbed, double rate, duration run_time, pair_figures& figures) {
    const auto direct = testbed::run_load(status_load(testbed, true, rate, run_time));
    const auto cpu_before = entry_cpu(testbed);
    const auto balanced = testbed::run_load(status_load(testbed, false, rate, run_time));
    const auto cpu = entry_cpu(testbed) - cpu_before;
    figures.direct_p50_us.push_back(quantile_us(direct, 0.5));
    figures.balanced_p50_us.push_back(quantile_us(balanced, 0.5));
    figures.direct_p99_us.push_back(quantile_us(direct, 0.99));
    figures.balanced_p99_us.push_back(quantile_us(balanced, 0.99));
    figures.added_p99_us.push_back(figures.balanced_p99_us.back() - figures.direct_p99_us.back());
    const double all_calls = rate * to_seconds(run_time);
    figures.calls_per_core_second.push_back(all_calls / to_seconds(cpu));
    figures.not_done += only_kind(balanced).calls - done(balanced);
    std::printf("%10.0f  %13.0f  %15.0f  %13.0f  %15.0f  %12.0f  %21.0f\n", rate,
                figures.direct_p50_us.back(), figures.balanced_p50_us.back(), figures.direct_p99_us.back(),
                figures.balanced_p99_us.back(), figures.added_p99_us.back(),
                figures.calls_per_core_second.back());
    std::fflush(stdout);
}

} // namespace

experiment_result run_added_latency(const experiment_options& options) {
    auto settings = example_cluster("hanbit", options);
    settings.behaviour = short_service;
    pair_figures figures;
    double rate = 0.0;
    {
        const auto testbed = start_cluster(settings);
        rate = direct_capacity(*testbed) / 2.0;
        std::printf(
            "rate_per_s  direct_p50_us  balanced_p50_us  direct_p99_us  balanced_p99_us  added_p99_us  "
            "calls_per_core_second\n");
        const auto pairs = options.long_run ? long_pairs : default_pairs;
        for (std::size_t i = 0; i < pairs; ++i) {
            run_pair(*testbed, rate, options.long_run ? long_run : default_run, figures);
        }
    }
    experiment_result result;
    const double added = median(figures.added_p99_us);
    result.baseline = {{"direct_p50_us", median(figures.direct_p50_us)},
                       {"direct_p99_us", median(figures.direct_p99_us)},
                       {"rate_per_s", rate}};
    result.current = {
        {"balanced_p50_us", median(figures.balanced_p50_us)},
        {"balanced_p99_us", median(figures.balanced_p99_us)},
        {"added_p99_us", added},
        {"balanced_to_direct_p99_ratio", median(figures.balanced_p99_us) / median(figures.direct_p99_us)},
        {"not_done_calls", figures.not_done},
        {"calls_per_entry_core_second", median(figures.calls_per_core_second)},
        {"memory_per_1000_open_calls_bytes", memory_per_1000_open_calls(options)}};
    result.target = {{"added_p99_us", section_1_6_added_p99_us}};
    result.met = added <= section_1_6_added_p99_us && figures.not_done == 0;
    return result;
}

} // namespace endivelever::experiments
