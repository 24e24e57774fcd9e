#include "attempt.hpp"

#include "endivelever/decide/retry.hpp"
#include "endivelever/entry/controllers.hpp"
#include "header_rules.hpp"

#include <charconv>

namespace endivelever::detail {
namespace {

constexpr unsigned first_error_status = 500;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_deadline = 504;
constexpr duration retry_hint = std::chrono::milliseconds(200);

bool is_server_error(const call& it) {
    return it.status >= first_error_status;
}

std::optional<std::uint64_t> length_of(const http_headers& headers) {
    const auto* text = find_header(headers, "Content-Length");
    std::uint64_t value = 0;
    if (text == nullptr || find_header(headers, "Transfer-Encoding") != nullptr ||
        std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc()) {
        return std::nullopt;
    }
    return value;
}

/// A response that may still be replaced by that of a second attempt is not passed on.
bool may_pass_on(const call& it) {
    return !it.stated_not_run && !(is_server_error(it) && it.route->kind.idempotent);
}

attempt_end end_of(const call& it, const server_pool& pool, const transfer_result& end, time_point now) {
    switch (end.failure) {
    case transfer_failure::none:
        if (it.stated_not_run) {
            return attempt_end::shed;
        }
        return is_server_error(it) ? attempt_end::failed : attempt_end::answered;
    case transfer_failure::timeout:
        // A deadline shorter than the usual latency says nothing about the server.
        return now - it.attempt_started < pool.latency_estimate ? attempt_end::cancelled
                                                                : attempt_end::timed_out;
    case transfer_failure::resend_prevented:
    case transfer_failure::cancelled:
        return attempt_end::cancelled;
    case transfer_failure::connect:
    case transfer_failure::broken:
    case transfer_failure::other:
        break;
    }
    return attempt_end::failed;
}

void record_attempt(entry_board& board, const call& it, const transfer_result& end, time_point now) {
    add_span(
        board.spans,
        {.trace = it.trace.trace,
         .id = it.attempt_span,
         .parent = it.trace.span,
         .name = it.forwarded ? "forward" : "attempt",
         .peer = it.forwarded ? it.home.text : it.server.text,
         .outcome = end.failure == transfer_failure::none ? "response" : "failure",
         .status = end.status,
         .start_us = wall_clock_us() -
                     std::chrono::duration_cast<std::chrono::microseconds>(now - it.attempt_started).count(),
         .length = now - it.attempt_started});
}

bool retry(entry_board& board, call& it, bool not_run, time_point now) {
    failed_attempt failed;
    failed.certainly_not_run = not_run;
    failed.idempotent = it.route->kind.idempotent;
    failed.response_started = it.response_begun;
    failed.body_replayable = !it.body_dropped;
    failed.attempts = it.attempts;
    failed.caller_attempt = it.caller_retries;
    failed.deadline_left = it.deadline - now;
    auto& service = board.services[it.route->service];
    if (it.forwarded || it.exchange == nullptr || !allow_retry(service.retries, failed)) {
        return false;
    }
    ++counter(board.counters, "retries_total{service=\"" + service.pool.service.id.text + "\"}");
    it.tried.push_back(it.server);
    it.body_sent = 0;
    it.status = 0;
    it.response.clear();
    it.response_headers.clear();
    it.response_length.reset();
    it.report.reset();
    it.stated_not_run = false;
    submit(board, it);
    return true;
}

void end_failed(entry_board& board, call& it, const transfer_result& end, time_point now) {
    const bool late = now >= it.deadline || end.failure == transfer_failure::timeout;
    refusal_notice notice;
    notice.status = late ? status_deadline : status_unavailable;
    notice.outcome = it.may_have_run ? told_outcome::unknown : told_outcome::not_run;
    if (it.stated_not_run) {
        notice.id = 13;
        notice.text = "the server did not run the call";
        notice.retry_after = retry_hint;
    } else if (late) {
        notice.id = 14;
        notice.text = "no complete response before the deadline";
    } else {
        notice.id = 15;
        notice.text = "the attempt failed: " + end.detail;
    }
    end_refused(board, it, notice);
}

} // namespace

void note_response_head(entry_board& board, call& it, unsigned status, const http_headers& headers) {
    it.head_at = boot_clock::now();
    it.status = status;
    it.response_headers = headers;
    it.response_length = length_of(headers);
    if (const auto* text = find_header(headers, "Endivelever-Load")) {
        if (const auto report = parse_load_report(*text)) {
            it.report = *report;
        }
    }
    const auto* ran = find_header(headers, "Endivelever-Ran");
    it.stated_not_run = !it.forwarded && ran != nullptr && header_names_equal(*ran, "no") &&
                        (status == status_unavailable || status == status_deadline);
    const bool head_only = it.exchange != nullptr && it.exchange->method() == "HEAD";
    const bool large = it.response_length.value_or(0) > max_held_body;
    if (may_pass_on(it) && (head_only || large)) {
        begin_streaming(board, it);
    }
}

bool take_response_body(entry_board& board, call& it, std::string_view data) {
    if (it.response_begun) {
        if (it.exchange == nullptr) {
            return true;
        }
        if (it.exchange->writable_bytes() == 0) {
            return false;
        }
        it.exchange->write(data);
        return true;
    }
    it.response.append(data);
    if (it.response.size() > max_held_body) {
        begin_streaming(board, it);
    }
    return true;
}

void release_server(entry_board& board, call& it, attempt_end end, time_point now) {
    auto& service = board.services[it.route->service];
    auto& pool = service.pool;
    auto at = it.server_position;
    if (at >= pool.servers.size() || pool.servers[at].listed.id != it.server) {
        at = find_server(pool, it.server);
    }
    admission_feedback feedback;
    feedback.shed = end == attempt_end::shed;
    feedback.failed = end == attempt_end::failed || end == attempt_end::timed_out;
    feedback.latency = now - it.attempt_started;
    feedback.report = it.report;
    if (at < pool.servers.size()) {
        auto& view = pool.servers[at];
        feedback.server_slots = view.slots;
        // The time to the head is the server's; the rest may be a caller that reads slowly.
        const bool streamed = end == attempt_end::answered && it.response_begun && it.head_at != time_point{};
        note_end(pool, view, it.attempt_started, streamed ? it.head_at : now, end, it.report);
        if (end == attempt_end::timed_out) {
            board.client->discard_idle(view.listed.address);
        }
    }
    if (it.in_progress) {
        it.in_progress = false;
        record_completion(service.admission, it.route->position, feedback, now);
    }
}

void finish_attempt(entry_board& board, call& it, const transfer_result& end) {
    const auto now = boot_clock::now();
    const auto service = it.route->service;
    const bool whole = end.failure == transfer_failure::none;
    const bool not_run = whole ? it.stated_not_run : !end.sent;
    it.attempt_time += now - it.attempt_started;
    it.may_have_run = it.may_have_run || !not_run;
    record_attempt(board, it, end, now);
    if (!it.forwarded) {
        release_server(board, it, end_of(it, board.services[service].pool, end, now), now);
    }
    const bool wants_retry = !whole || it.stated_not_run || is_server_error(it);
    if (!wants_retry || !retry(board, it, not_run, now)) {
        if (whole && !it.stated_not_run) {
            end_done(board, it);
        } else {
            if (it.forwarded) {
                it.may_have_run = true; // an earlier arrival may have run at the home entry
            }
            end_failed(board, it, end, now);
        }
    }
    pump(board, service);
}

} // namespace endivelever::detail
