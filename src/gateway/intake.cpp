#include "endivelever/gateway/controllers.hpp"

#include <algorithm>
#include <charconv>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_unavailable = 503;
// Sent until the first configuration is loaded, which takes a few calls to the store.
constexpr duration startup_retry_after = 300ms;
// Most VMs have a proof that is recent, so a caller does best to go to another one at once.
constexpr duration unproven_retry_after = 50ms;
// The next attempt is accepted at once; a moment spreads the callers of a tenant.
constexpr duration moved_retry_after = 50ms;
// Precision of the deadlines that callers send; smaller differences do not indicate a retry.
constexpr duration deadline_precision = 10ms;
// Time in which the bodies that fill the memory are passed on.
constexpr duration body_retry_after = 500ms;
// Bodies up to this size reserve memory as they arrive, so that callers that announce bodies and send none do
// not shut out others. Larger ones reserve it at once, so that they are refused before they are read.
constexpr std::uint64_t max_gradual_body = 1UL << 20U;
constexpr std::uint64_t first_body_capacity = 16UL * 1024UL;
constexpr std::size_t max_tracked_routes = 20'000;
// Longer deadlines are clamped: every configuration ends requests earlier.
constexpr std::int64_t max_deadline_ms = 600'000;

gateway_request* get_request(http_exchange& exchange) {
    return static_cast<gateway_request*>(exchange.context);
}

