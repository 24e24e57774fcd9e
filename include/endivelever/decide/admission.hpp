#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/preset.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/decide/load_report.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace endivelever {

/// Identifies a call within one entry process.
using call_number = std::uint64_t;

/// A queued call.
struct waiting_call {
    call_number call = 0;
    std::size_t kind = 0; ///< index into service_admission::kinds
    time_point arrived{};
    time_point deadline{};
    byte_count buffered_bytes{}; ///< request size held in memory while the call is queued
};

/// Why a call was not queued.
enum class refusal { none, queue_full, deadline_too_near, no_preset };

/// Admission state of one kind on one entry.
struct kind_admission {
    kind_id kind;
    preset_kind_rule rule{};
    std::deque<waiting_call> queue{};
    byte_count queued_bytes{};
    std::uint32_t in_progress = 0; ///< calls dispatched and not finished
    double window = 1.0;           ///< limit on calls in progress; a fraction below 1 paces calls by time
    time_point last_overload_at{}; ///< last refusal by an overloaded server
    duration latency_estimate{};   ///< smoothed latency of successful calls; 0 before the first one
    double demand_fraction = 1.0;  ///< this entry's fraction of the calls of this kind offered to all entries
    double window_credit = 0.0;    ///< clamped integral of (window - in_progress) over time, in call-seconds
    time_point credit_updated_at{};      ///< last update of window_credit
    time_point standing_queue_since{};   ///< start of the current standing queue; 0 if there is none
    time_point earliest_expiry_bound{};  ///< lower bound on the expiry of all queued calls
    std::vector<waiting_call> expired{}; ///< removed from the queue, not yet returned by take_expired()
};

/// Admission state of one service on one entry: a bounded queue and a concurrency window per kind.
struct service_admission {
    service_settings service{};
    bool has_preset = false;
    std::vector<kind_admission> kinds{};
    std::uint32_t total_slots = 0; ///< sum over all servers in service
    std::uint32_t live_entries = 1;
    double smoothed_queue = 0.0; ///< smoothed number of queued calls per slot, from the servers' load reports
    duration service_time{};     ///< smoothed time in a slot, from the servers' load reports
    time_point reported_at{};    ///< last load report or overload refusal
};

/// Applies a preset. Calls that are already queued keep their position.
void apply_preset(service_admission& admission, const preset& rules);

/// Applies the number of slots and live entries.
/// @param demand_fractions  demand_fraction of each kind, by index; 1/live_entries for kinds beyond its end
void apply_capacity(service_admission& admission, std::uint32_t total_slots, std::uint32_t live_entries,
                    const std::vector<double>& demand_fractions);

/// Queues a call or refuses it immediately.
/// @return none if the call was queued; queue_full if it exceeds the limit on items, bytes or expected delay;
///         deadline_too_near if no response is expected before its deadline; no_preset before apply_preset()
refusal enqueue(service_admission& admission, const waiting_call& call, time_point now);

/// Dequeues the next call to dispatch: the most urgent rank whose window has room, oldest call first.
/// Guaranteed shares are honoured. Call it after enqueue(), after record_completion() and every few
/// milliseconds, because windows below 1 pace calls by time.
/// @return the call, now counted as in progress, or nothing if no call may be dispatched now
std::optional<waiting_call> take_next(service_admission& admission, time_point now);

/// Removes queued calls whose deadline can no longer be met. They were never dispatched.
std::vector<waiting_call> take_expired(service_admission& admission, time_point now);

/// Removes a queued call that its caller has cancelled.
/// @return false if the call is not queued
bool remove_waiting(service_admission& admission, std::size_t kind, call_number call);

/// Result of a call in progress, as input to the concurrency windows.
struct admission_feedback {
    bool shed = false;   ///< refused by an overloaded server
    bool failed = false; ///< no usable response
    duration latency{};  ///< from dispatch to completion
    std::optional<load_report> report{};
    std::uint32_t server_slots = 1;
};

/// Records the completion of a call in progress and adjusts the windows.
void record_completion(service_admission& admission, std::size_t kind, const admission_feedback& feedback,
                       time_point now);

} // namespace endivelever
