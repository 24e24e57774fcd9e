#include "endivelever/control/operator_api.hpp"

#include "endivelever/config/check_preset.hpp"
#include "endivelever/control/audit.hpp"
#include "endivelever/control/change_documents.hpp"
#include "endivelever/control/operator_key.hpp"
#include "endivelever/control/reports.hpp"

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>

namespace endivelever {
namespace detail {

using json = nlohmann::json;

constexpr std::size_t max_body = 256UL * 1024UL;
constexpr std::size_t max_id_length = 64;
constexpr std::uint32_t max_changes_in_progress = 16;
constexpr std::uint32_t max_operator_connections = 64;
const std::string presets_path = "/v1/presets/";

/// One request. The exchange is null once the operator has gone.
struct operator_request {
    http_exchange* exchange = nullptr;
    const operator_settings* who = nullptr;
    std::string what; ///< method and path, for the audit
    std::string body;
    bool answered = false;
};
using request_ptr = std::shared_ptr<operator_request>;

void answer(operator_request& request, unsigned status, std::string body,
            const char* type = "application/json") {
    if (request.exchange != nullptr && !request.answered) {
        request.answered = true;
        request.exchange->respond(status, {{"Content-Type", type}}, std::move(body));
    }
}

json refusal_json(int id, const std::string& text) {
    return {{"error", make_error("control", id, text).message}, {"outcome", "not-run"}};
}

void refuse(operator_request& request, unsigned status, int id, const std::string& text) {
    answer(request, status, refusal_json(id, text).dump());
}

// Refusals of changes are kept in the audit, like changes.
void refuse_change(control& it, operator_request& request, unsigned status, int id, const std::string& text) {
    record_audit(it.board, request.who == nullptr ? operator_name{} : request.who->name, request.what,
                 "refused: " + text);
    refuse(request, status, id, text);
}

json in_force_json(const control_board& board) {
    return json::parse(status_body(board, boot_clock::now()))["preset"];
}

std::string change_body(const control_board& board, const change_result& end) {
    const auto spread = rollout_of(board, boot_clock::now());
    json body{
        {"in_force", in_force_json(board)}, {"entries", spread.entries}, {"in_force_on", spread.in_force_on}};
    switch (end.outcome) {
    case change_outcome::done:
        body["outcome"] = "done";
        break;
    case change_outcome::not_run:
        body.update(refusal_json(30, end.reason));
        break;
    case change_outcome::unknown:
        body.update({{"error", make_error("control", 31, end.reason).message}, {"outcome", "unknown"}});
        break;
    }
    if (end.lost_race && board.in_force) {
        body["won_by"] = board.in_force->who.text;
    }
    return body.dump();
}

std::function<void(const change_result&)> answer_with(control& it, const request_ptr& request) {
    return [&it, request](const change_result& end) {
        const char* outcome = end.outcome == change_outcome::done      ? "done"
                              : end.outcome == change_outcome::not_run ? "refused: "
                                                                       : "unknown: ";
        record_audit(it.board, request->who->name, request->what, outcome + end.reason);
        answer(*request, end.status, change_body(it.board, end));
    };
}

bool is_name(const std::string& text) {
    const auto valid = [](unsigned char it) {
        return std::isalnum(it) != 0 || it == '-' || it == '_' || it == '.';
    };
    return !text.empty() && text.size() <= max_id_length && std::all_of(text.begin(), text.end(), valid);
}

std::string text_of(const json& body, const char* key) {
    return body.contains(key) && body[key].is_string() ? body[key].get<std::string>() : std::string();
}

void start_change(control& it, const request_ptr& request, const json& body, change_kind kind) {
    change_request change;
    change.kind = kind;
    change.name = preset_name(text_of(body, "name"));
    change.operation = operation_id(text_of(body, "operation_id"));
    change.pin = body.value("pin", json(false)) == json(true);
    change.who = request->who->name;
    change.founder = request->who->founder;
    if (!is_name(change.operation.text)) {
        refuse_change(it, *request, 400, 11, "operation_id must be 1 to 64 letters, digits, '-', '_' or '.'");
        return;
    }
    if (kind == change_kind::switch_preset && !is_name(change.name.text)) {
        refuse_change(it, *request, 400, 12, "name must be 1 to 64 letters, digits, '-', '_' or '.'");
        return;
    }
    const bool named = body.contains("expect_version") && body["expect_version"].is_number_unsigned();
    if (!named && kind == change_kind::switch_preset) {
        refuse_change(it, *request, 400, 13, "expect_version must be the version to replace, 0 for none");
        return;
    }
    change.expect = named ? document_version{body["expect_version"].get<std::uint64_t>()}
                          : version_of(it.board.documents, in_force_key);
    if (!has_majority(it.board, boot_clock::now())) {
        refuse_change(it, *request, 503, 14, "this VM is not in contact with a majority of the entry VMs");
        return;
    }
    change_preset(it, change, answer_with(it, request));
}

void start_drain(control& it, const request_ptr& request, const json& body) {
    const auto server = text_of(body, "server");
    const bool valid = is_name(server) && body.contains("draining") && body["draining"].is_boolean();
    if (!valid) {
        refuse_change(it, *request, 400, 15, "server and draining (true or false) are mandatory");
        return;
    }
    const bool draining = body["draining"].get<bool>();
    request->what += std::string(draining ? " drain " : " undrain ") + server;
    change_drain(it, server_id(server), draining, answer_with(it, request));
}

std::optional<document_version> expected_version(const std::string& target) {
    static const std::string name = "expect_version=";
    const auto at =
        target.find(name, target.find('?') == std::string::npos ? target.size() : target.find('?'));
    if (at == std::string::npos) {
        return document_version{};
    }
    document_version version;
    const char* first = target.data() + at + name.size();
    const char* last = target.data() + target.size();
    const auto [end, ec] = std::from_chars(first, last, version.value);
    return ec == std::errc{} && (end == last || *end == '&') ? std::optional(version) : std::nullopt;
}

void put_preset(control& it, const request_ptr& request, const std::string& name) {
    const auto expect = expected_version(request->exchange->target());
    const auto definition = parse_preset(request->body, "request");
    if (!expect || !is_name(name)) {
        refuse_change(it, *request, 400, 16, "name or expect_version is not valid");
        return;
    }
    if (!definition) {
        refuse_change(it, *request, 400, 17, definition.error().message);
        return;
    }
    if (definition->name.text != name) {
        refuse_change(it, *request, 400, 18, "the preset is named " + definition->name.text);
        return;
    }
    if (const auto fits = check_preset(*definition, it.board.config, "request"); !fits) {
        refuse_change(it, *request, 400, 19, fits.error().message);
        return;
    }
    store_definition(it, *definition, *expect, answer_with(it, request));
}

void handle_get(control& it, operator_request& request, const std::string& path) {
    const auto now = boot_clock::now();
    if (path == "/v1/status") {
        answer(request, 200, status_body(it.board, now));
    } else if (path == "/v1/presets") {
        answer(request, 200, presets_body(it.board));
    } else if (path == "/v1/servers") {
        answer(request, 200, servers_body(it.board));
    } else if (path == "/v1/entries") {
        answer(request, 200, entries_body(it.board, now));
    } else if (path == "/v1/kinds") {
        answer(request, 200, kinds_body(it.board, now));
    } else if (path == "/v1/audit") {
        answer(request, 200, audit_body(it.board));
    } else if (path.starts_with(presets_path)) {
        const auto body = preset_body(it.board, preset_name(path.substr(presets_path.size())));
        body ? answer(request, 200, *body) : refuse(request, 404, 20, "there is no such preset");
    } else {
        refuse(request, 404, 21, "there is no such resource");
    }
}

void handle_post(control& it, const request_ptr& request, const std::string& path) {
    const auto body = json::parse(request->body, nullptr, false);
    if (!body.is_object()) {
        refuse_change(it, *request, 400, 10, "the body must be a JSON object");
    } else if (path == "/v1/preset/switch") {
        request->what += ' ' + text_of(body, "name");
        start_change(it, request, body, change_kind::switch_preset);
    } else if (path == "/v1/preset/pin") {
        start_change(it, request, body, change_kind::pin);
    } else if (path == "/v1/preset/release") {
        start_change(it, request, body, change_kind::release);
    } else if (path == "/v1/drains") {
        start_drain(it, request, body);
    } else {
        refuse(*request, 404, 21, "there is no such resource");
    }
}

void handle_change(control& it, const request_ptr& request, const std::string& method,
                   const std::string& path) {
    if (it.board.stopping) {
        refuse_change(it, *request, 503, 22, "this VM is stopping");
    } else if (it.board.changes_in_progress >= max_changes_in_progress) {
        refuse_change(it, *request, 429, 23, "too many changes are in progress");
    } else if (method == "POST") {
        handle_post(it, request, path);
    } else if (method == "PUT" && path.starts_with(presets_path)) {
        put_preset(it, request, path.substr(presets_path.size()));
    } else {
        refuse(*request, 405, 24, "the method is not supported here");
    }
}

} // namespace detail

struct operator_api::state {
    explicit state(control& with) : it(with) {}
    control& it;
    std::map<http_exchange*, detail::request_ptr> requests;
    std::unique_ptr<http_server> server;

