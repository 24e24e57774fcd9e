#include "endivelever/entry/controllers.hpp"
#include "header_rules.hpp"

#include <nlohmann/json.hpp>

namespace endivelever {
namespace {

constexpr std::size_t max_kept_body = 16'384;

std::string refusal_body(const refusal_notice& notice) {
    const auto text = make_error("entry", notice.id, notice.text).message;
    return nlohmann::json{{"error", text}, {"outcome", to_text(notice.outcome)}}.dump() + "\n";
}

http_headers refusal_headers(const entry_board& board, const refusal_notice& notice) {
    http_headers headers{{"Content-Type", "application/json"},
                         {"Endivelever-Outcome", to_text(notice.outcome)},
                         {"Endivelever-Vm", board.conf.vm.text}};
    if (notice.retry_after > duration::zero()) {
        const auto ms = std::chrono::ceil<std::chrono::milliseconds>(notice.retry_after).count();
        headers.push_back({"Retry-After-Ms", std::to_string(ms)});
    }
    return headers;
}

void count_refusal(entry_board& board, const refusal_notice& notice) {
    ++counter(board.counters, "refusals_total{reason=\"" + std::to_string(notice.id) + "\"}");
}

http_headers done_headers(const entry_board& board, const call& it) {
    auto headers = detail::response_headers(it.response_headers);
    const auto* outcome = it.forwarded ? find_header(it.response_headers, "Endivelever-Outcome") : nullptr;
    headers.push_back({"Endivelever-Outcome", outcome != nullptr ? *outcome : "done"});
    headers.push_back({"Endivelever-Vm", board.conf.vm.text});
    headers.push_back({"traceparent", to_traceparent(it.trace)});
    return headers;
}

void record_span(entry_board& board, const call& it, told_outcome outcome, unsigned status, time_point now) {
    add_span(board.spans, {.trace = it.trace.trace,
                           .id = it.trace.span,
                           .parent = it.parent_span,
                           .name = it.route->kind.id.text,
                           .peer = it.server.text,
                           .outcome = to_text(outcome),
                           .status = status,
                           .start_us = it.start_us,
                           .length = now - it.arrived});
}

/// Counts and forgets the call; it is no longer valid afterwards.
void close_call(entry_board& board, call& it, told_outcome outcome, unsigned status) {
    const auto now = boot_clock::now();
    record_span(board, it, outcome, status, now);
    auto& route = *it.route;
    ++*(outcome == told_outcome::done ? route.done
                                      : (outcome == told_outcome::not_run ? route.not_run : route.unknown));
    if (outcome == told_outcome::done && it.attempts > 0) {
        record(route.latency, now - it.arrived);
        record(route.added, now - it.arrived - it.attempt_time);
    }
    if (it.exchange != nullptr) {
        it.exchange->context = nullptr;
    }
    board.calls.erase(it.number);
}

call_outcome registry_outcome(told_outcome outcome) {
    switch (outcome) {
    case told_outcome::done:
        return call_outcome::done;
    case told_outcome::not_run:
        return call_outcome::not_run;
    case told_outcome::unknown:
        break;
    }
    return call_outcome::unknown;
}

cached_response keep(const call& it) {
    cached_response kept;
    kept.status = it.status;
    if (const auto* type = find_header(it.response_headers, "Content-Type")) {
        kept.content_type = *type;
    }
    kept.complete = !it.response_begun && it.response.size() <= max_kept_body;
    if (kept.complete) {
        kept.body = it.response;
    }
    return kept;
}

} // namespace

void refuse(entry_board& board, http_exchange& exchange, const refusal_notice& notice) {
    count_refusal(board, notice);
    exchange.respond(notice.status, refusal_headers(board, notice), refusal_body(notice));
}

void end_refused(entry_board& board, call& it, const refusal_notice& notice) {
    count_refusal(board, notice);
    if (it.exchange != nullptr && it.response_begun) {
        it.exchange->abort();
    } else if (it.exchange != nullptr) {
        auto headers = refusal_headers(board, notice);
        headers.push_back({"traceparent", to_traceparent(it.trace)});
        it.exchange->respond(notice.status, headers, refusal_body(notice));
    }
    release_call_id(board, it, registry_outcome(notice.outcome), {});
    close_call(board, it, notice.outcome, notice.status);
}

void end_done(entry_board& board, call& it) {
    auto kept = it.id ? keep(it) : cached_response{};
    if (it.exchange != nullptr && it.response_begun) {
        it.exchange->finish();
    } else if (it.exchange != nullptr) {
        it.exchange->respond(it.status, done_headers(board, it), std::move(it.response));
    }
    release_call_id(board, it, call_outcome::done, std::move(kept));
    close_call(board, it, told_outcome::done, it.status);
}

void begin_streaming(entry_board& board, call& it) {
    it.response_begun = true;
    if (it.exchange == nullptr) {
        return;
    }
    it.exchange->begin_response(it.status, done_headers(board, it), it.response_length);
    if (!it.response.empty()) {
        it.exchange->write(it.response);
        it.response.clear();
    }
}

void end_left(entry_board& board, call& it, call_outcome outcome) {
    release_call_id(board, it, outcome, {});
    close_call(board, it, outcome == call_outcome::not_run ? told_outcome::not_run : told_outcome::unknown,
               0);
}

} // namespace endivelever
