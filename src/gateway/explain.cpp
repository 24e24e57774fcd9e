#include "endivelever/gateway/explain.hpp"

#include "endivelever/decide/choose_server.hpp"
#include "endivelever/decide/observe.hpp"
#include "endivelever/decide/server_use.hpp"
#include "endivelever/gateway/controllers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;
constexpr const char* explain_path = "/explain";
// Used for a route without a timeout and a request without a deadline, as in intake.
constexpr duration default_timeout = 10s;
constexpr request_number explained_number = std::numeric_limits<request_number>::max();

const char* to_string(explain_outcome outcome) {
    switch (outcome) {
    case explain_outcome::send:
        return "send";
    case explain_outcome::wait:
        return "wait";
    case explain_outcome::refuse:
        return "refuse";
    }
    return "refuse";
}

explanation refused(explanation it, unsigned status, std::string reason, duration retry_after = {}) {
    it.outcome = explain_outcome::refuse;
    it.status = status;
    it.reason = std::move(reason);
    it.retry_after = retry_after;
    return it;
}

explanation sent(explanation it, const server_view& view, explain_basis basis) {
    it.outcome = explain_outcome::send;
    it.server = view.listed.id.text;
    it.basis = basis;
    return it;
}

/// @return why the server cannot take a request now; empty if it can
std::string find_denial(const gateway_service& service, const server_view& view, time_point now) {
    if (const auto denial = find_use_denial(view, now); denial != use_denial::none) {
        return to_string(denial);
    }
    if (view.state == server_state::ejected) {
        return "ejected";
    }
    if (view.in_flight.size() >= view.connection_share) {
        return "no_connection";
    }
    return make_offer(service, view, now).has_free_slot ? "" : "full";
}

std::vector<explained_server> describe_servers(const gateway_service& service, time_point now) {
    std::vector<explained_server> servers;
    for (const auto& view : service.pool.servers) {
        servers.push_back({view.listed.id, view.listed.failure_domain, find_denial(service, view, now),
                           view.reported_at == time_point{} ? duration::max() : now - view.reported_at,
                           make_offer(service, view, now).predicted_latency});
    }
    return servers;
}

/// Assigns the waiting requests of a copy to a server until it takes no more.
/// @return true if it takes the explained request
bool is_assigned(gateway_service& copy, server_view& view, time_point now) {
    while (const auto position = select_waiting(copy, view, now)) {
        if (copy.waiting[*position].request == explained_number) {
            return true;
        }
        note_sent(copy.room, copy.waiting[*position], now);
        copy.waiting.erase(copy.waiting.begin() + static_cast<std::ptrdiff_t>(*position));
        note_dispatch(view, now);
    }
    return false;
}

/// Offers servers of a copy to the waiting requests.
/// @return the server that takes the explained request
const server_view* offer(gateway_service& copy, const std::vector<server_index>& servers, time_point now) {
    for (const auto index : servers) {
        if (is_assigned(copy, copy.pool.servers[index], now)) {
            return &copy.pool.servers[index];
        }
    }
    return nullptr;
}

/// @return why the explained request would be refused at the next review of the queue
std::optional<explanation> find_review_refusal(const gateway_board& board, const explanation& base,
                                               gateway_service& copy, const waiting_request& entry,
                                               random_source& random, time_point now) {
    const auto expected = expected_response_time(copy);
    const bool is_usable = first_request_at(copy.pool, {}, now) <= now;
    review_room(copy.room, is_usable ? copy.waiting : wait_queue{}, now);
    if (cannot_meet_deadline(entry, expected, now)) {
        return refused(base, status_unavailable, "no server has room in time", expected);
    }
    std::erase_if(copy.waiting, [&](const waiting_request& it) {
        return cannot_meet_deadline(it, expected, now) || !accepts_request(board, now, it.deadline);
    });
    const auto room = room_of(copy, now);
    const auto without_room =
        is_usable ? refuse_for_room(copy.waiting, copy.room, room, now, random) : std::vector<room_refusal>{};
    for (const auto& it : without_room) {
        if (it.request == explained_number) {
            return refused(base, status_unavailable, "servers have no room in time", it.retry_after);
        }
        remove_waiting(copy.waiting, it.request);
    }
    for (const auto number : requests_to_refuse(copy.waiting, expected, now)) {
        if (number == explained_number) {
            return refused(base, status_unavailable, "servers are full", expected);
        }
        remove_waiting(copy.waiting, number);
    }
    return std::nullopt;
}

