#include "fakes/fake_target.hpp"

namespace endivelever::http_test {

fake_target::fake_target(struct ev_loop* loop, std::string id) : m_loop(loop), m_id(std::move(id)) {
    http_server::handlers handlers;
    handlers.on_head = [](http_exchange& /*exchange*/) {};
    handlers.on_body = [this](http_exchange& exchange, std::string_view data) {
        m_received[&exchange].append(data);
    };
    handlers.on_body_end = [this](http_exchange& exchange) { answer(exchange); };
    handlers.on_closed = [this](http_exchange& exchange, bool completed) {
        m_received.erase(&exchange);
        const auto found = m_open.find(&exchange);
        if (found != m_open.end() && !completed) {
            left.push_back(found->second);
        }
        m_open.erase(&exchange);
    };
    m_server = std::move(*http_server::open(loop, socket_address("127.0.0.1:0"), {}, std::move(handlers)));
}

socket_address fake_target::address() const {
    return socket_address("127.0.0.1:" + std::to_string(m_server->port()));
}

nlohmann::json fake_target::entry(const std::string& service, const std::string& state) const {
    return {{"service", service},       {"address", address().text},
            {"zone", "zone-a"},         {"version", "v1"},
            {"concurrency_limit", 4},   {"state", state},
            {"warmup_remaining_ms", 0}, {"sequence", 1},
            {"born", 1700000000000}};
}

void fake_target::answer(http_exchange& exchange) {
    http_headers headers{{"X-Instance-Id", m_id}, {"X-Instance-Load", load}};
    const bool is_probe = exchange.path() == "/health";
    if (!is_probe || directives_in_probes) {
        headers.insert(headers.end(), directives.begin(), directives.end());
    }
    if (is_probe) {
        ++probes;
        exchange.respond(200, headers, "");
        return;
    }
    const auto* id = find_header(exchange.headers(), "X-Request-Id");
    if (id == nullptr) {
        exchange.respond(400, {{"X-Not-Executed", "1"}}, "");
        return;
    }
    arrivals.push_back(boot_clock::now());
    received_heads.push_back(exchange.headers());
    const auto* expected = find_header(exchange.headers(), "X-Expect-Instance");
    if (expected != nullptr && *expected != m_id) {
        headers.push_back({"X-Request-Id", *id});
        headers.push_back({"X-Not-Executed", "1"});
        exchange.respond(421, headers, "");
        return;
    }
    if (behaviour == manner::misdirects) {
        headers = {{"X-Request-Id", *id}, {"X-Not-Executed", "1"}};
        if (!misdirected_by.empty()) {
            headers.push_back({"X-Instance-Id", misdirected_by});
        }
        exchange.respond(421, headers, "");
        return;
    }
    if (behaviour == manner::sheds) {
        headers.push_back({"X-Request-Id", *id});
        headers.push_back({"X-Not-Executed", "1"});
        exchange.respond(503, headers, "");
        return;
    }
    ran.push_back(*id);
    ran_at.push_back(boot_clock::now());
    heads[*id] = exchange.headers();
    bodies[*id] = m_received[&exchange];
    m_open[&exchange] = *id;
    headers.push_back({"X-Request-Id", behaviour == manner::wrong_id ? "other" : *id});
    headers.push_back({"X-Response-Signature", "sig-" + *id});
    switch (behaviour) {
    case manner::hangs:
        return;
    case manner::breaks:
        exchange.abort();
        return;
    case manner::errors:
        exchange.respond(500, headers, "failed");
        return;
    case manner::denies:
        exchange.respond(503, headers, "failed");
        return;
    case manner::sheds_without_id:
        exchange.respond(503, {{"X-Instance-Id", m_id}, {"X-Not-Executed", "1"}}, "");
        return;
    case manner::without_id:
        exchange.respond(200, {{"X-Instance-Id", m_id}, {"X-Instance-Load", load}}, "");
        return;
    case manner::truncates:
        exchange.begin_response(200, headers, body.size() + 10);
        exchange.write(body);
        exchange.finish();
        return;
    default:
        answer_later(exchange, std::move(headers));
    }
}

void fake_target::answer_later(http_exchange& exchange, http_headers headers) {
    if (work_time <= duration::zero()) {
        exchange.respond(200, headers, body);
        return;
    }
    const auto id = m_open.at(&exchange);
    m_timers.push_back(std::make_unique<timer>(m_loop, [this, id, &exchange, headers = std::move(headers)] {
        const auto found = m_open.find(&exchange);
        if (found != m_open.end() && found->second == id) {
            exchange.respond(200, headers, body);
        }
    }));
    m_timers.back()->start(work_time);
}

} // namespace endivelever::http_test
