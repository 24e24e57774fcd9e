#include "experiments/call_totals.hpp"

namespace endivelever::experiments {
namespace {

constexpr double duplicate_ratio = 0.1; // part of calls sent twice at once

std::uint64_t total(const testbed::load_report& report, testbed::call_outcome outcome) {
    std::uint64_t sum = 0;
    for (const auto& entry : report.kinds) {
        sum += entry.second.outcomes.at(static_cast<std::size_t>(outcome));
    }
    return sum;
}

} // namespace

background_load start_background_load(testbed::cluster& cluster, duration run_time, double calls_per_second) {
    auto options = cluster.caller_options();
    options.run_time = run_time;
    options.resend = testbed::resend_policy::same_id;
    options.duplicate_ratio = duplicate_ratio;
    options.calls_file = cluster.folder().path("calls.jsonl");
    for (auto& kind : options.kinds) {
        kind.calls_per_second = calls_per_second;
    }
    background_load load;
    load.calls_file = options.calls_file;
    load.report = std::async(std::launch::async, [options] { return testbed::run_load(options); });
    return load;
}

nlohmann::json finish_background_load(testbed::cluster& cluster, background_load& load) {
    using testbed::call_outcome;
    const auto report = load.report.get();
    const auto check = check_ledger(testbed::read_call_records(load.calls_file), cluster.ledger());
    nlohmann::json values;
    std::uint64_t calls = 0;
    for (const auto& [kind, it] : report.kinds) {
        calls += it.calls;
        values[kind.text + "_p99_ms"] = to_milliseconds(value_at(it.latency, 0.99));
    }
    values["calls"] = calls;
    values["done_calls"] = total(report, call_outcome::done);
    values["not_run_calls"] = total(report, call_outcome::not_run) + total(report, call_outcome::refused);
    values["unknown_calls"] = total(report, call_outcome::unknown);
    values["broken_calls"] = total(report, call_outcome::broken);
    values["failed_calls"] = total(report, call_outcome::failed);
    values["wrong_calls"] = total(report, call_outcome::wrong);
    values["ran_twice_calls"] = check.ran_twice;
    values["ran_after_not_run_calls"] = check.ran_after_not_run;
    values["done_without_run_calls"] = check.done_without_run;
    return values;
}

} // namespace endivelever::experiments
