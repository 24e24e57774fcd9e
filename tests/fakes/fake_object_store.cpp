#include "fakes/fake_object_store.hpp"

#include <algorithm>
#include <curl/curl.h>
#include <sstream>

namespace endivelever::http_test {
namespace {

using nlohmann::json;

constexpr std::string_view path_prefix = "/api/objects/";
constexpr std::size_t max_target_bytes = 8000;

/// Request target of a call, percent-decoded.
struct store_target {
    std::string kind;
    std::string name; ///< empty if the call is for the kind
    std::map<std::string, std::string> query;
};

std::string percent_decode(const std::string& text) {
    int n = 0;
    const std::unique_ptr<char, decltype(&curl_free)> decoded(
        curl_easy_unescape(nullptr, text.c_str(), static_cast<int>(text.size()), &n), &curl_free);
    return {decoded.get(), static_cast<std::size_t>(n)};
}

bool is_valid_target(std::string_view target) {
    constexpr std::string_view allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789"
                                         "-._~!$&'()*+,;=:@/?%";
    return target.size() <= max_target_bytes && target.starts_with(path_prefix) &&
           target.find_first_not_of(allowed) == std::string_view::npos;
}

/// Values of forms may write a blank as "+".
std::string form_value(std::string text) {
    std::replace(text.begin(), text.end(), '+', ' ');
    return percent_decode(text);
}

store_target parse_target(const std::string& target) {
    const auto path_end = std::min(target.find('?'), target.size());
    const auto path = target.substr(path_prefix.size(), path_end - path_prefix.size());
    const auto kind_end = std::min(path.find('/'), path.size());
    store_target out;
    out.kind = path.substr(0, kind_end);
    out.name = kind_end == path.size() ? "" : percent_decode(path.substr(kind_end + 1));
    std::istringstream query(target.substr(std::min(path_end + 1, target.size())));
    for (std::string part; std::getline(query, part, '&');) {
        const auto at = std::min(part.find('='), part.size());
        out.query[part.substr(0, at)] = form_value(part.substr(std::min(at + 1, part.size())));
    }
    return out;
}

} // namespace

fake_object_store::fake_object_store(struct ev_loop* loop, std::size_t objects_per_page)
    : page_size(objects_per_page) {
    http_server::handlers handlers;
    handlers.on_head = [](http_exchange& /*exchange*/) {};
    handlers.on_body = [this](http_exchange& exchange, std::string_view data) {
        m_bodies[&exchange].append(data);
    };
    handlers.on_body_end = [this](http_exchange& exchange) { answer(exchange, m_bodies[&exchange]); };
    handlers.on_closed = [this](http_exchange& exchange, bool) {
        m_bodies.erase(&exchange);
        std::erase_if(m_waiting, [&exchange](const waiting_watch& it) { return it.exchange == &exchange; });
    };
    m_server = std::move(*http_server::open(loop, socket_address("127.0.0.1:0"), {}, std::move(handlers)));
}

socket_address fake_object_store::address() const {
    return socket_address("127.0.0.1:" + std::to_string(m_server->port()));
}

bool fake_object_store::has(const std::string& kind, const std::string& name) const {
    const auto found = m_objects.find(kind);
    return found != m_objects.end() && found->second.contains(name);
}

void fake_object_store::put(const std::string& kind, const std::string& name, const json& spec) {
    ++m_revision;
    json object{
        {"metadata", {{"name", name}, {"revision", m_revision}}}, {"spec", spec}, {"status", nullptr}};
    m_objects[kind][name] = object;
    note_change(kind, object, false);
}

void fake_object_store::remove(const std::string& kind, const std::string& name) {
    ++m_revision;
    const auto object = m_objects[kind][name];
    m_objects[kind].erase(name);
    note_change(kind, object, true);
}

void fake_object_store::forget_history() {
    m_history.clear();
    m_history_begin = m_revision;
}

void fake_object_store::cut_watches() {
    const auto cut = std::exchange(m_waiting, {});
    for (const auto& it : cut) {
        it.exchange->abort();
    }
}

void fake_object_store::note_change(const std::string& kind, const json& object, bool deleted) {
    m_history.push_back({m_revision, kind, {{"object", object}, {"deleted", deleted}}});
    if (behaviour != manner::serves) {
        return;
    }
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto& it : waiting) {
        if (!answer_changes(it)) {
            m_waiting.push_back(it);
        }
    }
}

