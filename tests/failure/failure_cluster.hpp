#pragma once

#include "testbed/cluster.hpp"

#include <cstddef>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace endivelever::testbed {

/// Longest wait for a state to be reached; only a hang reaches it.
constexpr duration generous_limit = std::chrono::seconds(60);

/// Starts an example deployment for a failure test, or fails the test.
std::unique_ptr<cluster> start_test_cluster(const std::string& deployment, std::size_t entry_vms,
                                            bool with_forwarders = false);

/// Calls of every kind on a cluster while a test brings about a failure.
struct running_load {
    std::future<load_report> report;
    std::string calls_file;
};

/// Starts callers that repeat calls: idempotent ones freely, others under the same call id.
running_load start_test_load(cluster& it, duration run_time, double calls_per_second_by_kind);

/// What callers were told, added up over all kinds.
struct load_totals {
    std::uint64_t done = 0;
    std::uint64_t wrong = 0;
    std::uint64_t broken = 0;
    std::uint64_t unknown = 0;
    std::uint64_t not_run = 0;
    std::uint64_t other = 0;
};
load_totals totals_of(const load_report& report);

/// Waits for the callers and checks I2, I3 and I4 against the servers' ledger.
load_totals expect_safe_calls(cluster& it, running_load& load);

/// Sends one call through an entry. @return the reply
http_reply call_entry(cluster& it, std::size_t index, const std::string& target);

/// @return outcome header of a reply, or "" if there is none
std::string outcome_of(const http_reply& reply);

} // namespace endivelever::testbed
