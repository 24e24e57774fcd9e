#include "endivelever/decide/observe.hpp"
#include "endivelever/gateway/controllers.hpp"

#include <algorithm>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
// Connecting takes a few milliseconds within a region. TCP would retransmit a lost SYN only after one second.
constexpr duration connect_timeout = 300ms;
// The transfer timeout is later than the request's deadline, so that only the request's timer ends it.
constexpr duration transfer_margin = 200ms;
// The retry ratio is only partly used: this VM credits requests when they arrive, which differs slightly from
// the window over all VMs in which the limit is measured.
constexpr double used_budget_share = 0.7;
constexpr unsigned min_server_error_status = 500;
// Work of requests to further routes is taken to be that of the service.
constexpr std::size_t max_learned_routes = 20'000;
// The server that was replaced is out of use at once, so the next attempt meets another one.
constexpr duration replaced_retry_after = 100ms;

request_attempt* find_attempt(gateway_request& it, const request_attempt* attempt) {
    const auto found = std::find_if(it.attempts.begin(), it.attempts.end(),
                                    [attempt](const auto& candidate) { return candidate.get() == attempt; });
    return found == it.attempts.end() ? nullptr : found->get();
}

gateway_request* find_request(gateway_board& board, request_number number) {
    const auto found = board.requests.find(number);
    return found == board.requests.end() ? nullptr : found->second.get();
}

