#include "endivelever/decide/address_answer.hpp"
#include "endivelever/entry/controllers.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace endivelever {
namespace {

using nlohmann::json;

void answer_json(http_exchange& exchange, unsigned status, const std::string& body) {
    exchange.respond(status, {{"Content-Type", "application/json"}}, body);
}

member_record own_record(const entry_board& board) {
    member_record self;
    self.vm = board.conf.vm;
    self.failure_domain = board.conf.failure_domain;
    self.caller_address = board.conf.caller_address.text;
    self.entry_life = board.life;
    self.generation = board.registry.generation;
    return self;
}

/// Members that serve calls; this entry speaks for itself.
std::vector<member_record> serving_members(const entry_board& board) {
    std::vector<member_record> serving;
    for (const auto& it : board.members) {
        if (it.state == member_state::live && it.vm != board.conf.vm && it.entry_life.value != 0) {
            serving.push_back(it);
        }
    }
    // An entry without a lease refuses calls, so it does not name itself.
    if (!board.stop && may_serve(board, boot_clock::now())) {
        serving.push_back(own_record(board));
    }
    return serving;
}

std::string metrics_text(entry_board& board) {
    auto& gauges = board.counters.gauges;
    gauges["open_calls"] = static_cast<double>(board.calls.size());
    gauges["preset_version"] = static_cast<double>(board.applied.value);
    for (const auto& it : board.routes) {
        for (const double quantile : {0.5, 0.99}) {
            std::string label = "{kind=\"";
            label += it.kind.id.text;
            label += quantile > 0.9 ? "\",quantile=\"0.99\"}" : "\",quantile=\"0.5\"}";
            gauges["latency_ms" + label] = to_milliseconds(value_at(it.latency, quantile));
            gauges["added_ms" + label] = to_milliseconds(value_at(it.added, quantile));
        }
        gauges["demand{kind=\"" + it.kind.id.text + "\"}"] = it.demand;
    }
    return exposition_text(board.counters);
}

const char* state_text(server_state state) {
    switch (state) {
    case server_state::warming:
        return "warming";
    case server_state::serving:
        return "serving";
    case server_state::ejected:
        return "ejected";
    }
    return "unknown";
}

json service_json(const service_state& service) {
    json servers = json::array();
    for (const auto& it : service.pool.servers) {
        servers.push_back({{"id", it.listed.id.text},
                           {"state", state_text(it.state)},
                           {"draining", is_draining(it)},
                           {"in_flight", it.in_flight.size()},
                           {"latency_ms", to_milliseconds(it.latency_estimate)},
                           {"failure_ratio", it.failure_ratio}});
    }
    json kinds = json::array();
    for (const auto& it : service.admission.kinds) {
        kinds.push_back({{"kind", it.kind.text},
                         {"served_as", to_text(it.rule.served_as)},
                         {"queued", it.queue.size()},
                         {"in_progress", it.in_progress},
                         {"window", it.window}});
    }
    return {{"service", service.pool.service.id.text}, {"servers", servers}, {"kinds", kinds}};
}

std::string state_json(const entry_board& board) {
    json services = json::array();
    for (const auto& it : board.services) {
        services.push_back(service_json(it));
    }
    const auto now = boot_clock::now();
    const double lease_ms = to_milliseconds(std::max(duration::zero(), board.lease_until - now));
    const json state{{"vm", board.conf.vm.text},
                     {"incarnation", board.life.value},
                     {"generation", board.registry.generation},
                     {"preset", board.in_force ? board.in_force->content.name.text : ""},
                     {"preset_version", board.applied.value},
                     {"lease_ms", lease_ms},
                     {"serving", may_serve(board, now)},
                     {"stopping", board.stop.has_value()},
                     {"open_calls", board.calls.size()},
                     {"members", board.members.size()},
                     {"services", services}};
    return state.dump(1) + "\n";
}

void answer_trace(const entry_board& board, http_exchange& exchange, std::string_view id) {
    const auto trace = parse_trace_id(id);
    if (!trace) {
        answer_json(exchange, 400, R"({"error":"[entry.20] a trace id has 32 hexadecimal digits"})");
        return;
    }
    answer_json(exchange, 200, to_json(spans_of(board.spans, *trace)) + "\n");
}

void answer_admin(entry_board& board, http_exchange& exchange) {
    const auto path = exchange.path();
    constexpr std::string_view traces = "/traces/";
    if (path == "/metrics") {
        exchange.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_text(board));
    } else if (path == "/state") {
        answer_json(exchange, 200, state_json(board));
    } else if (path.starts_with(traces)) {
        answer_trace(board, exchange, std::string_view(path).substr(traces.size()));
    } else {
        answer_json(exchange, 404,
                    R"({"error":"[entry.21] known paths are /metrics, /state and /traces/<id>"})");
    }
}

} // namespace

void answer_addresses(entry_board& board, http_exchange& exchange) {
    json list = json::array();
    for (const auto& it : select_addresses(serving_members(board), board.random)) {
        list.push_back({{"vm", it.vm.text},
                        {"address", it.caller_address},
                        {"failure_domain", it.failure_domain.text},
                        {"call_id_prefix", call_id_prefix(it.vm, it.entry_life, it.generation)}});
    }
    if (list.empty()) {
        refuse(board, exchange,
               {.status = 503,
                .id = 18,
                .text = "no serving entry is known here",
                .retry_after = std::chrono::milliseconds(500)});
        return;
    }
    const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(board.conf.address_keep).count();
    const json answer{{"addresses", list}, {"keep_ms", keep}, {"preset_version", board.applied.value}};
    answer_json(exchange, 200, answer.dump());
}

http_server::handlers admin_handlers(entry_board& board) {
    http_server::handlers on;
    on.on_head = [&board](http_exchange& it) { answer_admin(board, it); };
    return on;
}

} // namespace endivelever
