#include "endivelever/decide/graceful_stop.hpp"

#include <algorithm>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

// Until the other VMs have learned of the stop, they still give this VM's address to callers.
constexpr duration max_announcement_delay = 200ms;
// Before the platform kills the process: to write the last responses, and to exit.
constexpr duration max_answer_margin = 1s;
constexpr duration max_exit_margin = 500ms;
// A short grace period shortens the margins to 1/n of it.
constexpr int answer_margin_divisor = 4;
constexpr int exit_margin_divisor = 8;

} // namespace

graceful_stop plan_stop(time_point now, duration address_cached, duration grace_period) {
    graceful_stop stop;
    stop.started = now;
    stop.answers_due_at =
        now + grace_period - std::min(max_answer_margin, grace_period / answer_margin_divisor);
    stop.exit_at = now + grace_period - std::min(max_exit_margin, grace_period / exit_margin_divisor);
    stop.requests_limited_at = now + std::min(address_cached, grace_period / 2);
    stop.drained_at = std::min(now + address_cached + max_announcement_delay, stop.answers_due_at);
    return stop;
}

bool accepts_request(const graceful_stop& stop, time_point now, time_point deadline) {
    return now < stop.requests_limited_at || deadline <= stop.answers_due_at;
}

} // namespace endivelever