http_headers make_request_headers(const gateway_board& board, const gateway_request& it,
                                  const request_attempt& attempt, time_point now) {
    const auto& names = board.dialect.names;
    std::vector<std::string_view> replaced{names.deadline_ms, names.expected_server};
    if (!it.table->config.tenants.empty()) {
        // Servers learn the tenant from this VM only, and never see its key.
        replaced.insert(replaced.end(), {names.tenant, authorization_header});
    }
    auto headers = end_to_end_headers(it.exchange->headers(), replaced);
    if (it.tenant != nullptr) {
        headers.push_back({names.tenant, it.tenant->id.text});
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(it.deadline - now).count();
    headers.push_back({names.deadline_ms, std::to_string(std::max<std::int64_t>(1, left))});
    headers.push_back({names.expected_server, attempt.server.text});
    return headers;
}

server_view* find_view(gateway_board& board, const gateway_request& it, const request_attempt& attempt) {
    const auto service = board.services.find(it.service);
    if (service == board.services.end()) {
        return nullptr;
    }
    auto& servers = service->second.pool.servers;
    const auto index = find_server(service->second.pool, attempt.server);
    const bool known = index < servers.size() && servers[index].listed.address.text == attempt.server_address;
    return known ? &servers[index] : nullptr;
}

/// Ends an attempt and records its outcome in the view of its server.
void finish_attempt(gateway_board& board, const gateway_request& it, request_attempt& attempt,
                    attempt_end end) {
    if (!attempt.in_progress) {
        return;
    }
    attempt.in_progress = false;
    if (auto* view = find_view(board, it, attempt)) {
        auto& service = board.services[it.service];
        const auto now = boot_clock::now();
        note_end(service.pool, *view, attempt.started, now, end, attempt.report);
        if (end == attempt_end::answered) {
            if (now <= it.deadline) {
                // A later one was read late by this process, and says nothing about the server.
                record(service.response_time, now - attempt.started);
                if (service.work.size() < max_learned_routes || service.work.contains(it.matched_route->id)) {
                    learn_work(service.work[it.matched_route->id], now - attempt.started);
                }
            }
            service.reports_load = attempt.report.has_value();
            remove_waiting(service.waiting, it.number);
        }
        if (attempt.report) {
            assign_waiting_requests(board, service, *view);
        }
    }
}

bool any_in_progress(const gateway_request& it) {
    return std::any_of(it.attempts.begin(), it.attempts.end(),
                       [](const auto& attempt) { return attempt->in_progress; });
}

bool may_send_again(gateway_board& board, const gateway_request& it) {
    if (it.attempts.size() >= it.matched_route->max_attempts || it.streaming_attempt != nullptr) {
        return false;
    }
    failed_attempt attempt;
    attempt.certainly_not_run = !may_have_run(proofs_of(it));
    attempt.idempotent = it.matched_route->idempotent;
    attempt.body_replayable = true;
    attempt.attempts = static_cast<std::uint32_t>(it.attempts.size());
    attempt.deadline_left = it.deadline - boot_clock::now();
    return allow_retry(board.services[it.service].retries, attempt);
}

/// Ends a request whose last attempt failed: forwards the server's response if it is complete, otherwise
/// responds with an error.
void respond_after_failure(gateway_board& board, gateway_request& it, request_attempt& attempt) {
    const bool complete = attempt.status != 0 && attempt.failure.empty();
    if (complete && attempt.proof == not_run_proof::misdirected) {
        // The caller did not choose the server, so a 421 says nothing to it.
        respond_with_error(board, it, {status_unavailable, "server was replaced", replaced_retry_after});
        return;
    }
    if (complete) {
        forward_response(board, it, attempt);
        return;
    }
    respond_with_error(board, it,
                       {may_have_run(proofs_of(it)) ? status_bad_gateway : status_unavailable,
                        "no server gave a usable response: " + attempt.failure, connect_timeout});
}

/// Retries a request after a failed attempt, or ends it if no retry is allowed.
void handle_attempt_failure(gateway_board& board, gateway_request& it, request_attempt& attempt) {
    count(board, "attempts_failed_total");
    write_event(board.log, "attempt_failed",
                {{"request", it.id},
                 {"attempt", static_cast<std::int64_t>(it.attempts.size())},
                 {"server", attempt.server.text},
                 {"address", attempt.server_address},
                 {"answered_by", attempt.answered_by ? attempt.answered_by->text : std::string()},
                 {"status", static_cast<std::int64_t>(attempt.status)},
                 {"not_run", attempt.proof != not_run_proof::none},
                 {"proof", name_of(attempt.proof)},
                 {"new_connection", attempt.on_new_connection},
                 {"cause", attempt.failure},
                 {"running", static_cast<std::int64_t>(attempt.load_at_dispatch.running)},
                 {"queued", static_cast<std::int64_t>(attempt.load_at_dispatch.queued)},
                 {"slowdown", attempt.load_at_dispatch.slowdown},
                 {"load_age_ms", to_milliseconds(attempt.load_age_at_dispatch)},
                 {"waited_ms", to_milliseconds(attempt.started - it.arrived)},
                 {"after_ms", to_milliseconds(boot_clock::now() - attempt.started)}});
    if (it.exchange == nullptr || any_in_progress(it)) {
        return;
    }
    if (may_send_again(board, it)) {
        count(board, "retries_total");
        enqueue_request(board, it, attempt_purpose::retry);
        return;
    }
    respond_after_failure(board, it, attempt);
}

/// Closes the connection of an attempt whose response cannot be used.
void fail_attempt(gateway_board& board, gateway_request& it, request_attempt& attempt, std::string cause) {
    board.server_http_client->cancel(attempt.transfer);
    attempt.failure = std::move(cause);
    discard_body(board, attempt);
    finish_attempt(board, it, attempt, attempt_end::failed);
    handle_attempt_failure(board, it, attempt);
}

bool is_only_attempt_in_progress(const gateway_request& it, const request_attempt& attempt) {
    return std::none_of(it.attempts.begin(), it.attempts.end(), [&attempt](const auto& other) {
        return other.get() != &attempt && other->in_progress;
    });
}

void on_response_head(gateway_board& board, gateway_request& it, request_attempt& attempt, unsigned status,
                      const http_headers& headers) {
    const auto* id = find_header(headers, board.dialect.names.request_id);
    const bool id_differs = id == nullptr ? !it.id.empty() : *id != it.id;
    if (id_differs) {
        // A late response to an earlier request or probe; the rest of the data on this connection cannot be
        // trusted. Servers echo the request id in every response, including those that state that the request
        // was not run.
        fail_attempt(board, it, attempt, "response belongs to another request");
        return;
    }
    attempt.head_arrived = true;
    attempt.status = status;
    attempt.headers = headers;
    const auto expected = board.services[it.service].pool.latency_estimate;
    const auto facts = board.dialect.read_response(status, headers, expected);
    attempt.proof = facts.proof;
    attempt.answered_by = facts.server;
    if (facts.proof != not_run_proof::misdirected) {
        attempt.report = facts.report;
    }
    if (auto* view = find_view(board, it, attempt);
        view != nullptr && apply_identity(board, *view, facts, directive_source::response)) {
        apply_directives(board, *view, facts, directive_source::response);
    }
    if (const auto* length = find_header(headers, "Content-Length")) {
        attempt.content_length = std::strtoull(length->c_str(), nullptr, 10);
    }
}

bool on_response_body(gateway_board& board, gateway_request& it, request_attempt& attempt,
                      std::string_view data) {
    if (it.streaming_attempt == &attempt) {
        if (it.exchange == nullptr) {
            return true;
        }
        if (it.exchange->writable_bytes() == 0) {
            return false;
        }
        it.exchange->write(data);
        return true;
    }
    attempt.body.append(data);
    if (it.streaming_attempt != nullptr || it.exchange == nullptr) {
        return true;
    }
    charge(board.response_memory, attempt.charged, byte_count{attempt.body.capacity()});
    const bool may_stream = !it.exchange->has_next_requests();
    const auto action = decide_buffering(board.response_memory, byte_count{attempt.body.size()}, may_stream);
    if (action == buffer_action::hold) {
        return true;
    }
    count(board,
          action == buffer_action::stream ? "responses_streamed_early_total" : "responses_too_large_total");
    if (attempt.proof != not_run_proof::none && !is_only_attempt_in_progress(it, attempt)) {
        // Another server may have run the request, so its response is the one that counts.
        fail_attempt(board, it, attempt, "refusal is too long");
    } else if (action == buffer_action::stream) {
        begin_streaming(board, it, attempt);
    } else {
        respond_with_error(board, it, {status_bad_gateway, "response is too large before others", {}});
    }
    return true;
}

attempt_end classify_end(const request_attempt& attempt, const transfer_result& end) {
    if (end.failure == transfer_failure::timeout) {
        return attempt_end::timed_out;
    }
    if (end.failure != transfer_failure::none) {
        return attempt_end::failed;
    }
    if (attempt.proof != not_run_proof::none) {
        return attempt_end::shed;
    }
    return attempt.status >= min_server_error_status ? attempt_end::failed : attempt_end::answered;
}

void finish_stream(gateway_board& board, gateway_request& it, const request_attempt& attempt) {
    if (it.exchange == nullptr) {
        return;
    }
    if (attempt.failure.empty()) {
        it.exchange->finish();
        count(board, "streamed_total");
    } else {
        respond_with_error(board, it, {status_bad_gateway, "response broke off: " + attempt.failure, {}});
    }
}

void on_response_end(gateway_board& board, gateway_request& it, request_attempt& attempt,
                     const transfer_result& end) {
    if (!attempt.in_progress) {
        return;
    }
    if (end.failure != transfer_failure::none) {
        attempt.failure = end.detail.empty() ? "transfer failed" : end.detail;
        discard_body(board, attempt);
        attempt.proof = end.sent ? not_run_proof::none : not_run_proof::not_sent;
    }
    attempt.on_new_connection = end.new_connection;
    finish_attempt(board, it, attempt, classify_end(attempt, end));
    if (it.streaming_attempt == &attempt) {
        finish_stream(board, it, attempt);
        return;
    }
    const bool usable = attempt.failure.empty() && attempt.proof == not_run_proof::none &&
                        attempt.status < min_server_error_status;
    if (!usable) {
        handle_attempt_failure(board, it, attempt);
    } else if (it.exchange != nullptr && it.streaming_attempt == nullptr) {
        forward_response(board, it, attempt);
    }
}

transfer_handlers attempt_handlers(gateway_board& board, request_number number, request_attempt* attempt) {
    // The request may have ended before a callback runs, so it is looked up each time.
    const auto if_in_progress = [&board, number, attempt](auto action) {
        auto* it = find_request(board, number);
        auto* found = it == nullptr ? nullptr : find_attempt(*it, attempt);
        if (found != nullptr && found->in_progress) {
            action(*it, *found);
        }
    };
    transfer_handlers handlers;
    handlers.on_head = [&board, if_in_progress](unsigned status, const http_headers& headers) {
        if_in_progress([&](gateway_request& it, request_attempt& found) {
            on_response_head(board, it, found, status, headers);
        });
    };
    handlers.on_body = [&board, if_in_progress](std::string_view data) {
        bool taken = true;
        if_in_progress([&](gateway_request& it, request_attempt& found) {
            taken = on_response_body(board, it, found, data);
        });
        return taken;
    };
    handlers.on_done = [&board, if_in_progress](const transfer_result& end) {
        if_in_progress(
            [&](gateway_request& it, request_attempt& found) { on_response_end(board, it, found, end); });
    };
    return handlers;
}

} // namespace

