#include "endivelever/entry/controllers.hpp"
#include "header_rules.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

namespace endivelever {
namespace {

constexpr std::string_view addresses_path = "/.well-known/endivelever/addresses";
constexpr std::uint32_t max_caller_retries = 1000; // keeps the sum over hops in range
constexpr duration retry_hint = std::chrono::milliseconds(500);

std::uint32_t number_of(const http_exchange& exchange, std::string_view name, std::uint32_t absent) {
    const auto* text = find_header(exchange.headers(), name);
    std::uint32_t value = 0;
    if (text == nullptr ||
        std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc()) {
        return absent;
    }
    return value;
}

time_point deadline_of(const http_exchange& exchange, const kind_settings& kind, time_point now) {
    constexpr std::uint32_t absent = std::numeric_limits<std::uint32_t>::max();
    const auto ms = number_of(exchange, "Endivelever-Deadline-Ms", absent);
    const duration wanted = ms == absent ? kind.default_deadline : std::chrono::milliseconds(ms);
    return now + std::min(wanted, kind.max_deadline);
}

void join_trace(entry_board& board, call& it) {
    const auto* header = find_header(it.exchange->headers(), "traceparent");
    const auto incoming = header != nullptr ? parse_traceparent(*header) : std::nullopt;
    if (!incoming) {
        it.trace = start_trace(board.random);
        return;
    }
    it.trace = *incoming;
    it.parent_span = incoming->span;
    it.trace.span = make_span_id(board.random);
}

call& open_call(entry_board& board, http_exchange& exchange, kind_route& route) {
    auto it = std::make_unique<call>();
    auto& opened = *it;
    opened.number = ++board.last_call;
    opened.exchange = &exchange;
    opened.route = &route;
    opened.arrived = boot_clock::now();
    opened.deadline = deadline_of(exchange, route.kind, opened.arrived);
    opened.start_us = wall_clock_us();
    opened.caller_retries = std::min(number_of(exchange, "Endivelever-Retries", 0), max_caller_retries);
    join_trace(board, opened);
    exchange.context = &opened;
    board.calls.emplace(opened.number, std::move(it));
    ++route.arrived_since_report;
    return opened;
}

/// @return false if the call was refused
bool check_request(entry_board& board, call& it) {
    const auto length = it.exchange->content_length();
    if (length && *length > it.route->kind.max_request_body.value) {
        end_refused(board, it, {.status = 413, .id = 3, .text = "the request body is larger than allowed"});
        return false;
    }
    if (!it.route->kind.idempotent) {
        return claim_call_id(board, it);
    }
    return true;
}

/// @return false if the call was refused
bool check_stop(entry_board& board, call& it) {
    if (!board.stop || accepts_request(*board.stop, it.arrived, it.deadline)) {
        return true;
    }
    end_refused(board, it, {.status = 503, .id = 19, .text = "this entry is stopping"});
    return false;
}

/// @return false if the call was refused
bool check_preset(entry_board& board, call& it) {
    if (it.forwarded || may_serve(board, it.arrived)) {
        return true;
    }
    end_refused(board, it,
                {.status = 503,
                 .id = 4,
                 .text = "this entry cannot determine which preset is in force",
                 .retry_after = retry_hint});
    return false;
}

void on_head(entry_board& board, http_exchange& exchange) {
    const auto& target = exchange.target();
    const auto path = std::string_view(target).substr(0, target.find('?'));
    if (path == addresses_path) {
        answer_addresses(board, exchange);
        return;
    }
    auto* route = find_route(board, path);
    if (route == nullptr) {
        refuse(board, exchange, {.status = 404, .id = 1, .text = "no kind of work has this path"});
        return;
    }
    auto& it = open_call(board, exchange, *route);
    if (check_request(board, it) && check_stop(board, it)) {
        check_preset(board, it);
    }
}

void on_body(entry_board& board, http_exchange& exchange, std::string_view data) {
    auto* it = static_cast<call*>(exchange.context);
    if (it == nullptr) {
        return;
    }
    it->body_size += data.size();
    if (it->body_size > it->route->kind.max_request_body.value) {
        abandon(board, *it);
        end_refused(board, *it,
                    {.status = 413,
                     .id = 3,
                     .text = "the request body is larger than allowed",
                     .outcome = it->may_have_run ? told_outcome::unknown : told_outcome::not_run});
        return;
    }
    it->body.append(data);
    if (it->body.size() - it->body_sent >= max_held_body) {
        exchange.pause_body();
    }
    if (it->stage == call_stage::reading && it->body.size() >= max_held_body) {
        it->streams_body = true;
        submit(board, *it);
    } else if (it->stage == call_stage::attempt) {
        board.client->resume(it->transfer);
    }
}

void on_body_end(entry_board& board, http_exchange& exchange) {
    auto* it = static_cast<call*>(exchange.context);
    if (it == nullptr) {
        return;
    }
    it->body_ended = true;
    if (it->stage == call_stage::reading) {
        submit(board, *it);
    } else if (it->stage == call_stage::attempt) {
        board.client->resume(it->transfer);
    }
}

void on_writable(entry_board& board, http_exchange& exchange) {
    if (const auto* it = static_cast<call*>(exchange.context)) {
        board.client->resume(it->transfer);
    }
}

void on_closed(entry_board& board, http_exchange& exchange) {
    auto* it = static_cast<call*>(exchange.context);
    if (it == nullptr) {
        return;
    }
    it->exchange = nullptr;
    exchange.context = nullptr;
    const bool complete_request = it->body_ended && it->stage == call_stage::attempt;
    if (complete_request && it->id) {
        return; // runs on, so that a repeated arrival of the id gets the outcome
    }
    abandon(board, *it);
    end_left(board, *it, it->may_have_run ? call_outcome::unknown : call_outcome::not_run);
}

} // namespace

http_server::handlers caller_handlers(entry_board& board) {
    http_server::handlers on;
    on.on_head = [&board](http_exchange& it) { on_head(board, it); };
    on.on_body = [&board](http_exchange& it, std::string_view data) { on_body(board, it, data); };
    on.on_body_end = [&board](http_exchange& it) { on_body_end(board, it); };
    on.on_writable = [&board](http_exchange& it) { on_writable(board, it); };
    on.on_closed = [&board](http_exchange& it, bool /*completed*/) { on_closed(board, it); };
    return on;
}

} // namespace endivelever
