#pragma once

#include "endivelever/entry/board.hpp"

namespace endivelever {

/// Outcome of a call as the caller is told.
enum class told_outcome { done, not_run, unknown };

constexpr const char* to_text(told_outcome value) {
    switch (value) {
    case told_outcome::done:
        return "done";
    case told_outcome::not_run:
        return "not-run";
    case told_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

/// Why a call ends without a response of a server.
struct refusal_notice {
    unsigned status = 503;
    int id = 0; ///< stable number of the message
    std::string text;
    told_outcome outcome = told_outcome::not_run;
    duration retry_after{}; ///< 0 means no hint
};

// Call intake: handlers of the callers' listener.
http_server::handlers caller_handlers(entry_board& board);

// Admission and dispatch.
/// Queues a call for its service, or starts forwarding it to its home entry.
void submit(entry_board& board, call& it);
/// Sends waiting calls of a service while admission allows it.
void pump(entry_board& board, std::size_t service);
/// Ends the attempt of a call whose caller left.
void abandon(entry_board& board, call& it);

// Responses.
/// Refuses a request that is no call yet.
void refuse(entry_board& board, http_exchange& exchange, const refusal_notice& notice);
/// Ends a call with a refusal, or by a reset if part of a response was sent.
void end_refused(entry_board& board, call& it, const refusal_notice& notice);
/// Ends a call with the response of the server.
void end_done(entry_board& board, call& it);
/// Starts to stream the response of the server to the caller.
void begin_streaming(entry_board& board, call& it);
/// Ends a call that its caller gave up.
void end_left(entry_board& board, call& it, call_outcome outcome);

// At most once.
/// Decides on the call id of a call whose kind is not idempotent.
/// @return true if the call goes on; otherwise it was answered or waits
bool claim_call_id(entry_board& board, call& it);
/// Records the end of the call that owns an id and answers the arrivals that wait for it.
void release_call_id(entry_board& board, call& it, call_outcome outcome, cached_response response);

// Documents, lease and members from the feed.
void apply_document(entry_board& board, const document_message& incoming);
void apply_members(entry_board& board, const member_table_message& table);
/// @return true if new calls may be served under the preset
bool may_serve(const entry_board& board, time_point now);

// Addresses and administration.
void answer_addresses(entry_board& board, http_exchange& exchange);
http_server::handlers admin_handlers(entry_board& board);

// Upkeep.
/// Work every few milliseconds: deadlines, paced calls, server review.
void review_calls(entry_board& board);
/// Sends probes that are due.
void send_probes(entry_board& board);
/// Updates demand and capacity. Call it at each report interval.
void update_demand(entry_board& board, duration interval);
entry_report_message make_report(const entry_board& board);

} // namespace endivelever