void start_attempt(gateway_board& board, gateway_request& it, server_view& view) {
    if (!admit_attempt(board, it)) {
        return;
    }
    const auto now = boot_clock::now();
    auto& attempt = *it.attempts.emplace_back(std::make_unique<request_attempt>());
    attempt.server = view.listed.id;
    attempt.server_address = view.listed.address.text;
    attempt.started = now;
    attempt.load_at_dispatch = adjusted_report(view);
    attempt.load_age_at_dispatch =
        view.reported_at == time_point{} ? duration::max() : now - view.reported_at;
    note_dispatch(view, now);
    http_request request;
    request.method = it.exchange->method();
    request.address = view.listed.address;
    request.target = it.exchange->target();
    request.headers = make_request_headers(board, it, attempt, now);
    request.has_body = it.has_body;
    request.shared_body = it.body;
    request.timeout = it.deadline - now + transfer_margin;
    request.connect_timeout = connect_timeout;
    request.accepts_close_delimited = true;
    attempt.transfer =
        board.server_http_client->start(std::move(request), attempt_handlers(board, it.number, &attempt));
}

void dispatch(gateway_board& board, gateway_request& it) {
    const auto found = board.services.find(it.service);
    if (found == board.services.end()) {
        respond_with_error(board, it, {status_unavailable, "service is not known", connect_timeout});
        return;
    }
    record_first_attempt(found->second.retries, board.conf.retry_ratio * used_budget_share);
    dispatch_within_quota(board, it);
}

