#include "testbed/fake_server.hpp"

#include "testbed/http_text.hpp"

#include <algorithm>

namespace endivelever::testbed::detail {
namespace {

constexpr std::uint64_t default_body_size = 128;
constexpr std::size_t stream_block = 1U << 16U;
constexpr const char* load_path = "/.well-known/load";

std::optional<time_point> deadline_of(const http_exchange& exchange, time_point now) {
    const auto* text = find_header(exchange.headers(), "Endivelever-Deadline-Ms");
    const auto number = text == nullptr ? std::nullopt : parse_number(*text);
    return number ? std::optional(now + std::chrono::milliseconds(*number)) : std::nullopt;
}

std::string header_or(const http_exchange& exchange, const char* name, const std::string& fallback) {
    const auto* value = find_header(exchange.headers(), name);
    return value == nullptr ? fallback : *value;
}

} // namespace

fake_server::fake_server(server_farm& farm, const fake_server_spec& spec) : m_farm(farm), m_spec(spec) {
    m_model.behaviour = spec.behaviour;
}

result<std::unique_ptr<fake_server>> fake_server::open(server_farm& farm, const fake_server_spec& spec) {
    std::unique_ptr<fake_server> it(new fake_server(farm, spec));
    const auto listening = it->listen();
    if (!listening) {
        return tl::unexpected<error>(listening.error());
    }
    return it;
}

result<void> fake_server::listen() {
    auto listener = std::make_unique<server_listener>();
    const http_server::options opts{.max_connections = m_spec.connections};
    auto server = http_server::open(m_farm.loop, m_spec.address, opts, handlers_for(*listener));
    if (!server) {
        return tl::unexpected<error>(server.error());
    }
    const auto& text = m_spec.address.text;
    const auto host = text.substr(0, text.rfind(':'));
    m_spec.address = socket_address(host + ":" + std::to_string((*server)->port()));
    listener->server = std::move(*server);
    m_listeners.push_back(std::move(listener));
    return {};
}

http_server::handlers fake_server::handlers_for(server_listener& listener) {
    auto* it = &listener;
    return {.on_head = [this, it](http_exchange& exchange) { on_head(exchange, *it); },
            .on_body = [](http_exchange&, std::string_view) {},
            .on_body_end =
                [this, it](http_exchange& exchange) {
                    if (!it->silent) {
                        on_request(exchange);
                    }
                },
            .on_writable = [this](http_exchange& exchange) { fill(exchange); },
            .on_closed = [this](http_exchange& exchange, bool) { on_closed(exchange); }};
}

fake_server_info fake_server::info() const {
    return {m_spec.id,      m_spec.service,          m_spec.failure_domain,
            m_spec.address, m_model.behaviour.slots, m_spec.connections};
}

result<void> fake_server::silence_connections() {
    if (m_listeners.empty()) {
        return {};
    }
    auto& current = *m_listeners.back();
    current.silent = true;
    current.server->stop_accepting();
    return listen();
}

result<void> fake_server::set_closed(bool closed) {
    if (closed) {
        m_listeners.clear();
        m_calls.clear();
        m_exchanges.clear();
        return {};
    }
    return m_listeners.empty() ? listen() : result<void>{};
}

void fake_server::on_head(http_exchange& exchange, const server_listener& listener) {
    open_call call;
    call.listener = &listener;
    call.number = ++m_last_number;
    call.pattern = pattern_of(exchange.target());
    call.body_size = query_number(exchange.target(), "size", default_body_size);
    m_calls[&exchange] = call;
}

void fake_server::on_request(http_exchange& exchange) {
    if (exchange.path() == load_path) {
        ++m_model.counts.probes;
        exchange.respond(200, headers(false), "");
        return;
    }
    const auto now = boot_clock::now();
    const auto number = m_calls[&exchange].number;
    m_exchanges[number] = &exchange;
    m_ledger_keys[number] = header_or(exchange, "Idempotency-Key", exchange.target());
    const offered_call call{number, header_or(exchange, "Endivelever-Kind", ""), deadline_of(exchange, now)};
    apply(submit(m_model, call, now, m_farm.random));
}

/// @return the exchange of a call, or nullptr if its connection is closed or silent
http_exchange* fake_server::answerable(std::uint64_t number) {
    const auto found = m_exchanges.find(number);
    if (found == m_exchanges.end() || m_calls[found->second].listener->silent) {
        return nullptr;
    }
    return found->second;
}

void fake_server::apply(const call_step& step) {
    if (step.effect == arrival::started) {
        start_run(step);
        return;
    }
    if (step.effect == arrival::queued) {
        return;
    }
    m_ledger_keys.erase(step.number);
    auto* exchange = answerable(step.number);
    if (exchange == nullptr) {
        return;
    }
    const bool failed = step.effect == arrival::failed;
    const unsigned refusal = step.effect == arrival::expired ? 504 : 503;
    exchange->respond(failed ? m_model.behaviour.fail_status : refusal, headers(failed), "not served\n");
}

void fake_server::start_run(const call_step& step) {
    const auto key = m_ledger_keys.extract(step.number);
    if (!key.empty()) {
        ++m_farm.ledger[key.mapped()];
    }
    m_farm.timers.schedule(boot_clock::now() + step.service,
                           [this, number = step.number] { end_run(number); });
}

void fake_server::end_run(std::uint64_t number) {
    const auto next = finish(m_model, number, boot_clock::now(), m_farm.random);
    if (auto* exchange = answerable(number)) {
        respond_body(*exchange);
    }
    for (const auto& it : next) {
        apply(it);
    }
}

void fake_server::respond_body(http_exchange& exchange) {
    const auto& call = m_calls[&exchange];
    if (call.body_size <= stream_block) {
        std::string body;
        append_bytes(call.pattern, 0, call.body_size, body);
        exchange.respond(200, headers(true), std::move(body));
        return;
    }
    exchange.begin_response(200, headers(true), call.body_size);
    fill(exchange);
}

void fake_server::fill(http_exchange& exchange) {
    const auto found = m_calls.find(&exchange);
    if (found == m_calls.end()) {
        return;
    }
    auto& call = found->second;
    std::string block;
    while (call.body_sent < call.body_size && exchange.writable_bytes() > 0) {
        const auto left = call.body_size - call.body_sent;
        const auto size = std::min<std::uint64_t>(left, std::min(stream_block, exchange.writable_bytes()));
        block.clear();
        append_bytes(call.pattern, call.body_sent, size, block);
        call.body_sent += size;
        exchange.write(block);
        if (call.body_sent == call.body_size) {
            exchange.finish();
        }
    }
}

void fake_server::on_closed(http_exchange& exchange) {
    const auto found = m_calls.find(&exchange);
    if (found == m_calls.end()) {
        return;
    }
    const auto number = found->second.number;
    if (cancel(m_model, number)) {
        m_ledger_keys.erase(number);
    }
    m_exchanges.erase(number);
    m_calls.erase(found);
}

http_headers fake_server::headers(bool ran) {
    http_headers result;
    if (!ran) {
        result.push_back({"Endivelever-Ran", "no"});
    }
    const auto report = load_report(m_model, boot_clock::now());
    if (!report.empty()) {
        result.push_back({"Endivelever-Load", report});
    }
    return result;
}

} // namespace endivelever::testbed::detail
