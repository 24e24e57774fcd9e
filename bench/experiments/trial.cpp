#include "experiments/trial.hpp"

#include "testbed/blocking_http.hpp"

#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <thread>

namespace endivelever::experiments {
namespace {

constexpr std::uint32_t callers = 48;
constexpr std::size_t default_pairs = 5;
constexpr std::size_t long_pairs = 11;

testbed::cluster_options cluster_of(const trial& wanted, const experiment_options& options) {
    auto cluster = example_cluster(wanted.deployment, options);
    cluster.entry_vms = wanted.entry_vms;
    cluster.behaviour = wanted.behaviour;
    cluster.adjust = [&wanted](settings& it) {
        it.log_level = "error";
        for (auto& service : it.services) {
            service.choice = wanted.choice;
            service.admission = wanted.admission;
        }
    };
    cluster.adjust_vm_list = [&wanted](vm_list& list) {
        for (std::size_t i = 0; list.entries.size() < wanted.entry_vms; ++i) {
            auto it = list.entries[i];
            it.id = vm_id("added-" + std::to_string(i));
            list.entries.push_back(it);
        }
    };
    return cluster;
}

testbed::load_options load_of(const trial& wanted, testbed::cluster& cluster) {
    auto load = cluster.caller_options();
    load.callers = callers;
    load.run_time = wanted.run_time;
    load.warm_up = wanted.warm_up;
    load.resend = wanted.resend;
    load.calls_file = cluster.folder().path("calls.jsonl");
    std::erase_if(load.kinds, [&](const auto& it) { return !wanted.rates.contains(it.kind.text); });
    for (auto& it : load.kinds) {
        it.calls_per_second = wanted.rates.at(it.kind.text);
    }
    return load;
}

const testbed::kind_report& report_of(const trial_report& report, const std::string& kind) {
    return report.load.kinds.at(kind_id(kind));
}

std::map<std::string, nlohmann::json> server_counts(testbed::cluster& cluster) {
    const auto reply = testbed::call_http(cluster.servers_control(), "GET", "/fake/counts");
    return nlohmann::json::parse(reply.body).get<std::map<std::string, nlohmann::json>>();
}

std::map<std::string, double> medians_of(const std::vector<std::map<std::string, double>>& runs) {
    std::map<std::string, double> result;
    for (const auto& [key, ignored] : runs.front()) {
        std::vector<double> values;
        values.reserve(runs.size());
        for (const auto& it : runs) {
            values.push_back(it.at(key));
        }
        result[key] = median(values);
    }
    return result;
}

} // namespace

trial_report run_trial(const trial& wanted, const experiment_options& options) {
    const auto cluster = start_cluster(cluster_of(wanted, options));
    if (wanted.prepare) {
        wanted.prepare(*cluster);
    }
    const auto load = load_of(wanted, *cluster);
    std::thread during([&] {
        if (wanted.during) {
            wanted.during(*cluster);
        }
    });
    trial_report report;
    report.load = testbed::run_load(load);
    during.join();
    report.servers = server_counts(*cluster);
    report.counted_seconds = to_seconds(wanted.run_time - wanted.warm_up);
    return report;
}

double count_of(const trial_report& report, const std::string& kind, testbed::call_outcome outcome) {
    return static_cast<double>(report_of(report, kind).outcomes.at(static_cast<std::size_t>(outcome)));
}

double goodput(const trial_report& report, const std::string& kind) {
    return count_of(report, kind, testbed::call_outcome::done) / report.counted_seconds;
}

double latency_ms(const trial_report& report, const std::string& kind, double quantile) {
    return to_milliseconds(value_at(report_of(report, kind).latency, quantile));
}

double sum_of(const trial_report& report, const std::string& counter) {
    double sum = 0.0;
    for (const auto& entry : report.servers) {
        sum += entry.second.at(counter).get<double>();
    }
    return sum;
}

double capacity_of(std::size_t servers, std::size_t slots, double median_ms, double sigma) {
    const double mean_seconds = median_ms / 1000.0 * std::exp(sigma * sigma / 2.0);
    return static_cast<double>(servers * slots) / mean_seconds;
}

pair_medians run_pairs(const trial& baseline, const trial& current, const experiment_options& options,
                       const std::function<std::map<std::string, double>(const trial_report&)>& measure) {
    const auto pairs = options.long_run ? long_pairs : default_pairs;
    std::vector<std::map<std::string, double>> before;
    std::vector<std::map<std::string, double>> after;
    for (std::size_t i = 0; i < pairs; ++i) {
        auto seeded = options;
        seeded.seed = options.seed + i;
        before.push_back(measure(run_trial(baseline, seeded)));
        after.push_back(measure(run_trial(current, seeded)));
    }
    return {medians_of(before), medians_of(after)};
}

void print_pairs(const pair_medians& medians) {
    std::printf("%-36s %12s %12s %8s\n", "median of all pairs", "baseline", "current", "ratio");
    for (const auto& [key, value] : medians.current) {
        const double before = medians.baseline.at(key);
        std::printf("%-36s %12.3f %12.3f %8.3f\n", key.c_str(), before, value,
                    before == 0.0 ? 0.0 : value / before);
    }
}

} // namespace endivelever::experiments