void fail_unassigned(gateway_board& board, gateway_request& it, attempt_purpose purpose,
                     const std::string& reason, duration retry_after) {
    if (purpose == attempt_purpose::first) {
        respond_with_error(board, it, {status_unavailable, reason, retry_after});
    } else if (purpose == attempt_purpose::retry && !it.attempts.back()->in_progress) {
        respond_after_failure(board, it, *it.attempts.back());
    }
}

void hedge_if_late(gateway_board& board, gateway_request& it, time_point now) {
    if (it.attempts.size() != 1 || !it.attempts.front()->in_progress || it.hedged ||
        it.streaming_attempt != nullptr || !it.matched_route->idempotent ||
        it.attempts.front()->head_arrived) {
        return;
    }
    const auto expected = board.services[it.service].median_response_time;
    const auto age = now - it.attempts.front()->started;
    if (is_hedge_due(age, now - it.arrived, expected, it.matched_route->latency_target) &&
        may_send_again(board, it)) {
        count(board, "hedges_total");
        it.hedged = true;
        enqueue_request(board, it, attempt_purpose::hedge);
    }
}

void cancel_attempts(gateway_board& board, gateway_request& it) {
    for (auto& attempt : it.attempts) {
        if (attempt->in_progress) {
            board.server_http_client->cancel(attempt->transfer);
            finish_attempt(board, it, *attempt, attempt_end::cancelled);
        }
    }
}

} // namespace endivelever