std::optional<duration> parse_deadline(const gateway_board& board, const http_headers& headers) {
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

void set_response_deadline(gateway_request& it, std::optional<duration> deadline) {
    const auto timeout =
        it.matched_route->timeout > duration::zero() ? it.matched_route->timeout : deadline.value_or(10s);
    it.deadline = it.arrived + std::min(deadline.value_or(timeout), timeout);
}

/// Estimates the time that the caller spent in earlier attempts: a retry carries only the remainder of the
/// deadline, so the difference to the longest deadline of the route is taken as spent.
void estimate_prior_attempt_time(gateway_board& board, gateway_request& it,
                                 std::optional<duration> deadline) {
    if (!deadline) {
        return;
    }
    if (board.longest_deadline.size() > max_tracked_routes) {
        board.longest_deadline.clear();
    }
    auto& longest = board.longest_deadline[it.matched_route->id];
    longest = std::max(longest, *deadline);
    const auto spent = longest - *deadline;
    it.prior_attempt_time = spent > deadline_precision ? spent : duration::zero();
}

gateway_request& add_request(gateway_board& board, http_exchange& exchange) {
    auto it = std::make_unique<gateway_request>();
    it->number = ++board.last_request_number;
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

bool needs_key(const gateway_request& it) {
    return !it.table->config.tenants.empty() && !it.matched_route->is_public;
}

/// @return the key of a request; empty if it has none or several Authorization fields
std::string_view key_of(const http_headers& headers) {
    const auto is_authorization = [](const http_header& header) {
        return header_names_equal(header.name, authorization_header);
    };
    const auto keys = std::count_if(headers.begin(), headers.end(), is_authorization);
    return keys == 1 ? bearer_key(*find_header(headers, authorization_header)) : std::string_view();
}

/// Extends the memory for the body of a request.
/// @return false if the body does not fit
bool reserve_body(gateway_board& board, gateway_request& it, std::uint64_t size) {
    if (size <= it.body_reserved.value) {
        return true;
    }
    if (!board.intake->reserve_body(byte_count{size - it.body_reserved.value}, it.body_reserved)) {
        return false;
    }
    it.body_reserved = byte_count{size};
    return true;
}

/// @return the memory to reserve before the body of a request is read
std::uint64_t first_reservation(std::optional<std::uint64_t> length) {
    const auto size = length.value_or(first_body_capacity);
    return size > max_gradual_body ? size : std::min(size, first_body_capacity);
}

void refuse_body(gateway_board& board, gateway_request& it) {
    count(board, "bodies_refused_total");
    respond_with_error(board, it, {status_unavailable, "no memory for the request body", body_retry_after});
}

void on_request_head(gateway_board& board, http_exchange& exchange) {
    auto& it = add_request(board, exchange);
    if (!has_state(board)) {
        respond_with_error(board, it,
                           {status_unavailable, "no configuration was read yet", startup_retry_after});
        return;
    }
    const auto* host = find_header(exchange.headers(), "Host");
    it.matched_route = host == nullptr ? nullptr : find_route(*it.table, *host, exchange.path());
    if (it.matched_route == nullptr) {
        respond_with_error(board, it, {status_not_found, "no route matches host and path", {}});
        return;
    }
    const auto key = key_of(exchange.headers());
    // On a public route, too, a server must not be told a tenant that may have lost its key.
    if ((needs_key(it) || !key.empty()) && !may_serve_keys(board, it.arrived)) {
        count(board, "keys_not_checked_total");
        respond_with_error(board, it,
                           {status_unavailable, "configuration may be out of date", unproven_retry_after});
        return;
    }
    it.tenant = find_tenant(it.table->tenants, key);
    if (needs_key(it) && it.tenant == nullptr) {
        count(board, "keys_rejected_total");
        respond_with_error(board, it, {status_unauthorized, "key is missing or not known", {}});
        return;
    }
    it.rank =
        it.tenant != nullptr ? it.tenant->rank.value_or(it.matched_route->rank) : it.matched_route->rank;
    const auto length = exchange.content_length();
    if (length && *length > it.table->config.limits.max_body.value) {
        respond_with_error(board, it, {status_too_large, "request body is larger than allowed", {}});
        return;
    }
    if (!reserve_body(board, it, first_reservation(length))) {
        refuse_body(board, it);
        return;
    }
    if (it.matched_route->large_response) {
        exchange.hold_next_requests();
    }
    it.has_body = !length || *length > 0 || find_header(exchange.headers(), "Content-Length") != nullptr;
    const auto deadline = parse_deadline(board, exchange.headers());
    set_response_deadline(it, deadline);
    estimate_prior_attempt_time(board, it, deadline);
    it.service = pick_service(*it.matched_route, board.random);
}

void on_request_body(gateway_board& board, http_exchange& exchange, std::string_view data) {
    auto* it = get_request(exchange);
    if (it == nullptr || it->matched_route == nullptr) {
        return;
    }
    const auto max_body = it->table->config.limits.max_body.value;
    const auto length = exchange.content_length();
    if (it->body == nullptr) {
        // A body of known length never has to be copied.
        it->body = std::make_shared<std::string>();
        it->body->reserve(length.value_or(it->body_reserved.value));
    }
    const auto size = it->body->size() + data.size();
    if (size > max_body) {
        respond_with_error(board, *it, {status_too_large, "request body is larger than allowed", {}});
        return;
    }
    if (size > it->body_reserved.value) {
        const auto doubled = std::min(length.value_or(max_body), std::max(size, 2 * it->body_reserved.value));
        if (!reserve_body(board, *it, doubled) && !reserve_body(board, *it, size)) {
            refuse_body(board, *it);
            return;
        }
        it->body->reserve(it->body_reserved.value);
    }
    it->body->append(data);
}

void on_request_end(gateway_board& board, http_exchange& exchange) {
    auto* it = get_request(exchange);
    if (it != nullptr && it->matched_route != nullptr) {
        dispatch(board, *it);
    }
}

void on_caller_writable(gateway_board& board, http_exchange& exchange) {
    const auto* it = get_request(exchange);
    if (it != nullptr && it->streaming_attempt != nullptr) {
        board.server_http_client->resume(it->streaming_attempt->transfer);
    }
}

void on_exchange_closed(gateway_board& board, http_exchange& exchange, bool completed) {
    auto* it = get_request(exchange);
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
    remove_request(board, *it);
}

/// True if no server can have received the request.
bool is_unsent(const gateway_request& it) {
    return it.exchange != nullptr && it.matched_route != nullptr && !may_have_run(proofs_of(it));
}

/// Refuses a request if its key has another tenant, or none, in the configuration in force.
void review_key(gateway_board& board, gateway_request& it) {
    const auto* tenant = find_tenant(board.routes->tenants, key_of(it.exchange->headers()));
    if (tenant != nullptr && tenant->id == it.tenant->id) {
        return;
    }
    if (tenant == nullptr && !board.routes->config.tenants.empty() && needs_key(it)) {
        count(board, "keys_rejected_total");
        respond_with_error(board, it, {status_unauthorized, "key was taken away", {}});
    } else {
        // Priority and quota of the former tenant were applied to it.
        respond_with_error(board, it, {status_unavailable, "key has moved", moved_retry_after});
    }
}

} // namespace

void review_keys(gateway_board& board) {
    std::vector<request_number> unsent;
    for (const auto& [number, it] : board.requests) {
        if (it->tenant != nullptr && is_unsent(*it)) {
            unsent.push_back(number);
        }
    }
    for (const auto number : unsent) {
        const auto found = board.requests.find(number);
        if (found != board.requests.end() && is_unsent(*found->second)) {
            review_key(board, *found->second);
        }
    }
}

http_server::handlers caller_handlers(gateway_board& board) {
    http_server::handlers handlers;
    handlers.on_head = [&board](http_exchange& exchange) { on_request_head(board, exchange); };
    handlers.on_body = [&board](http_exchange& exchange, std::string_view data) {
        on_request_body(board, exchange, data);
    };
    handlers.on_body_end = [&board](http_exchange& exchange) { on_request_end(board, exchange); };
    handlers.on_writable = [&board](http_exchange& exchange) { on_caller_writable(board, exchange); };
    handlers.on_closed = [&board](http_exchange& exchange, bool completed) {
        on_exchange_closed(board, exchange, completed);
    };
    return handlers;
}

} // namespace endivelever
