#include "endivelever/gateway/controllers.hpp"
#include "endivelever/gateway/explain.hpp"

#include <array>

namespace endivelever {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;
// Several, so that a caller that cannot reach one address can try another from the same response.
constexpr std::size_t preferred_address_count = 3;

http_server::handlers on_head_handlers(std::function<void(http_exchange&)> answer) {
    http_server::handlers handlers;
    handlers.on_head = std::move(answer);
    return handlers;
}

void respond_json(http_exchange& exchange, unsigned status, std::string body) {
    exchange.respond(status, {{"Content-Type", "application/json"}}, std::move(body));
}

void handle_lookup(gateway_board& board, http_exchange& exchange) {
    if (exchange.path() != board.dialect.lookup_path) {
        respond_json(exchange, status_not_found, "{\"error\":\"path is not known\"}\n");
        return;
    }
    auto near = board.peers.domain_addresses;
    if (near.empty() && is_ready(board)) {
        near.push_back(board.conf.caller_address.text);
    }
    const auto addresses =
        caller_addresses(std::move(near), board.peers.other_addresses, preferred_address_count, board.random);
    if (addresses.empty()) {
        count(board, "lookups_total{outcome=\"none\"}");
        respond_json(exchange, status_unavailable, "{\"error\":\"no VM takes requests now\"}\n");
        return;
    }
    count(board, "lookups_total{outcome=\"answered\"}");
    respond_json(exchange, status_ok, board.dialect.write_addresses(addresses, board.conf.address_keep));
}

void handle_readiness(gateway_board& board, http_exchange& exchange) {
    if (exchange.path() != board.dialect.ready_path) {
        respond_json(exchange, status_not_found, "{\"error\":\"path is not known\"}\n");
    } else if (is_ready(board) && may_serve_keys(board, boot_clock::now())) {
        respond_json(exchange, status_ok, "{}\n");
    } else {
        respond_json(exchange, status_unavailable, "{\"error\":\"this VM takes no requests\"}\n");
    }
}

void set_quantiles(counter_table& counters, const std::string& name, const std::string& label,
                   const histogram& source) {
    static constexpr std::array<std::pair<double, const char*>, 3> quantiles{
        {{0.5, "0.5"}, {0.9, "0.9"}, {0.99, "0.99"}}};
    for (const auto& [quantile, text] : quantiles) {
        std::string series = name;
        series.append("{").append(label).append("quantile=\"").append(text).append("\"}");
        counters.gauges[series] = to_seconds(value_at(source, quantile));
    }
    std::string series = name;
    series.append("_count{").append(label).append("}");
    counters.gauges[series] = static_cast<double>(source.total);
}

void set_cold_gauges(gateway_board& board) {
    const auto now = boot_clock::now();
    std::size_t cold = 0;
    std::size_t used = 0;
    for (const auto& [id, service] : board.services) {
        for (const auto& it : service.pool.servers) {
            cold += is_cold(it.warm_up_use, now) ? 1 : 0;
            used += is_cold(it.warm_up_use, now) && it.warm_up_use.is_sender ? 1 : 0;
        }
    }
    board.counters.gauges["gateway_cold_servers"] = static_cast<double>(cold);
    board.counters.gauges["gateway_cold_servers_used"] = static_cast<double>(used);
}

std::string metrics_text(gateway_board& board) {
    auto& gauges = board.counters.gauges;
    gauges["gateway_open_requests"] = static_cast<double>(board.requests.size());
    gauges["gateway_routing_version"] =
        board.routes == nullptr ? 0.0 : static_cast<double>(board.routes->config.version.value);
    gauges["gateway_registered_servers"] = static_cast<double>(board.registry.entries.size());
    gauges["gateway_store_away"] = board.registry.store_unavailable ? 1.0 : 0.0;
    gauges["gateway_serving_vms"] = board.peers.fleet_size;
    gauges["gateway_state_age_seconds"] = to_seconds(boot_clock::now() - state_confirmed_at(board));
    gauges["gateway_watches_store"] = board.duties.watches ? 1.0 : 0.0;
    gauges["gateway_log_lines_dropped"] = static_cast<double>(board.log.dropped);
    gauges["gateway_response_memory_bytes"] = static_cast<double>(board.response_memory.used.value);
    gauges["gateway_response_memory_limit_bytes"] = static_cast<double>(board.response_memory.limit.value);
    const auto& intake = *board.intake;
    gauges["gateway_connections"] = static_cast<double>(intake.usage().connections);
    gauges["gateway_connections_limit"] = static_cast<double>(intake.limits().connections);
    gauges["gateway_connection_memory_bytes"] = static_cast<double>(intake.usage().connections_memory.value);
    gauges["gateway_body_memory_bytes"] = static_cast<double>(intake.usage().bodies_memory.value);
    gauges["gateway_intake_memory_limit_bytes"] = static_cast<double>(intake.limits().memory.value);
    counter(board.counters, "gateway_readings_paused_total") = intake.paused_readings();
    counter(board.counters, "gateway_heads_rejected_total") = intake.rejected_heads();
    gauges["gateway_log_lines_omitted"] = static_cast<double>(board.log.omitted);
    for (const auto cause : {close_cause::memory, close_cause::connections, close_cause::stalled}) {
        const auto series = std::string("gateway_connections_closed_total{cause=\"") + name_of(cause) + "\"}";
        counter(board.counters, series) = intake.closed(cause);
    }
    if (board.conf.revocation_limit > duration::zero()) {
        gauges["gateway_currency_age_seconds"] = to_seconds(boot_clock::now() - board.currency.proven_at);
    }
    set_cold_gauges(board);
    gauges["gateway_evacuated_domains"] = static_cast<double>(board.evacuations.domains.size());
    gauges["gateway_store_calls"] = static_cast<double>(board.store_access.counts.calls);
    gauges["gateway_store_era"] = static_cast<double>(board.store_access.era.value);
    gauges["gateway_servers_era"] = static_cast<double>(board.servers_revision.era.value);
    gauges["gateway_evacuations_era"] = static_cast<double>(board.evacuations.revision.era.value);
    gauges["gateway_store_responses_outdated"] = static_cast<double>(board.store_access.counts.outdated);
    gauges["gateway_store_call_failures"] = static_cast<double>(board.store_access.counts.failures);
    set_quantiles(board.counters, "gateway_request_seconds", "", board.latency);
    for (const auto& it : board.services) {
        const auto label = "service=\"" + it.first.text + "\",";
        set_quantiles(board.counters, "gateway_server_seconds", label, it.second.response_time);
        set_quantiles(board.counters, "gateway_queue_wait_seconds", label, it.second.queue_wait);
        gauges["gateway_waiting_requests{service=\"" + it.first.text + "\"}"] =
            static_cast<double>(it.second.waiting.size());
        gauges["gateway_room_exceeded{service=\"" + it.first.text + "\"}"] =
            it.second.room.exceeded ? 1.0 : 0.0;
        gauges["gateway_retry_tokens{service=\"" + it.first.text + "\"}"] = it.second.retries.tokens;
    }
    return exposition_text(board.counters);
}

void respond_metrics(gateway_board& board, http_exchange& exchange) {
    exchange.respond(status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_text(board));
}

} // namespace

http_server::handlers ready_handlers(gateway_board& board) {
    return on_head_handlers([&board](http_exchange& exchange) { handle_readiness(board, exchange); });
}

http_server::handlers lookup_handlers(gateway_board& board) {
    return on_head_handlers([&board](http_exchange& exchange) { handle_lookup(board, exchange); });
}

http_server::handlers metrics_handlers(gateway_board& board) {
    return on_head_handlers([&board](http_exchange& exchange) {
        if (is_peer_path(exchange.path())) {
            respond_json(exchange, status_not_found, "{\"error\":\"path is not known\"}\n");
        } else {
            respond_metrics(board, exchange);
        }
    });
}

http_server::handlers relay_handlers(gateway_board& board) {
    return on_head_handlers([&board](http_exchange& exchange) {
        if (!handle_peer_request(board, exchange) && !handle_explain(board, exchange)) {
            respond_metrics(board, exchange);
        }
    });
}

} // namespace endivelever