explanation explain_wait(explanation base, const gateway_service& copy, time_point now) {
    base.outcome = explain_outcome::wait;
    base.reason = "no server with a free slot is known";
    const auto room = room_of(copy, now);
    for (const auto& it : plan_room(copy.waiting, copy.room, room, now)) {
        if (copy.waiting[it.position].request == explained_number && room.work_per_second > 0.0) {
            base.wait = it.starts_in;
        }
    }
    if (const auto at = first_request_at(copy.pool, {}, now); at > now && at != time_point::max()) {
        base.reason = "servers want no request before";
        base.wait = at - now;
    }
    return base;
}

/// Follows the steps of enqueue_request() and process_wait_queue() on a copy of the service.
explanation explain_placement(const gateway_board& board, const explanation& base, gateway_service copy,
                              const gateway_request& request, random_source random, time_point now) {
    if (const auto refusal = find_queue_refusal(board, copy, request.deadline, now, random)) {
        return refused(base, status_unavailable, refusal->reason, refusal->retry_after);
    }
    auto entry = make_waiting(copy, request, attempt_purpose::first, now);
    note_arrival(copy.room, entry, now);
    const bool others_probed = !copy.waiting.empty() && copy.waiting.front().probing_done;
    entry.probing_done = copy.reports_load && others_probed;
    copy.waiting.push_back(entry);
    if (!copy.reports_load) {
        if (const auto index = choose_server(copy.pool, {}, now, random)) {
            return sent(base, copy.pool.servers[*index], explain_basis::report);
        }
        const auto at = first_request_at(copy.pool, {}, now);
        if (at > now && at != time_point::max() && at + expected_response_time(copy) <= entry.deadline) {
            return explain_wait(base, copy, now);
        }
        return refused(base, status_unavailable, "no server can take the request");
    }
    if (!others_probed) {
        if (const auto* view = offer(copy, recently_reported(copy, fresh_report_age, now), now)) {
            return sent(base, *view, explain_basis::report);
        }
    }
    if (auto refusal = find_review_refusal(board, base, copy, entry, random, now)) {
        return *refusal;
    }
    if (const auto* view = offer(copy, recently_reported(copy, recent_report_age, now), now)) {
        return sent(base, *view, explain_basis::report);
    }
    for (auto& it : copy.waiting) {
        it.probing_done = it.probing_done || it.request == explained_number;
    }
    const auto candidates = pick_candidates(copy.pool, {}, max_probes_per_request,
                                            request.matched_route->large_response, now, random);
    if (const auto* view = offer(copy, candidates, now)) {
        return sent(base, *view, explain_basis::last_known);
    }
    return explain_wait(base, copy, now);
}

const tenant_config* find_tenant_by_name(const route_table& table, const std::string& name) {
    const auto& tenants = table.config.tenants;
    const auto found = std::find_if(tenants.begin(), tenants.end(),
                                    [&name](const tenant_config& it) { return it.id.text == name; });
    return found == tenants.end() ? nullptr : &*found;
}

std::size_t count_tokens(const quota_state& quota, const tenant_id& tenant, time_point now) {
    const auto found = quota.reserves.find(hash_of(tenant));
    if (found == quota.reserves.end()) {
        return 0;
    }
    const auto& tokens = found->second.tokens;
    return static_cast<std::size_t>(
        std::count_if(tokens.begin(), tokens.end(), [now](time_point expiry) { return expiry > now; }));
}

std::string number_text(double value) {
    std::array<char, 32> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value, std::chars_format::fixed, 1);
    return {buf.data(), end.ptr};
}

/// Decodes a value of a query. @return nothing if a percent sign is not followed by two hexadecimal digits
std::optional<std::string> decode(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i] == '+' ? ' ' : text[i];
            continue;
        }
        unsigned value = 0;
        const auto digits = text.substr(i + 1, 2);
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (digits.size() != 2 || ec != std::errc{} || end != digits.data() + digits.size()) {
            return std::nullopt;
        }
        decoded += static_cast<char>(value);
        i += 2;
    }
    return decoded;
}

std::optional<explain_query> parse_query(std::string_view target) {
    explain_query query;
    const auto start = target.find('?');
    auto rest = start == std::string_view::npos ? std::string_view() : target.substr(start + 1);
    while (!rest.empty()) {
        const auto length = std::min(rest.find('&'), rest.size());
        const auto item = rest.substr(0, length);
        rest.remove_prefix(std::min(length + 1, rest.size()));
        const auto equals = std::min(item.find('='), item.size());
        const auto name = item.substr(0, equals);
        auto value = decode(item.substr(std::min(equals + 1, item.size())));
        if (!value) {
            return std::nullopt;
        }
        if (name == "host") {
            query.host = std::move(*value);
        } else if (name == "path") {
            query.path = std::move(*value);
        } else if (name == "tenant") {
            query.tenant = std::move(*value);
        }
    }
    return query.host.empty() || query.path.empty() ? std::nullopt : std::optional(query);
}

} // namespace