    void on_head(http_exchange& exchange) {
        auto request = std::make_shared<detail::operator_request>();
        request->exchange = &exchange;
        request->what = exchange.method() + ' ' + exchange.path().substr(0, 128);
        requests[&exchange] = request;
        if (exchange.path() == "/metrics") {
            return;
        }
        const auto* header = find_header(exchange.headers(), "Authorization");
        request->who = header == nullptr ? nullptr : find_operator(it.board.config.operators, *header);
        if (request->who == nullptr) {
            ++counter(it.board.counters, "operator_key_refusals_total");
            detail::refuse_change(it, *request, 401, 25, "a valid operator key is mandatory");
        } else if (exchange.content_length().value_or(0) > detail::max_body) {
            detail::refuse_change(it, *request, 413, 26, "the body is larger than 256 KB");
        }
    }
    void on_body(http_exchange& exchange, std::string_view data) {
        auto& request = *requests.at(&exchange);
        if (request.answered) {
            return;
        }
        if (request.body.size() + data.size() > detail::max_body) {
            detail::refuse_change(it, request, 413, 26, "the body is larger than 256 KB");
            return;
        }
        request.body += data;
    }
    void on_body_end(http_exchange& exchange) {
        const auto request = requests.at(&exchange);
        if (request->answered) {
            return;
        }
        const auto path = exchange.path();
        if (path == "/metrics") {
            detail::answer(*request, 200, metrics_body(it, boot_clock::now()), "text/plain; version=0.0.4");
        } else if (exchange.method() == "GET") {
            detail::handle_get(it, *request, path);
        } else {
            detail::handle_change(it, request, exchange.method(), path);
        }
    }
    void on_closed(http_exchange& exchange) {
        if (const auto found = requests.find(&exchange); found != requests.end()) {
            found->second->exchange = nullptr;
            requests.erase(found);
        }
    }
};

result<std::unique_ptr<operator_api>> operator_api::open(control& it) {
    auto created = std::make_unique<state>(it);
    auto* self = created.get();
    http_server::handlers handlers;
    handlers.on_head = [self](http_exchange& exchange) { self->on_head(exchange); };
    handlers.on_body = [self](http_exchange& exchange, std::string_view data) {
        self->on_body(exchange, data);
    };
    handlers.on_body_end = [self](http_exchange& exchange) { self->on_body_end(exchange); };
    handlers.on_writable = [](http_exchange&) {};
    handlers.on_closed = [self](http_exchange& exchange, bool) { self->on_closed(exchange); };
    http_server::options options;
    options.max_connections = detail::max_operator_connections;
    auto server = http_server::open(it.loop, it.board.config.operator_address, options, std::move(handlers));
    if (!server) {
        return tl::unexpected(server.error());
    }
    created->server = std::move(*server);
    return std::unique_ptr<operator_api>(new operator_api(std::move(created)));
}

operator_api::operator_api(std::unique_ptr<state> it) : m_state(std::move(it)) {}
operator_api::~operator_api() = default;

std::uint16_t operator_api::port() const {
    return m_state->server->port();
}

void operator_api::stop_accepting() {
    m_state->server->stop_accepting();
}

} // namespace endivelever
