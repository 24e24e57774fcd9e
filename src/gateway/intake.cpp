#include "endivelever/gateway/controllers.hpp"

#include <algorithm>
#include <charconv>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr unsigned status_not_found = 404;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_unavailable = 503;
// Until the first configuration arrives; reading it takes a few calls to the store.
constexpr duration retry_after_start = 300ms;
// Callers measure their deadlines with this precision.
constexpr duration shortest_attempt = 10ms;
constexpr std::size_t max_routes_with_deadline = 20'000;
// Requests that wait longer than this are cut by every configuration.
constexpr std::int64_t max_deadline_ms = 600'000;

gateway_request* request_of(http_exchange& exchange) {
    return static_cast<gateway_request*>(exchange.context);
}

std::optional<duration> stated_deadline(const gateway_board& board, const http_headers& headers) {
    const auto* text = find_header(headers, board.dialect.names.deadline_ms);
    if (text == nullptr) {
        return std::nullopt;
    }
    std::int64_t ms = 0;
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), ms);
    if (ec != std::errc{} || end != text->data() + text->size() || ms < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(ms, max_deadline_ms));
}

void set_times(gateway_request& it, std::optional<duration> deadline) {
    const auto timeout = it.rule->timeout > duration::zero() ? it.rule->timeout : deadline.value_or(10s);
    it.final_at = it.arrived + std::min(deadline.value_or(timeout), timeout);
}

/// A caller that comes back states what is left of its deadline.
void note_spent_before(gateway_board& board, gateway_request& it, std::optional<duration> deadline) {
    if (!deadline) {
        return;
    }
    if (board.longest_deadline.size() > max_routes_with_deadline) {
        board.longest_deadline.clear();
    }
    auto& longest = board.longest_deadline[it.rule->id];
    longest = std::max(longest, *deadline);
    const auto spent = longest - *deadline;
    it.spent_before = spent > shortest_attempt ? spent : duration::zero();
}

gateway_request& add_request(gateway_board& board, http_exchange& exchange) {
    auto it = std::make_unique<gateway_request>();
    it->number = ++board.last_request;
    it->exchange = &exchange;
    it->table = board.routes;
    it->arrived = boot_clock::now();
    if (const auto* id = find_header(exchange.headers(), board.dialect.names.request_id)) {
        it->id = *id;
    }
    exchange.context = it.get();
    if (board.requests.empty() && board.on_first_request) {
        board.on_first_request();
    }
    return *board.requests.emplace(it->number, std::move(it)).first->second;
}

void take_head(gateway_board& board, http_exchange& exchange) {
    auto& it = add_request(board, exchange);
    if (it.table == nullptr || !board.registry.loaded) {
        respond_own(board, it, {status_unavailable, "no configuration was read yet", retry_after_start});
        return;
    }
    const auto* host = find_header(exchange.headers(), "Host");
    it.rule = host == nullptr ? nullptr : find_route(*it.table, *host, exchange.path());
    if (it.rule == nullptr) {
        respond_own(board, it, {status_not_found, "no route matches host and path", {}});
        return;
    }
    const auto length = exchange.content_length();
    if (length && *length > it.table->config.limits.max_body.value) {
        respond_own(board, it, {status_too_large, "request body is larger than allowed", {}});
        return;
    }
    it.has_body = !length || *length > 0 || find_header(exchange.headers(), "Content-Length") != nullptr;
    const auto deadline = stated_deadline(board, exchange.headers());
    set_times(it, deadline);
    note_spent_before(board, it, deadline);
    it.service = pick_service(*it.rule, board.random);
}

void take_body(gateway_board& board, http_exchange& exchange, std::string_view data) {
    auto* it = request_of(exchange);
    if (it == nullptr || it->rule == nullptr) {
        return;
    }
    if (it->body.size() + data.size() > it->table->config.limits.max_body.value) {
        respond_own(board, *it, {status_too_large, "request body is larger than allowed", {}});
        return;
    }
    it->body.append(data);
}

void take_end(gateway_board& board, http_exchange& exchange) {
    auto* it = request_of(exchange);
    if (it != nullptr && it->rule != nullptr) {
        dispatch(board, *it);
    }
}

void take_writable(gateway_board& board, http_exchange& exchange) {
    const auto* it = request_of(exchange);
    if (it != nullptr && it->streaming != nullptr) {
        board.servers->resume(it->streaming->transfer);
    }
}

void take_close(gateway_board& board, http_exchange& exchange, bool completed) {
    auto* it = request_of(exchange);
    if (it == nullptr) {
        return;
    }
    if (!completed) {
        count(board, "caller_left_total");
        write_event(board.log, "caller_left",
                    {{"request", it->id},
                     {"attempts", static_cast<std::int64_t>(it->attempts.size())},
                     {"age_ms", to_milliseconds(boot_clock::now() - it->arrived)}});
    }
    it->exchange = nullptr;
    forget(board, *it);
}

} // namespace

http_server::handlers caller_handlers(gateway_board& board) {
    http_server::handlers handlers;
    handlers.on_head = [&board](http_exchange& exchange) { take_head(board, exchange); };
    handlers.on_body = [&board](http_exchange& exchange, std::string_view data) {
        take_body(board, exchange, data);
    };
    handlers.on_body_end = [&board](http_exchange& exchange) { take_end(board, exchange); };
    handlers.on_writable = [&board](http_exchange& exchange) { take_writable(board, exchange); };
    handlers.on_closed = [&board](http_exchange& exchange, bool completed) {
        take_close(board, exchange, completed);
    };
    return handlers;
}

} // namespace endivelever