explanation explain_request(const gateway_board& board, const explain_query& query, time_point now) {
    explanation base;
    base.tenant = query.tenant;
    if (!has_state(board)) {
        return refused(base, status_unavailable, "no configuration was read yet");
    }
    const auto path = query.path.substr(0, query.path.find('?'));
    const auto* matched = find_route(*board.routes, query.host, path);
    if (matched == nullptr) {
        return refused(base, status_not_found, "no route matches host and path");
    }
    base.route = matched->id.text;
    const auto* tenant = find_tenant_by_name(*board.routes, query.tenant);
    base.priority = tenant != nullptr ? tenant->rank.value_or(matched->rank) : matched->rank;
    const bool needs_key = !board.routes->config.tenants.empty() && !matched->is_public;
    if (needs_key && !may_serve_keys(board, now)) {
        return refused(base, status_unavailable, "configuration may be out of date");
    }
    if (tenant == nullptr && (needs_key || !query.tenant.empty())) {
        return refused(base, status_unauthorized,
                       query.tenant.empty() ? "the route needs a key: name a tenant" : "tenant is not known");
    }
    if (tenant != nullptr && tenant->rate > 0.0 && has_quotas(board)) {
        base.quota_tokens = count_tokens(board.quota, tenant->id, now);
    }
    auto random = board.random;
    gateway_request request;
    request.number = explained_number;
    request.table = board.routes;
    request.matched_route = matched;
    request.tenant = tenant;
    request.rank = base.priority;
    request.arrived = now;
    request.deadline = now + (matched->timeout > duration::zero() ? matched->timeout : default_timeout);
    request.service = pick_service(*matched, random);
    base.service = request.service.text;
    const auto service = board.services.find(request.service);
    if (service == board.services.end()) {
        return refused(base, status_unavailable, "service is not known");
    }
    base.waiting = service->second.waiting.size();
    base.room_exceeded = service->second.room.exceeded;
    base.servers = describe_servers(service->second, now);
    return explain_placement(board, base, service->second, request, random, now);
}

std::string to_json(const explanation& it) {
    std::string text = "{\"outcome\":";
    text += json_quoted(to_string(it.outcome));
    const auto add_text = [&text](const char* name, const std::string& value) {
        text += std::string(",\"") + name + "\":" + (value.empty() ? "null" : json_quoted(value));
    };
    const auto add_number = [&text](const char* name, const std::string& value) {
        text += std::string(",\"") + name + "\":" + value;
    };
    add_text("server", it.server);
    if (it.outcome == explain_outcome::send) {
        add_text("basis", it.basis == explain_basis::report ? "report" : "last_known");
    } else {
        add_text("reason", it.reason);
    }
    if (it.outcome == explain_outcome::refuse) {
        add_number("status", std::to_string(it.status));
        add_number("retry_after_ms", number_text(to_milliseconds(it.retry_after)));
    }
    if (it.outcome == explain_outcome::wait) {
        add_number("wait_ms", number_text(to_milliseconds(it.wait)));
    }
    add_text("route", it.route);
    add_text("service", it.service);
    add_text("tenant", it.tenant);
    add_number("priority", std::to_string(it.priority));
    add_number("quota_tokens", it.quota_tokens ? std::to_string(*it.quota_tokens) : "null");
    add_number("waiting", std::to_string(it.waiting));
    add_number("room_exceeded", it.room_exceeded ? "true" : "false");
    text += ",\"servers\":[";
    for (const auto& server : it.servers) {
        text += text.back() == '[' ? "{" : ",{";
        text += "\"id\":" + json_quoted(server.id.text);
        text += ",\"domain\":" + json_quoted(server.domain.text);
        add_text("out", server.denial);
        const bool reported = server.report_age != duration::max();
        add_number("report_age_ms", reported ? number_text(to_milliseconds(server.report_age)) : "null");
        add_number("predicted_ms", number_text(to_milliseconds(server.predicted)));
        text += "}";
    }
    return text + "]}\n";
}

bool handle_explain(const gateway_board& board, http_exchange& exchange) {
    if (exchange.path() != explain_path) {
        return false;
    }
    const auto query = parse_query(exchange.target());
    const http_headers headers{{"Content-Type", "application/json"}};
    if (!query) {
        exchange.respond(status_bad_request, headers, "{\"error\":\"host and path are required\"}\n");
    } else {
        exchange.respond(status_ok, headers, to_json(explain_request(board, *query, boot_clock::now())));
    }
    return true;
}

} // namespace endivelever
