#pragma once

#include "endivelever/base/histogram.hpp"
#include "endivelever/base/ids.hpp"
#include "endivelever/base/result.hpp"
#include "endivelever/config/settings.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace endivelever::testbed {

/// Calls of one kind.
struct load_kind {
    kind_id kind;
    std::string path_prefix; ///< starts and ends with '/'
    std::string method = "GET";
    double calls_per_second = 0.0; ///< Poisson arrivals
    std::uint64_t response_size = 128;
    std::uint64_t request_size = 0;
    bool idempotent = true;
    duration deadline = std::chrono::seconds(1);
    std::vector<socket_address> servers{}; ///< direct mode: calls go straight to a random one of these
};

/// What a caller does after an attempt without a complete response.
enum class resend_policy {
    none,
    safe,   ///< repeats idempotent calls, and other calls that certainly did not run, with a new call id
    same_id ///< also repeats calls with an unknown outcome, with the same call id
};

struct load_options {
    std::vector<socket_address> entries; ///< asked for addresses
    std::vector<load_kind> kinds;
    duration run_time = std::chrono::seconds(5);
    duration warm_up{}; ///< calls due earlier are sent but not counted
    std::uint64_t seed = 1;
    std::uint32_t callers = 8; ///< each keeps its own address answer and connections
    resend_policy resend = resend_policy::none;
    std::uint32_t max_attempts = 3;
    double duplicate_ratio = 0.0; ///< part of calls sent twice at once, to two addresses if there are two
    std::string calls_file;       ///< if set: one JSON object a line for each call id, see call_record
};

/// How a call ended for its caller.
enum class call_outcome {
    done,    ///< complete response of the server, every byte right
    failed,  ///< complete response of the server with an error status
    not_run, ///< nothing was sent, or answered "not-run" for another reason than load
    refused, ///< answered "not-run" with 429 or 503
    unknown, ///< answered "unknown", or no response in time
    broken,  ///< connection closed before the response was complete
    wrong    ///< wrong byte, wrong length or no outcome: never allowed
};
constexpr std::size_t call_outcomes = 7;

/// @return "done", "failed", "not_run", "refused", "unknown", "broken" or "wrong"
const char* to_text(call_outcome value);

using outcome_counts = std::array<std::uint64_t, call_outcomes>;

struct kind_report {
    std::uint64_t calls = 0;
    outcome_counts outcomes{};           ///< of the last attempt of each call
    outcome_counts duplicate_outcomes{}; ///< of the second copies
    std::uint64_t resends = 0;
    histogram latency; ///< of calls done, from the intended send time
};

struct load_report {
    std::map<kind_id, kind_report> kinds;
    histogram send_lag; ///< actual less intended send time: high values mean that the generator was too slow
    std::uint64_t address_requests = 0;
    std::uint64_t address_failures = 0;
};

/// Attempts of one call id (or request target, for idempotent calls) by outcome.
struct call_record {
    std::string key;
    bool idempotent = false;
    std::uint32_t done = 0;
    std::uint32_t not_run = 0; ///< not_run, refused
    std::uint32_t unclear = 0; ///< failed, unknown, broken, wrong
};

/// Parses options from JSON with the member names above; durations end in `_ms`.
result<load_options> parse_load_options(const std::string& text);

/// @return JSON text that parse_load_options() reads back to an equal value
std::string to_json(const load_options& options);

/// @return one JSON object: counts and latencies in microseconds by kind
std::string to_json(const load_report& report);

/// Runs the load on a loop of its own and returns when every call has ended.
load_report run_load(const load_options& options);

/// Compares what callers were told with what ran.
struct ledger_check {
    std::uint64_t checked = 0;
    std::uint64_t ran_after_not_run = 0; ///< I3: every attempt was reported as not run, yet it ran
    std::uint64_t ran_twice = 0;         ///< I4: a call that is not idempotent ran more than once
    std::uint64_t done_without_run = 0;  ///< reported as done, yet it did not run
};
ledger_check check_ledger(const std::vector<call_record>& records,
                          const std::map<std::string, std::uint32_t>& ledger);

/// Reads a file written because of load_options::calls_file.
std::vector<call_record> read_call_records(const std::string& path);

} // namespace endivelever::testbed
