#include "endivelever/gateway/controllers.hpp"

#include <array>
#include <cstdio>

namespace endivelever {
namespace {

// One of this many responses that met their latency target is logged.
constexpr request_number response_log_interval = 64;
constexpr const char* unusable_status_reason = "server failed with an unusable status";

/// Logs and counts a response from which the caller concludes that its request was not run, if the request
/// was sent to a server: with the proof for each attempt.
void log_promise(gateway_board& board, const gateway_request& it, unsigned status, const char* source) {
    const auto* last = it.attempts.empty() ? nullptr : it.attempts.back().get();
    std::string series = "refusals_total{source=\"";
    series += source;
    series += "\",proof=\"";
    series += last == nullptr ? "no_attempt" : name_of(last->proof);
    series += "\"}";
    count(board, series);
    if (last != nullptr) {
        write_event(board.log, "refused_after_attempts",
                    {{"request", it.id},
                     {"status", static_cast<std::int64_t>(status)},
                     {"source", source},
                     {"repeatable", it.matched_route->idempotent},
                     {"attempts", describe_attempts(it)},
                     {"age_ms", to_milliseconds(boot_clock::now() - it.arrived)}});
    }
}

std::string seconds_text(duration value) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.3f", to_seconds(value));
    return buf.data();
}

std::string status_class(unsigned status) {
    return std::to_string(status / 100) + "xx";
}

void record_response(gateway_board& board, const gateway_request& it, unsigned status, const char* source) {
    const auto spent = boot_clock::now() - it.arrived;
    record(board.latency, spent);
    std::string series = "responses_total{source=\"";
    series += source;
    series += "\",status=\"" + status_class(status) + "\"}";
    count(board, series);
}

/// Logs each response that missed its latency target and a sample of the others.
void log_response(gateway_board& board, const gateway_request& it, const request_attempt& attempt) {
    const auto now = boot_clock::now();
    const bool late = now - it.arrived > it.matched_route->latency_target;
    if (!late && it.number % response_log_interval != 0) {
        return;
    }
    write_event(board.log, late ? "response_late" : "response",
                {{"request", it.id},
                 {"status", static_cast<std::int64_t>(attempt.status)},
                 {"route", it.matched_route->id.text},
                 {"service", it.service.text},
                 {"server", attempt.server.text},
                 {"attempts", static_cast<std::int64_t>(it.attempts.size())},
                 {"waited_ms", to_milliseconds(it.attempts.front()->started - it.arrived)},
                 {"server_ms", to_milliseconds(now - attempt.started)},
                 {"age_ms", to_milliseconds(now - it.arrived)},
                 {"target_ms", to_milliseconds(it.matched_route->latency_target)},
                 {"running", static_cast<std::int64_t>(attempt.load_at_dispatch.running)},
                 {"queued", static_cast<std::int64_t>(attempt.load_at_dispatch.queued)},
                 {"slowdown", attempt.load_at_dispatch.slowdown},
                 {"load_age_ms", to_milliseconds(attempt.load_age_at_dispatch)},
                 {"routing_version", static_cast<std::int64_t>(it.table->config.version.value)}});
}

/// Logs and counts a response whose head is about to be written.
void record_response_head(gateway_board& board, const gateway_request& it, const response_status& status,
                          const char* source) {
    record_response(board, it, status.value(), source);
    if (promises_not_run(status.value())) {
        log_promise(board, it, status.value(), source);
    }
}

http_headers forwarded_headers(const request_attempt& attempt) {
    return end_to_end_headers(attempt.headers, {});
}

} // namespace

