#include "testbed/fake_servers.hpp"

#include "testbed/fake_server.hpp"
#include "testbed/http_text.hpp"

#include <nlohmann/json.hpp>

namespace endivelever::testbed {
namespace detail {
namespace {

using nlohmann::json;

constexpr std::string_view servers_path = "/fake/servers/";
constexpr std::size_t max_control_body = 1U << 20U;

json to_json(const fake_server_info& info) {
    return {{"id", info.id.text},
            {"service", info.service.text},
            {"failure_domain", info.failure_domain.text},
            {"address", info.address.text},
            {"slots", info.slots},
            {"connections", info.connections}};
}

json to_json(const server_model& model) {
    const auto& counts = model.counts;
    return {{"received", counts.received},   {"started", counts.started}, {"finished", counts.finished},
            {"shed", counts.shed},           {"failed", counts.failed},   {"expired", counts.expired},
            {"cancelled", counts.cancelled}, {"probes", counts.probes},   {"running", model.running.size()},
            {"queued", model.queue.size()}};
}

fake_server_spec parse_spec(const json& from) {
    fake_server_spec spec;
    spec.id = server_id(from.at("id").get<std::string>());
    spec.service = service_id(from.at("service").get<std::string>());
    spec.failure_domain = failure_domain(from.value("failure_domain", ""));
    spec.address = socket_address(from.value("address", spec.address.text));
    spec.connections = from.value("connections", spec.connections);
    const auto problem = apply_json(spec.behaviour, from.dump(), boot_clock::now());
    if (!problem.empty()) {
        throw std::invalid_argument(problem);
    }
    return spec;
}

} // namespace
} // namespace detail

struct fake_servers::state {
    explicit state(struct ev_loop* loop) : farm(loop) {}

    detail::server_farm farm;
    std::map<server_id, std::unique_ptr<detail::fake_server>> servers;
    std::unordered_map<http_exchange*, std::string> bodies;
    std::unique_ptr<http_server> control;

    void on_request(http_exchange& exchange);
    void change(http_exchange& exchange, const server_id& id, const std::string& body);
    std::string change_text(detail::fake_server& server, const std::string& body);
    nlohmann::json describe_servers() const;
    nlohmann::json describe_ledger(std::uint64_t min) const;
    nlohmann::json describe_counts() const;
};

void fake_servers::state::on_request(http_exchange& exchange) {
    const auto path = exchange.path();
    const http_headers head{{"Content-Type", "application/json"}};
    if (exchange.method() == "POST" && path.starts_with(detail::servers_path)) {
        change(exchange, server_id(path.substr(detail::servers_path.size())), bodies[&exchange]);
    } else if (path == "/fake/servers") {
        exchange.respond(200, head, describe_servers().dump());
    } else if (path == "/fake/ledger") {
        exchange.respond(200, head, describe_ledger(query_number(exchange.target(), "min", 1)).dump());
    } else if (path == "/fake/counts") {
        exchange.respond(200, head, describe_counts().dump());
    } else {
        exchange.respond(404, {}, "no such resource\n");
    }
}

void fake_servers::state::change(http_exchange& exchange, const server_id& id, const std::string& body) {
    const auto found = servers.find(id);
    if (found == servers.end()) {
        exchange.respond(404, {}, "no such server\n");
        return;
    }
    const auto problem = change_text(*found->second, body);
    exchange.respond(problem.empty() ? 204 : 400, {}, problem.empty() ? "" : problem + "\n");
}

std::string fake_servers::state::change_text(detail::fake_server& server, const std::string& body) {
    auto problem = apply_json(server.model().behaviour, body, boot_clock::now());
    if (!problem.empty()) {
        return problem;
    }
    const auto json = nlohmann::json::parse(body);
    auto done = result<void>{};
    if (json.value("silence_connections", false)) {
        done = server.silence_connections();
    }
    if (done && json.contains("closed")) {
        done = server.set_closed(json.at("closed").get<bool>());
    }
    return done ? std::string() : done.error().message;
}

nlohmann::json fake_servers::state::describe_servers() const {
    auto list = nlohmann::json::array();
    for (const auto& [id, server] : servers) {
        list.push_back(detail::to_json(server->info()));
    }
    return {{"servers", list}};
}

nlohmann::json fake_servers::state::describe_ledger(std::uint64_t min) const {
    auto runs = nlohmann::json::object();
    std::uint64_t total = 0;
    for (const auto& [key, count] : farm.ledger) {
        total += count;
        if (count >= min) {
            runs[key] = count;
        }
    }
    return {{"runs", runs}, {"total", total}};
}

nlohmann::json fake_servers::state::describe_counts() const {
    auto counts = nlohmann::json::object();
    for (const auto& [id, server] : servers) {
        counts[id.text] = detail::to_json(server->model());
    }
    return counts;
}

fake_servers::fake_servers(std::unique_ptr<state> it) : m_state(std::move(it)) {}
fake_servers::~fake_servers() = default;

result<std::unique_ptr<fake_servers>> fake_servers::open(struct ev_loop* loop, const socket_address& control,
                                                         const std::vector<fake_server_spec>& specs,
                                                         std::uint64_t seed) {
    auto it = std::make_unique<state>(loop);
    it->farm.random = random_source(seed);
    for (const auto& spec : specs) {
        auto server = detail::fake_server::open(it->farm, spec);
        if (!server) {
            return tl::unexpected<error>(server.error());
        }
        it->servers.emplace(spec.id, std::move(*server));
    }
    auto* raw = it.get();
    const http_server::handlers callbacks{
        .on_head = [raw](http_exchange& exchange) { raw->bodies[&exchange].clear(); },
        .on_body =
            [raw](http_exchange& exchange, std::string_view data) {
                auto& body = raw->bodies[&exchange];
                if (body.size() + data.size() <= detail::max_control_body) {
                    body.append(data);
                }
            },
        .on_body_end = [raw](http_exchange& exchange) { raw->on_request(exchange); },
        .on_writable = [](http_exchange&) {},
        .on_closed = [raw](http_exchange& exchange, bool) { raw->bodies.erase(&exchange); }};
    auto server = http_server::open(loop, control, {}, callbacks);
    if (!server) {
        return tl::unexpected<error>(server.error());
    }
    it->control = std::move(*server);
    return std::unique_ptr<fake_servers>(new fake_servers(std::move(it)));
}

std::uint16_t fake_servers::control_port() const {
    return m_state->control->port();
}

std::vector<fake_server_info> fake_servers::list() const {
    std::vector<fake_server_info> all;
    for (const auto& [id, server] : m_state->servers) {
        all.push_back(server->info());
    }
    return all;
}

const run_ledger& fake_servers::ledger() const {
    return m_state->farm.ledger;
}

server_model* fake_servers::find(const server_id& id) {
    const auto found = m_state->servers.find(id);
    return found == m_state->servers.end() ? nullptr : &found->second->model();
}

bool fake_servers::silence_connections(const server_id& id) {
    const auto found = m_state->servers.find(id);
    return found != m_state->servers.end() && found->second->silence_connections().has_value();
}

result<std::vector<fake_server_spec>> parse_server_specs(const std::string& text) {
    try {
        std::vector<fake_server_spec> specs;
        const auto document = nlohmann::json::parse(text);
        for (const auto& it : document.at("servers")) {
            specs.push_back(detail::parse_spec(it));
        }
        return specs;
    } catch (const std::exception& problem) {
        return fail("fake", 3, problem.what());
    }
}

} // namespace endivelever::testbed