void fake_object_store::restore() {
    m_revision = m_copy.revision;
    m_history_begin = m_copy.history_begin;
    m_objects = m_copy.objects;
    m_history = m_copy.history;
    ++era;
    cut_watches();
}

void fake_object_store::respond(http_exchange& exchange, unsigned status, std::string body) const {
    http_headers headers;
    if (era != 0) {
        headers.push_back({"Store-Era", std::to_string(era)});
    }
    exchange.respond(status, headers, std::move(body));
}

void fake_object_store::answer(http_exchange& exchange, const std::string& body) {
    switch (behaviour) {
    case manner::refuses:
        respond(exchange, 503, "busy");
        return;
    case manner::limits:
        respond(exchange, 429, "too many");
        return;
    case manner::closes:
        exchange.abort();
        return;
    case manner::silent:
        return;
    case manner::serves:
        break;
    }
    if (!is_valid_target(exchange.target())) {
        ++invalid_targets;
        respond(exchange, 400, "request target is not valid");
        return;
    }
    auto target = parse_target(exchange.target());
    if (!silent_kind.empty() && target.kind == silent_kind) {
        return;
    }
    if (exchange.method() != "GET") {
        answer_write(exchange, target.kind, body);
    } else if (const auto& since = target.query["watch"]; !since.empty()) {
        answer_watch(exchange, target.kind, std::stoull(since), target.query["wait_ms"] != "1");
    } else if (!target.name.empty()) {
        answer_get(exchange, target.kind, target.name);
    } else {
        answer_list(exchange, target.kind, target.query["after"]);
    }
}

void fake_object_store::answer_get(http_exchange& exchange, const std::string& kind,
                                   const std::string& name) {
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end()) {
        respond(exchange, 404, "{}");
    } else {
        respond(exchange, 200, found->second.dump());
    }
}

void fake_object_store::answer_list(http_exchange& exchange, const std::string& kind,
                                    const std::string& after) {
    ++lists;
    json items = json::array();
    bool truncated = false;
    for (const auto& it : m_objects[kind]) {
        if (!repeats_pages && it.first <= after) {
            continue;
        }
        if (items.size() == page_size) {
            truncated = true;
            break;
        }
        items.push_back(it.second);
    }
    respond(exchange, 200,
            json{{"items", items}, {"truncated", truncated}, {"store_revision", m_revision}}.dump());
}

void fake_object_store::answer_watch(http_exchange& exchange, const std::string& kind, std::uint64_t since,
                                     bool waits) {
    watches += waits ? 1 : 0;
    if (since < m_history_begin || since > m_revision) {
        respond(exchange, 410, "gone");
        return;
    }
    const waiting_watch it{&exchange, kind, since};
    if (answer_changes(it)) {
        return;
    }
    if (waits) {
        m_waiting.push_back(it);
    } else {
        respond(exchange, 200, json{{"events", json::array()}, {"store_revision", m_revision}}.dump());
    }
}

bool fake_object_store::answer_changes(const waiting_watch& it) {
    json events = json::array();
    for (const auto& entry : m_history) {
        if (entry.kind == it.kind && entry.revision > it.since) {
            events.push_back(entry.event);
        }
    }
    if (events.empty()) {
        return false;
    }
    respond(*it.exchange, 200, json{{"events", events}, {"store_revision", m_revision}}.dump());
    return true;
}

void fake_object_store::answer_write(http_exchange& exchange, const std::string& kind,
                                     const std::string& body) {
    ++writes;
    const auto object = json::parse(body);
    const auto name = object.at("metadata").at("name").get<std::string>();
    if (exchange.method() == "POST" && has(kind, name)) {
        respond(exchange, 409, m_objects[kind][name].dump());
        return;
    }
    const auto expected = object.at("metadata").find("revision");
    if (exchange.method() == "PUT" && expected != object.at("metadata").end()) {
        if (!has(kind, name)) {
            respond(exchange, 404, "{}");
            return;
        }
        if (m_objects[kind][name].at("metadata").at("revision") != *expected) {
            respond(exchange, 409, m_objects[kind][name].dump());
            return;
        }
    }
    put(kind, name, object.at("spec"));
    if (lost_writes > 0) {
        --lost_writes;
        exchange.abort();
        return;
    }
    respond(exchange, 200, m_objects[kind][name].dump());
}

} // namespace endivelever::http_test