void respond_with_error(gateway_board& board, gateway_request& it, const error_response& response) {
    if (it.exchange == nullptr) {
        remove_request(board, it);
        return;
    }
    const auto proofs = proofs_of(it);
    const auto status = response_status::permit(response.status, proofs);
    record_response_head(board, it, status, "gateway");
    // Requests that were sent to servers are limited by these, and each of them is logged.
    const auto omitted = it.attempts.empty() ? admit_line(board.log, response.reason, boot_clock::now())
                                             : std::optional<std::int64_t>(0);
    if (omitted) {
        write_event(
            board.log, "own_response",
            {{"request", it.id},
             {"status", static_cast<std::int64_t>(status.value())},
             {"reason", response.reason},
             {"service", it.service.text},
             {"tenant", it.tenant == nullptr ? std::string_view("") : std::string_view(it.tenant->id.text)},
             {"route", it.matched_route == nullptr ? std::string_view("")
                                                   : std::string_view(it.matched_route->id.text)},
             {"attempts", static_cast<std::int64_t>(it.attempts.size())},
             {"may_have_run", may_have_run(proofs)},
             {"routing_version", it.table == nullptr
                                     ? std::int64_t{0}
                                     : static_cast<std::int64_t>(it.table->config.version.value)},
             {"retry_after_ms", to_milliseconds(response.retry_after)},
             {"omitted_lines", *omitted},
             {"age_ms", to_milliseconds(boot_clock::now() - it.arrived)}});
    }
    if (!may_have_run(proofs)) {
        refund_token(board, it);
    }
    auto& exchange = *it.exchange;
    const bool streaming = it.streaming_attempt != nullptr;
    http_headers headers{{"Content-Type", "application/json"}};
    if (!it.id.empty()) {
        headers.push_back({board.dialect.names.request_id, it.id});
    }
    if (response.retry_after > duration::zero() && promises_not_run(status.value())) {
        headers.push_back({"Retry-After", seconds_text(response.retry_after)});
    }
    exchange.context = nullptr;
    it.exchange = nullptr;
    std::string body = "{\"error\":" + json_quoted(response.reason) + "}\n";
    remove_request(board, it);
    if (streaming) {
        exchange.abort();
    } else {
        exchange.respond(status.value(), headers, std::move(body));
    }
}

void forward_response(gateway_board& board, gateway_request& it, request_attempt& attempt) {
    auto& exchange = *it.exchange;
    const auto status = response_status::permit(attempt.status, proofs_of(it));
    if (status.is_replaced()) {
        respond_with_error(board, it, {status.value(), unusable_status_reason, {}});
        return;
    }
    record_response_head(board, it, status, "server");
    log_response(board, it, attempt);
    const auto headers = forwarded_headers(attempt);
    auto body = std::move(attempt.body);
    exchange.context = nullptr;
    it.exchange = nullptr;
    remove_request(board, it);
    exchange.respond(status.value(), headers, std::move(body));
}

void begin_streaming(gateway_board& board, gateway_request& it, request_attempt& attempt) {
    const auto status = response_status::permit(attempt.status, proofs_of(it));
    if (status.is_replaced()) {
        respond_with_error(board, it, {status.value(), unusable_status_reason, {}});
        return;
    }
    it.streaming_attempt = &attempt;
    for (auto& other : it.attempts) {
        if (other.get() != &attempt && other->in_progress) {
            board.server_http_client->cancel(other->transfer);
        }
    }
    record_response_head(board, it, status, "server");
    it.exchange->hold_next_requests();
    it.exchange->begin_response(status.value(), forwarded_headers(attempt), attempt.content_length);
    it.exchange->write(attempt.body);
    attempt.body = {};
}

void discard_body(gateway_board& board, request_attempt& attempt) {
    attempt.body = {};
    charge(board.response_memory, attempt.charged, {});
}

void remove_request(gateway_board& board, gateway_request& it) {
    cancel_attempts(board, it);
    for (auto& attempt : it.attempts) {
        discard_body(board, *attempt);
    }
    if (const auto service = board.services.find(it.service); service != board.services.end()) {
        remove_waiting(service->second.waiting, it.number);
    }
    if (it.exchange != nullptr) {
        it.exchange->context = nullptr;
    }
    board.intake->release_body(it.body_reserved);
    board.requests.erase(it.number);
}

} // namespace endivelever
