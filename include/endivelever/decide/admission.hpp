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

/// Number of a call within one entry process.
using call_number = std::uint64_t;

/// A call that waits in a queue.
struct waiting_call {
    call_number call = 0;
    std::size_t kind = 0; ///< position in service_admission::kinds
    time_point arrived{};
    time_point deadline{};
    byte_count held{}; ///< request bytes held in memory while it waits
};

enum class refusal { none, queue_full, deadline_too_near, no_preset };

/// Admission state of one kind on one entry.
struct kind_admission {
    kind_id kind;
    preset_kind_rule rule{};
    std::deque<waiting_call> queue{};
    byte_count queued_bytes{};
    std::uint32_t in_progress = 0; ///< calls sent and not finished
    double window = 1.0;           ///< calls that may be in progress
    time_point last_cut{};
    duration latency_estimate{};
    double demand_fraction = 1.0;        ///< this entry's part of all entries' offered calls of this kind
    double window_credit = 0.0;          ///< call-seconds by which calls in progress stayed below the window
    time_point credit_at{};              ///< when window_credit was last brought up to date
    time_point standing_since{};         ///< since when calls wait long in the queue; 0 if they do not
    time_point next_deadline{};          ///< no waiting call expires before this time
    std::vector<waiting_call> expired{}; ///< taken out of the queue too late, not yet reported as expired
};

/// Admission state of one service on one entry: bounded queues, ranks, guaranteed shares, windows.
struct service_admission {
    service_settings service{};
    bool has_preset = false;
    std::vector<kind_admission> kinds{};
    std::uint32_t total_slots = 0; ///< over all serving servers
    std::uint32_t live_entries = 1;
    double smoothed_queue = 0.0; ///< waiting calls per slot as servers report them
    duration service_time{};     ///< smoothed time in a slot as servers report it
    time_point reported_at{};    ///< last report or shed
};

/// Applies a preset. Calls that already wait keep their place.
void apply_preset(service_admission& admission, const preset& rules);

/// Applies the number of slots, entries and demand fractions (by kind position; empty keeps 1/live_entries).
void apply_capacity(service_admission& admission, std::uint32_t total_slots, std::uint32_t live_entries,
                    const std::vector<double>& demand_fractions);

/// Queues a call, or refuses it at once. The reason queue_full covers limits on items, bytes and expected
/// delay; deadline_too_near means that no answer can be expected before the deadline.
refusal enqueue(service_admission& admission, const waiting_call& call, time_point now);

/// Takes the next call to send: urgent first, guaranteed shares kept, within the windows. Call it after
/// enqueue(), after note_finished() and every few milliseconds, since windows below 1 pace calls by time.
/// @return the call, now counted as in progress, or nothing if none may be sent now
std::optional<waiting_call> take_next(service_admission& admission, time_point now);

/// Removes waiting calls whose deadline can no longer be met; they certainly did not run.
std::vector<waiting_call> take_expired(service_admission& admission, time_point now);

/// Removes a waiting call that its caller gave up. @return false if it does not wait
bool remove_waiting(service_admission& admission, std::size_t kind, call_number call);

/// How a call in progress ended, for the windows.
struct admission_feedback {
    bool shed = false;   ///< a server refused for overload
    bool failed = false; ///< no usable answer
    duration latency{};  ///< from dispatch to the end
    std::optional<load_report> report{};
    std::uint32_t server_slots = 1;
};

/// Notes that a call in progress ended and adjusts the windows.
void note_finished(service_admission& admission, std::size_t kind, const admission_feedback& feedback,
                   time_point now);

} // namespace endivelever
