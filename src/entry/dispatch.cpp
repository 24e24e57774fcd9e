#include "attempt.hpp"
#include "endivelever/decide/choose_server.hpp"
#include "endivelever/decide/observe.hpp"
#include "endivelever/entry/controllers.hpp"
#include "header_rules.hpp"

#include <algorithm>

namespace endivelever {
namespace {

constexpr duration retry_hint = std::chrono::milliseconds(500);
constexpr duration min_progress_timeout = std::chrono::milliseconds(250);
constexpr int latency_factor = 8;
constexpr int target_factor = 4;

refusal_notice notice_of(refusal why) {
    switch (why) {
    case refusal::queue_full:
        return {
            .status = 429, .id = 10, .text = "too many calls of this kind wait", .retry_after = retry_hint};
    case refusal::deadline_too_near:
        return {.status = 504, .id = 11, .text = "no answer can be expected before the deadline"};
    case refusal::none:
    case refusal::no_preset:
        break;
    }
    return {.status = 503, .id = 4, .text = "no preset is in force here", .retry_after = retry_hint};
}

/// Longest silence of a server before a call that may be repeated is tried elsewhere. Only the first attempt
/// is cut short, so that a pool that is slow as a whole still answers.
duration progress_limit(const call& it, const service_state& service, time_point now) {
    const bool may_repeat = it.route->kind.idempotent && !it.forwarded && it.body_ended && it.attempts == 1;
    const auto limit = std::max({min_progress_timeout, service.pool.latency_estimate * latency_factor,
                                 it.route->kind.latency_target * target_factor});
    const bool worthwhile = service.retries.tokens >= 1.0 && it.deadline - now > 2 * limit;
    return may_repeat && worthwhile ? limit : duration::zero();
}

read_state read_body(call& it, char* buf, std::size_t size, std::size_t& count) {
    count = std::min(size, it.body.size() - it.body_sent);
    if (count == 0) {
        return it.body_ended ? read_state::end : read_state::pause;
    }
    it.body.copy(buf, count, it.body_sent);
    it.body_sent += count;
    if (it.body_size > max_held_body) {
        it.body_dropped = true;
    }
    if (it.body_dropped) {
        it.body.erase(0, it.body_sent);
        it.body_sent = 0;
    }
    if (it.exchange != nullptr) {
        it.exchange->resume_body();
    }
    return read_state::data;
}

http_request request_for(entry_board& board, call& it, time_point now) {
    http_request request;
    request.method = it.exchange->method();
    request.address = it.forwarded
                          ? it.home
                          : board.services[it.route->service].pool.servers[it.server_position].listed.address;
    request.target = it.exchange->target();
    request.headers = detail::request_headers(it, now);
    request.timeout = it.deadline - now;
    request.connect_timeout = std::min<duration>(std::chrono::seconds(1), request.timeout);
    request.progress_timeout = progress_limit(it, board.services[it.route->service], now);
    it.streams_body = !it.body_ended;
    request.has_body = it.streams_body || !it.body.empty();
    request.content_length = it.exchange->content_length();
    if (!it.streams_body) {
        request.body = it.body;
    }
    return request;
}

void start_transfer(entry_board& board, call& it, time_point now) {
    it.stage = call_stage::attempt;
    it.attempt_span = make_span_id(board.random);
    it.attempt_started = now;
    it.head_at = time_point{};
    ++it.attempts;
    auto request = request_for(board, it, now);
    transfer_handlers on;
    if (it.streams_body) {
        on.on_read = [&it](char* buf, std::size_t size, std::size_t& count) {
            return read_body(it, buf, size, count);
        };
    }
    on.on_head = [&board, &it](unsigned status, const http_headers& headers) {
        detail::note_response_head(board, it, status, headers);
    };
    on.on_body = [&board, &it](std::string_view data) { return detail::take_response_body(board, it, data); };
    on.on_done = [&board, &it](const transfer_result& end) { detail::finish_attempt(board, it, end); };
    it.transfer = board.client->start(std::move(request), std::move(on));
}

void end_undispatched(entry_board& board, call& it, time_point now, refusal_notice notice) {
    auto& admission = board.services[it.route->service].admission;
    it.in_progress = false;
    record_completion(admission, it.route->position, {.failed = true}, now);
    notice.outcome = it.may_have_run ? told_outcome::unknown : told_outcome::not_run;
    notice.retry_after = retry_hint;
    end_refused(board, it, notice);
}

void dispatch(entry_board& board, call& it, time_point now) {
    auto& service = board.services[it.route->service];
    it.in_progress = true;
    if (!may_serve(board, now)) {
        // The lease may have expired while the call waited, for instance because this process was paused.
        end_undispatched(board, it, now, {.status = 503, .id = 4, .text = "the preset lease expired"});
        return;
    }
    const auto chosen = choose_server(service.pool, it.tried, now, board.random);
    if (!chosen) {
        end_undispatched(board, it, now,
                         {.status = 503, .id = 12, .text = "no server may take the call now"});
        return;
    }
    auto& view = service.pool.servers[*chosen];
    it.server_position = *chosen;
    it.server = view.listed.id;
    note_dispatch(view, now);
    if (it.attempts == 0) {
        record_first_attempt(service.retries,
                             board.in_force ? board.in_force->content.retry_budget_ratio : 0.0,
                             it.caller_retries);
    }
    start_transfer(board, it, now);
}

} // namespace

void submit(entry_board& board, call& it) {
    const auto now = boot_clock::now();
    if (it.forwarded) {
        start_transfer(board, it, now);
        return;
    }
    auto& service = board.services[it.route->service];
    it.stage = call_stage::queued;
    const waiting_call waiting{.call = it.number,
                               .kind = it.route->position,
                               .arrived = it.arrived,
                               .deadline = it.deadline,
                               .buffered_bytes = byte_count{it.body.size()}};
    const auto refused = enqueue(service.admission, waiting, now);
    if (refused != refusal::none) {
        auto notice = notice_of(refused);
        notice.outcome = it.may_have_run ? told_outcome::unknown : told_outcome::not_run;
        end_refused(board, it, notice);
        return;
    }
    pump(board, it.route->service);
}

void pump(entry_board& board, std::size_t position) {
    auto& service = board.services[position];
    if (service.pumping) {
        return;
    }
    service.pumping = true;
    const auto now = boot_clock::now();
    while (const auto next = take_next(service.admission, now)) {
        const auto found = board.calls.find(next->call);
        if (found == board.calls.end()) {
            record_completion(service.admission, next->kind, {}, now);
            continue;
        }
        dispatch(board, *found->second, now);
    }
    service.pumping = false;
}

void abandon(entry_board& board, call& it) {
    auto& service = board.services[it.route->service];
    if (it.stage == call_stage::queued) {
        remove_waiting(service.admission, it.route->position, it.number);
        return;
    }
    if (it.stage != call_stage::attempt) {
        return;
    }
    board.client->cancel(it.transfer);
    it.may_have_run = true;
    const auto now = boot_clock::now();
    it.attempt_time += now - it.attempt_started;
    if (!it.forwarded) {
        detail::release_server(board, it, attempt_end::cancelled, now);
        pump(board, it.route->service);
    }
}

} // namespace endivelever
