#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivelever::testbed {

/// Service times of one kind: log-normal around the median.
struct work_time {
    std::string kind; ///< value of the Endivelever-Kind header; empty matches every kind
    duration median = std::chrono::milliseconds(2);
    double sigma = 0.0; ///< standard deviation of the logarithm; 0 means constant
};

/// From `at` on, service times are multiplied by `factor`.
struct slow_step {
    duration at{};
    double factor = 1.0;
};

/// How a server reports its load.
enum class report_mode {
    fresh,
    stale, ///< repeats a report until it is `report_age` old
    fixed, ///< sends `fixed_report` whatever the load
    absent
};

/// What a server does; may be replaced while it runs.
struct server_behaviour {
    std::uint32_t slots = 4;
    std::uint32_t queue_limit = 1000;
    std::vector<work_time> work;
    std::vector<slow_step> steps; ///< ordered by time, relative to `script_start`
    duration script_period{};     ///< the steps repeat after this; 0 means that the last one lasts
    time_point script_start{};
    double cold_factor = 1.0; ///< service time factor right after the start; falls linearly to 1
    duration cold_period{};
    time_point cold_start{};
    bool draining = false;
    double shed_ratio = 0.0; ///< part of calls refused without running
    double fail_ratio = 0.0; ///< part of calls answered with `fail_status` at once
    std::uint32_t fail_status = 500;
    bool honours_deadline = true;
    bool honours_cancel = true;
    report_mode report = report_mode::fresh;
    duration report_age{};
    std::string fixed_report;
};

struct offered_call {
    std::uint64_t number = 0; ///< unique per server
    std::string kind;
    std::optional<time_point> deadline;
};

enum class arrival { started, queued, shed, failed, expired };

/// Effect of one event on one call.
struct call_step {
    std::uint64_t number = 0;
    arrival effect = arrival::started;
    duration service{}; ///< service time if started
};

struct server_counts {
    std::uint64_t received = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t shed = 0;
    std::uint64_t failed = 0;
    std::uint64_t expired = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t probes = 0;
};

/// A server with slots and a FIFO queue. Plain state; the functions below are its only rules.
struct server_model {
    server_behaviour behaviour;
    server_counts counts;
    std::deque<offered_call> queue;
    std::unordered_map<std::uint64_t, duration> running; ///< service time by call
    duration mean_service = std::chrono::milliseconds(1);
    std::string last_report;
    time_point last_report_at{};
};

/// A call arrives.
call_step submit(server_model& server, const offered_call& call, time_point now, random_source& random);

/// A running call ends. @return queued calls that start or expire now
std::vector<call_step> finish(server_model& server, std::uint64_t number, time_point now,
                              random_source& random);

/// The caller closed the connection. @return true if the call was queued, so that it never runs
bool cancel(server_model& server, std::uint64_t number);

/// @return factor of service times that start now (script and cold start together)
double service_factor(const server_behaviour& behaviour, time_point now);

/// @return value of the Endivelever-Load header; empty if the server sends none
std::string load_report(server_model& server, time_point now);

/// Applies the keys present in a JSON object to a behaviour; script and cold start begin at `now`.
/// @return empty text, or what is wrong
std::string apply_json(server_behaviour& behaviour, const std::string& text, time_point now);

} // namespace endivelever::testbed
