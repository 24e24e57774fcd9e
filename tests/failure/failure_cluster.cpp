#include "failure/failure_cluster.hpp"

#include "testbed/blocking_http.hpp"

#include <gtest/gtest.h>

namespace endivelever::testbed {

std::unique_ptr<cluster> start_test_cluster(const std::string& deployment, std::size_t entry_vms,
                                            bool with_forwarders) {
    cluster_options options;
    options.program_folder = ENDIVELEVER_BIN_DIR;
    options.example_folder = std::string(ENDIVELEVER_SOURCE_DIR) + "/examples/" + deployment;
    options.entry_vms = entry_vms;
    options.with_forwarders = with_forwarders;
    options.adjust = [](settings& it) {
        it.log_level = "warning";
        it.address_keep = std::chrono::milliseconds(500);
    };
    auto started = cluster::start(options);
    if (!started) {
        ADD_FAILURE() << started.error().message;
        return nullptr;
    }
    return std::move(*started);
}

running_load start_test_load(cluster& it, duration run_time, double calls_per_second_by_kind) {
    auto options = it.caller_options();
    options.run_time = run_time;
    options.resend = resend_policy::same_id;
    options.duplicate_ratio = 0.1;
    options.calls_file = it.folder().path("calls.jsonl");
    for (auto& kind : options.kinds) {
        kind.calls_per_second = calls_per_second_by_kind;
    }
    running_load load;
    load.calls_file = options.calls_file;
    load.report = std::async(std::launch::async, [options] { return run_load(options); });
    return load;
}

load_totals totals_of(const load_report& report) {
    load_totals sum;
    for (const auto& entry : report.kinds) {
        const auto& it = entry.second;
        const auto count = [&](call_outcome outcome) {
            return it.outcomes[static_cast<std::size_t>(outcome)];
        };
        sum.done += count(call_outcome::done);
        sum.wrong += count(call_outcome::wrong);
        sum.broken += count(call_outcome::broken);
        sum.unknown += count(call_outcome::unknown);
        sum.not_run += count(call_outcome::not_run) + count(call_outcome::refused);
        sum.other += count(call_outcome::failed);
    }
    return sum;
}

load_totals expect_safe_calls(cluster& it, running_load& load) {
    const auto totals = totals_of(load.report.get());
    const auto check = check_ledger(read_call_records(load.calls_file), it.ledger());
    EXPECT_GT(check.checked, 0U);
    EXPECT_GT(totals.done, 0U);
    EXPECT_EQ(totals.wrong, 0U) << "a caller got a wrong or incomplete response as whole";
    EXPECT_EQ(check.ran_after_not_run, 0U) << "a call was reported as not run, yet it ran";
    EXPECT_EQ(check.ran_twice, 0U) << "a call that is not idempotent ran more than once";
    EXPECT_EQ(check.done_without_run, 0U) << "a call was reported as done, yet it did not run";
    return totals;
}

http_reply call_entry(cluster& it, std::size_t index, const std::string& target) {
    return call_http(it.vm(index).config.caller_address, "GET", target);
}

std::string outcome_of(const http_reply& reply) {
    const auto* outcome = find_header(reply.headers, "Endivelever-Outcome");
    return outcome == nullptr ? "" : *outcome;
}

} // namespace endivelever::testbed
