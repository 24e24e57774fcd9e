#include "experiments/choice.hpp"

#include "experiments/trial.hpp"
#include "testbed/blocking_http.hpp"

#include <cstdio>
#include <set>
#include <thread>

namespace endivelever::experiments {
namespace {

using namespace std::chrono_literals;

constexpr const char* status = "job-status";
constexpr std::size_t status_servers = 20; // section 1.3
constexpr std::size_t status_slots = 4;    // section 1.3
constexpr double median_ms = 10.0;
constexpr double sigma = 0.3;
constexpr const char* ten_ms = R"({"work":[{"median_ms":10,"sigma":0.3}]})";

std::vector<server_id> servers_of(const testbed::cluster& cluster, const std::string& service) {
    std::vector<server_id> ids;
    for (const auto& it : cluster.vms().servers) {
        if (it.service.text == service) {
            ids.push_back(it.id);
        }
    }
    return ids;
}

void change(testbed::cluster& cluster, const server_id& server, const std::string& body) {
    const auto done = cluster.change_server(server, body);
    if (!done) {
        throw std::runtime_error(done.error().message);
    }
}

/// Each server is ten times slower for 5 to 50 ms, a third of the time, out of step with the others.
void shift_load(testbed::cluster& cluster) {
    constexpr int shortest_ms = 5;
    constexpr int range_ms = 46;
    constexpr int periods = 3;
    int number = 0;
    for (const auto& server : servers_of(cluster, "status-lookup")) {
        const int slow_ms = shortest_ms + (number * 17) % range_ms;
        const int phase_ms = (number * 31) % (periods * slow_ms);
        const nlohmann::json script{
            {"steps", {{{"at_ms", 0}, {"factor", 10.0}}, {{"at_ms", slow_ms}, {"factor", 1.0}}}},
            {"script_period_ms", periods * slow_ms},
            {"script_phase_ms", phase_ms}};
        change(cluster, server, script.dump());
        ++number;
    }
}

std::map<std::string, double> status_latency(const trial_report& report) {
    return {{"p50_ms", latency_ms(report, status, 0.5)},
            {"p99_ms", latency_ms(report, status, 0.99)},
            {"p999_ms", latency_ms(report, status, 0.999)},
            {"goodput_per_s", goodput(report, status)}};
}

nlohmann::json json_of(const std::map<std::string, double>& values) {
    return values;
}

} // namespace

experiment_result run_shift(const experiment_options& options) {
    constexpr double p99_ratio = 0.5;     // issue target: at most half of two choices by own count
    constexpr double mean_slowdown = 4.0; // two thirds at factor 1, one third at factor 10
    constexpr double load = 0.5;
    trial current;
    current.behaviour = ten_ms;
    current.rates = {
        {status, load * capacity_of(status_servers, status_slots, median_ms, sigma) / mean_slowdown}};
    current.prepare = shift_load;
    auto baseline = current;
    baseline.choice = choice_policy::two_choices;
    const auto medians = run_pairs(baseline, current, options, status_latency);
    print_pairs(medians);
    experiment_result result;
    result.baseline = json_of(medians.baseline);
    result.current = json_of(medians.current);
    result.target = {{"p99_ratio", p99_ratio}};
    result.met = medians.current.at("p99_ms") <= p99_ratio * medians.baseline.at("p99_ms");
    return result;
}

namespace {

constexpr duration fault_at = 2s;
constexpr duration reaction_time = 100ms; // issue target: counted from 100 ms after the fault

struct straggler_counts {
    double bad = 0.0;
    double all = 0.0;
};

straggler_counts received(testbed::cluster& cluster, const std::set<std::string>& bad) {
    const auto reply = testbed::call_http(cluster.servers_control(), "GET", "/fake/counts");
    straggler_counts sum;
    for (const auto& server : servers_of(cluster, "status-lookup")) {
        const auto count = nlohmann::json::parse(reply.body).at(server.text).at("received").get<double>();
        sum.all += count;
        sum.bad += bad.contains(server.text) ? count : 0.0;
    }
    return sum;
}

/// Two servers become twenty times slower and one fails every call at once.
std::set<std::string> break_servers(testbed::cluster& cluster) {
    const auto ids = servers_of(cluster, "status-lookup");
    change(cluster, ids.at(2), R"({"steps":[{"at_ms":0,"factor":20}]})");
    change(cluster, ids.at(9), R"({"steps":[{"at_ms":0,"factor":20}]})");
    change(cluster, ids.at(15), R"({"fail_ratio":1.0})");
    return {ids.at(2).text, ids.at(9).text, ids.at(15).text};
}

std::map<std::string, double> straggler_run(trial wanted, const experiment_options& options) {
    constexpr double broken = 3.0;
    straggler_counts before;
    straggler_counts after;
    wanted.run_time = 5s;
    wanted.warm_up = fault_at + reaction_time;
    wanted.during = [&](testbed::cluster& cluster) {
        std::this_thread::sleep_for(fault_at);
        const auto bad = break_servers(cluster);
        std::this_thread::sleep_for(reaction_time);
        before = received(cluster, bad);
        std::this_thread::sleep_for(2500ms);
        after = received(cluster, bad);
    };
    const auto report = run_trial(wanted, options);
    const double fair = (after.all - before.all) * broken / status_servers;
    auto values = status_latency(report);
    values["calls_to_broken_ratio"] = (after.bad - before.bad) / fair;
    values["failed_per_s"] = count_of(report, status, testbed::call_outcome::failed) / report.counted_seconds;
    return values;
}

} // namespace

experiment_result run_straggler(const experiment_options& options) {
    constexpr double fair_share_ratio = 0.02; // issue target
    constexpr double p99_ratio = 1.2;         // issue target, against no fault
    constexpr double load = 0.5;
    constexpr std::size_t pairs = 5;
    trial current;
    current.behaviour = ten_ms;
    current.rates = {{status, load * capacity_of(status_servers, status_slots, median_ms, sigma)}};
    auto baseline = current;
    baseline.choice = choice_policy::two_choices;
    std::map<std::string, std::vector<double>> two_choices;
    std::map<std::string, std::vector<double>> ours;
    std::vector<double> healthy_p99;
    for (std::size_t i = 0; i < pairs; ++i) {
        for (const auto& [key, value] : straggler_run(baseline, options)) {
            two_choices[key].push_back(value);
        }
        for (const auto& [key, value] : straggler_run(current, options)) {
            ours[key].push_back(value);
        }
        healthy_p99.push_back(status_latency(run_trial(current, options)).at("p99_ms"));
    }
    pair_medians medians;
    for (const auto& [key, values] : ours) {
        medians.current[key] = median(values);
        medians.baseline[key] = median(two_choices.at(key));
    }
    print_pairs(medians);
    const double healthy = median(healthy_p99);
    experiment_result result;
    result.baseline = json_of(medians.baseline);
    result.current = json_of(medians.current);
    result.current["healthy_p99_ms"] = healthy;
    result.target = {{"calls_to_broken_ratio", fair_share_ratio}, {"p99_ratio_to_healthy", p99_ratio}};
    result.met = medians.current.at("calls_to_broken_ratio") <= fair_share_ratio &&
                 medians.current.at("p99_ms") <= p99_ratio * healthy;
    return result;
}

experiment_result run_measuring(const experiment_options& options) {
    constexpr double budget_per_server_per_s = 10.0; // the presets' probes_per_server_per_second
    experiment_result result;
    result.met = true;
    std::printf("%10s %28s %22s\n", "entry VMs", "probes a server a second", "highest of a server");
    for (const std::size_t members : {4U, 8U, 16U, 32U, 64U}) {
        trial quiet;
        quiet.behaviour = ten_ms;
        quiet.entry_vms = members;
        quiet.rates = {{status, 100.0}};
        quiet.run_time = 6s;
        double before = 0.0;
        std::map<std::string, double> first;
        quiet.during = [&](testbed::cluster& cluster) {
            std::this_thread::sleep_for(1s);
            const auto reply = testbed::call_http(cluster.servers_control(), "GET", "/fake/counts");
            const auto counts = nlohmann::json::parse(reply.body);
            for (const auto& entry : counts.items()) {
                first[entry.key()] = entry.value().at("probes").get<double>();
                before += first[entry.key()];
            }
        };
        const auto report = run_trial(quiet, options);
        constexpr double observed_s = 5.0;
        double highest = 0.0;
        for (const auto& [id, counts] : report.servers) {
            highest = std::max(highest, (counts.at("probes").get<double>() - first[id]) / observed_s);
        }
        const double mean =
            (sum_of(report, "probes") - before) / observed_s / static_cast<double>(report.servers.size());
        std::printf("%10zu %28.2f %22.2f\n", members, mean, highest);
        const auto key = "probes_per_server_per_s_at_" + std::to_string(members) + "_entries";
        result.current[key] = highest;
        result.met = result.met && highest <= budget_per_server_per_s;
    }
    result.target = {{"probes_per_server_per_s", budget_per_server_per_s}};
    return result;
}

experiment_result run_retry_storm(const experiment_options& options) {
    constexpr double load_ratio = 1.1; // issue target
    constexpr double load = 0.3;
    trial shedding;
    shedding.behaviour = R"({"work":[{"median_ms":10,"sigma":0.3}],"shed_ratio":0.5})";
    shedding.rates = {{status, load * capacity_of(status_servers, status_slots, median_ms, sigma)}};
    shedding.warm_up = duration::zero();
    const auto report = run_trial(shedding, options);
    const double offered = static_cast<double>(report.load.kinds.at(kind_id(status)).calls);
    const double sent = sum_of(report, "received") - sum_of(report, "probes");
    const double ratio = sum_of(report, "received") / offered;
    std::printf("offered %.0f, received by servers %.0f, without probes %.0f, ratio %.3f\n", offered,
                sum_of(report, "received"), sent, ratio);
    experiment_result result;
    result.current = {{"load_ratio", ratio},
                      {"goodput_ratio", goodput(report, status) * report.counted_seconds / offered}};
    result.target = {{"load_ratio", load_ratio}};
    result.met = ratio <= load_ratio;
    return result;
}

} // namespace endivelever::experiments
