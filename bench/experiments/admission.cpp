#include "experiments/admission.hpp"

#include "experiments/trial.hpp"

#include <algorithm>

namespace endivelever::experiments {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t ledger_servers = 8; // section 1.3
constexpr std::size_t ledger_slots = 6;   // section 1.3
constexpr double median_ms = 100.0;       // long enough that ten times the capacity fits on one machine
constexpr double sigma = 0.3;
constexpr const char* slow_work = R"({"work":[{"median_ms":100,"sigma":0.3}]})";
constexpr double flood_factor = 10.0; // issue: ten times the capacity

double ledger_capacity() {
    return capacity_of(ledger_servers, ledger_slots, median_ms, sigma);
}

trial ledger_trial(double order, double pour, double order_status) {
    trial wanted;
    wanted.deployment = "consortium";
    wanted.behaviour = slow_work;
    wanted.run_time = 5s;
    wanted.warm_up = 2s;
    const double capacity = ledger_capacity();
    wanted.rates = {{"order", order * capacity},
                    {"pour-booking", pour * capacity},
                    {"order-status", order_status * capacity},
                    {"slot-check", 50.0},
                    {"drawing", 20.0}};
    return wanted;
}

/// The share of offered calls that were done is free of the noise of random arrivals.
void add_kind(std::map<std::string, double>& values, const trial_report& report, const std::string& kind) {
    const auto offered = static_cast<double>(report.load.kinds.at(kind_id(kind)).calls);
    values[kind + "_goodput_per_s"] = goodput(report, kind);
    values[kind + "_done_ratio"] = count_of(report, kind, testbed::call_outcome::done) / offered;
    values[kind + "_p99_ms"] = latency_ms(report, kind, 0.99);
}

std::map<std::string, double> ledger_values(const trial_report& report) {
    std::map<std::string, double> values;
    double total = 0.0;
    for (const char* kind : {"order", "pour-booking", "order-status"}) {
        add_kind(values, report, kind);
        total += goodput(report, kind);
    }
    for (const char* kind : {"slot-check", "drawing"}) {
        add_kind(values, report, kind);
    }
    values["ledger_goodput_ratio"] = total / ledger_capacity();
    values["send_lag_p99_ms"] = to_milliseconds(value_at(report.load.send_lag, 0.99));
    return values;
}

std::map<std::string, double> run_once(const trial& wanted, const experiment_options& options) {
    return ledger_values(run_trial(wanted, options));
}

trial with_fifo(trial wanted) {
    wanted.admission = admission_policy::fifo;
    return wanted;
}

void fill(experiment_result& result, const pair_medians& medians) {
    result.baseline = medians.baseline;
    result.current = medians.current;
}

double refused(const trial_report& report, const std::string& kind) {
    return count_of(report, kind, testbed::call_outcome::refused) +
           count_of(report, kind, testbed::call_outcome::not_run);
}

} // namespace

experiment_result run_flood_low(const experiment_options& options) {
    constexpr double goodput_ratio = 0.99; // issue target
    constexpr double p99_ratio = 1.3;      // issue target
    const auto quiet = ledger_trial(0.3, 0.15, 0.1);
    const auto flood = ledger_trial(0.3, 0.15, flood_factor);
    const auto medians = run_pairs(with_fifo(flood), flood, options, ledger_values);
    print_pairs(medians);
    const auto calm = run_once(quiet, options);
    experiment_result result;
    fill(result, medians);
    result.met = true;
    for (const char* kind : {"order", "pour-booking", "slot-check", "drawing"}) {
        const auto name = std::string(kind);
        const double kept = medians.current.at(name + "_done_ratio") / calm.at(name + "_done_ratio");
        const double slower = medians.current.at(name + "_p99_ms") / calm.at(name + "_p99_ms");
        result.current[name + "_goodput_ratio_to_no_flood"] = kept;
        result.current[name + "_p99_ratio_to_no_flood"] = slower;
        result.met = result.met && kept >= goodput_ratio && slower <= p99_ratio;
    }
    result.target = {{"goodput_ratio_to_no_flood", goodput_ratio}, {"p99_ratio_to_no_flood", p99_ratio}};
    return result;
}

experiment_result run_flood_urgent(const experiment_options& options) {
    constexpr double pour_share = 0.2;   // guaranteed_share in preset "ordinary"
    constexpr double status_share = 0.2; // guaranteed_share in preset "ordinary"
    constexpr double total_ratio = 0.95; // issue target
    const auto flood = ledger_trial(flood_factor, 2 * pour_share, 2 * status_share);
    const auto medians = run_pairs(with_fifo(flood), flood, options, ledger_values);
    print_pairs(medians);
    experiment_result result;
    fill(result, medians);
    result.target = {{"pour-booking_goodput_per_s", pour_share * ledger_capacity()},
                     {"order-status_goodput_per_s", status_share * ledger_capacity()},
                     {"ledger_goodput_ratio", total_ratio}};
    result.met = std::all_of(result.target.items().begin(), result.target.items().end(), [&](const auto& it) {
        return medians.current.at(it.key()) >= it.value().template get<double>();
    });
    return result;
}

experiment_result run_rank(const experiment_options& options) {
    constexpr double p99_ratio = 1.2;          // issue target, against an idle fleet
    constexpr double low_refusal_share = 0.99; // refusals fall on the least urgent
    const auto overload = ledger_trial(0.4, 0.2, 0.7);
    const auto measure = [](const trial_report& report) {
        auto values = ledger_values(report);
        const double low = refused(report, "order-status");
        const double all = low + refused(report, "order") + refused(report, "pour-booking");
        values["low_refusal_share_ratio"] = all == 0.0 ? 1.0 : low / all;
        return values;
    };
    const auto medians = run_pairs(with_fifo(overload), overload, options, measure);
    print_pairs(medians);
    const auto idle = run_once(ledger_trial(0.05, 0.02, 0.02), options);
    experiment_result result;
    fill(result, medians);
    result.met = medians.current.at("low_refusal_share_ratio") >= low_refusal_share;
    for (const char* kind : {"order", "pour-booking"}) {
        const auto key = std::string(kind) + "_p99_ms";
        const double slower = medians.current.at(key) / idle.at(key);
        result.current[std::string(kind) + "_p99_ratio_to_idle"] = slower;
        result.met = result.met && slower <= p99_ratio;
    }
    result.target = {{"p99_ratio_to_idle", p99_ratio}, {"low_refusal_share_ratio", low_refusal_share}};
    return result;
}

} // namespace endivelever::experiments
