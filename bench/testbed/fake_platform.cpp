#include "testbed/fake_platform.hpp"

#include "endivelever/net/http_server.hpp"
#include "testbed/delayed_calls.hpp"
#include "testbed/http_text.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

namespace endivelever::testbed {
namespace detail {

constexpr std::string_view objects_path = "/v1/objects/";
constexpr const char* vm_list_key = "vms";

/// One request until its connection closes.
struct platform_request {
    std::string body;
    std::string key;           ///< object watched, while `watching`
    bool vm_list = false;      ///< watches the VM list instead of an object
    bool watching = false;     ///< waits for a version above `seen`
    document_version seen;     ///< version that the watcher knows
    delayed_calls::id timer{}; ///< delay or end of the watch; 0 if none
};

} // namespace detail

struct fake_platform::state {
    explicit state(struct ev_loop* loop) : timers(loop) {}

    fake_store objects;
    fake_store vm_lists; ///< holds the VM list under `vm_list_key`
    fault_table faults;
    platform_counts counts;
    delayed_calls timers;
    std::unordered_map<http_exchange*, detail::platform_request> requests;
    std::unique_ptr<http_server> server;

    void on_body(http_exchange& exchange, std::string_view data);
    void on_request(http_exchange& exchange);
    void on_closed(http_exchange& exchange);
    void process(http_exchange& exchange, bool lose_answer);
    void process_get(http_exchange& exchange, const std::string& key, bool vm_list);
    void process_put(http_exchange& exchange, const std::string& key, bool lose_answer);
    void process_fake(http_exchange& exchange);
    void list(http_exchange& exchange);
    void count_request(const http_exchange& exchange);
    void start_watch(http_exchange& exchange, const std::string& key, bool vm_list, document_version seen);
    void end_watch(http_exchange& exchange);
    void wake(const std::string& key, bool vm_list);
    void fail_watches();
    void answer_object(http_exchange& exchange, const std::string& key, bool vm_list);
    const stored_object* find(const std::string& key, bool vm_list) const;
    void set_vms(std::string text, duration lag);
    void apply_fault(const fault_rule& rule);
};

void fake_platform::state::on_body(http_exchange& exchange, std::string_view data) {
    auto& body = requests[&exchange].body;
    if (body.size() <= max_object_size) {
        body.append(data);
    }
}

void fake_platform::state::on_closed(http_exchange& exchange) {
    const auto found = requests.find(&exchange);
    if (found != requests.end()) {
        timers.cancel(found->second.timer);
        requests.erase(found);
    }
}

void fake_platform::state::on_request(http_exchange& exchange) {
    auto& request = requests[&exchange];
    if (exchange.path().starts_with("/v1/fake/")) {
        process_fake(exchange);
        return;
    }
    count_request(exchange);
    const auto fault = take_fault(faults, exchange.path(), exchange.method() == "PUT");
    switch (fault.mode) {
    case fault_mode::silent:
        return;
    case fault_mode::outage:
        exchange.respond(503, {}, "outage\n");
        return;
    case fault_mode::slow:
        request.timer = timers.schedule(boot_clock::now() + fault.latency,
                                        [this, &exchange] { process(exchange, false); });
        return;
    case fault_mode::none:
    case fault_mode::lost_answer:
        process(exchange, fault.mode == fault_mode::lost_answer);
    }
}

void fake_platform::state::count_request(const http_exchange& exchange) {
    const auto path = exchange.path();
    const bool watch = query_value(exchange.target(), "watch").has_value();
    if (exchange.method() == "PUT") {
        ++counts.put;
    } else if (path == "/v1/vms") {
        ++(watch ? counts.vms_watch : counts.vms);
    } else if (path == "/v1/objects") {
        ++counts.list;
    } else {
        ++(watch ? counts.watch : counts.get);
    }
}

void fake_platform::state::process(http_exchange& exchange, bool lose_answer) {
    requests[&exchange].timer = 0;
    const auto path = exchange.path();
    const bool get = exchange.method() == "GET";
    if (get && path == "/v1/vms") {
        process_get(exchange, detail::vm_list_key, true);
        return;
    }
    if (get && path == "/v1/objects") {
        list(exchange);
        return;
    }
    const bool object = path.starts_with(detail::objects_path) && path.size() > detail::objects_path.size();
    if (object && get) {
        process_get(exchange, path.substr(detail::objects_path.size()), false);
    } else if (object && exchange.method() == "PUT") {
        process_put(exchange, path.substr(detail::objects_path.size()), lose_answer);
    } else {
        exchange.respond(404, {}, "no such resource\n");
    }
}

const stored_object* fake_platform::state::find(const std::string& key, bool vm_list) const {
    const auto& all = vm_list ? vm_lists.objects : objects.objects;
    const auto found = all.find(key);
    return found == all.end() ? nullptr : &found->second;
}

void fake_platform::state::answer_object(http_exchange& exchange, const std::string& key, bool vm_list) {
    const auto* object = find(key, vm_list);
    if (object == nullptr) {
        exchange.respond(404, {}, "no such object\n");
        return;
    }
    exchange.respond(200, {{"ETag", etag_of(object->version)}, {"Content-Type", "application/json"}},
                     object->payload);
}

void fake_platform::state::process_get(http_exchange& exchange, const std::string& key, bool vm_list) {
    const auto watch = query_value(exchange.target(), "watch");
    if (!watch) {
        answer_object(exchange, key, vm_list);
        return;
    }
    const auto seen = parse_number(*watch);
    if (!seen) {
        exchange.respond(400, {}, "watch is no version\n");
        return;
    }
    const auto* object = find(key, vm_list);
    if (object != nullptr && object->version.value > *seen) {
        answer_object(exchange, key, vm_list);
        return;
    }
    start_watch(exchange, key, vm_list, document_version{*seen});
}

void fake_platform::state::start_watch(http_exchange& exchange, const std::string& key, bool vm_list,
                                       document_version seen) {
    auto& request = requests[&exchange];
    request.key = key;
    request.vm_list = vm_list;
    request.seen = seen;
    request.watching = true;
    const auto wait = std::chrono::milliseconds(query_number(exchange.target(), "wait_ms", 0));
    request.timer = timers.schedule(boot_clock::now() + wait, [this, &exchange] { end_watch(exchange); });
}

void fake_platform::state::end_watch(http_exchange& exchange) {
    auto& request = requests[&exchange];
    request.timer = 0;
    request.watching = false;
    exchange.respond(304, {{"ETag", etag_of(request.seen)}}, "");
}

void fake_platform::state::wake(const std::string& key, bool vm_list) {
    std::vector<http_exchange*> woken;
    for (const auto& [exchange, request] : requests) {
        if (request.watching && request.vm_list == vm_list && request.key == key) {
            woken.push_back(exchange);
        }
    }
    for (auto* it : woken) {
        auto& request = requests[it];
        timers.cancel(request.timer);
        request.watching = false;
        answer_object(*it, key, vm_list);
    }
}

void fake_platform::state::fail_watches() {
    std::vector<http_exchange*> failed;
    for (const auto& [exchange, request] : requests) {
        if (request.watching && in_outage(faults, exchange->path())) {
            failed.push_back(exchange);
        }
    }
    for (auto* it : failed) {
        auto& request = requests[it];
        timers.cancel(request.timer);
        request.watching = false;
        it->respond(503, {}, "outage\n");
    }
}

void fake_platform::state::process_put(http_exchange& exchange, const std::string& key, bool lose_answer) {
    const auto* match = find_header(exchange.headers(), "If-Match");
    const auto* none_match = find_header(exchange.headers(), "If-None-Match");
    const bool must_be_absent = none_match != nullptr && *none_match == "*";
    const auto version = match == nullptr ? std::nullopt : parse_etag(*match);
    if (must_be_absent == version.has_value()) {
        exchange.respond(400, {}, "one of If-Match \"<version>\" and If-None-Match * is needed\n");
        return;
    }
    auto& body = requests[&exchange].body;
    if (body.size() > max_object_size) {
        exchange.respond(413, {}, "object is larger than 1 MB\n");
        return;
    }
    const auto outcome = put(objects, key, {version}, std::move(body));
    if (outcome.accepted) {
        wake(key, false);
    }
    if (lose_answer) {
        exchange.abort();
        return;
    }
    exchange.respond(outcome.accepted ? 200 : 412, {{"ETag", etag_of(outcome.version)}}, "");
}

void fake_platform::state::list(http_exchange& exchange) {
    const auto prefix = query_value(exchange.target(), "prefix").value_or("");
    auto answer = nlohmann::json::array();
    for (const auto& [key, object] : objects.objects) {
        if (key.starts_with(prefix)) {
            answer.push_back({{"key", key}, {"version", object.version.value}});
        }
    }
    exchange.respond(200, {{"Content-Type", "application/json"}}, answer.dump());
}

void fake_platform::state::process_fake(http_exchange& exchange) {
    const auto path = exchange.path();
    auto& body = requests[&exchange].body;
    if (path == "/v1/fake/vms" && exchange.method() == "PUT") {
        set_vms(body, std::chrono::milliseconds(query_number(exchange.target(), "lag_ms", 0)));
        exchange.respond(204, {}, "");
    } else if (path == "/v1/fake/faults" && exchange.method() == "POST") {
        const auto rule = parse_fault(body);
        if (rule) {
            apply_fault(*rule);
        }
        exchange.respond(rule ? 204 : 400, {}, rule ? "" : rule.error().message + "\n");
    } else if (path == "/v1/fake/counts" && exchange.method() == "GET") {
        const nlohmann::json answer{{"get", counts.get}, {"watch", counts.watch},
                                    {"put", counts.put}, {"list", counts.list},
                                    {"vms", counts.vms}, {"vms_watch", counts.vms_watch}};
        exchange.respond(200, {{"Content-Type", "application/json"}}, answer.dump());
    } else {
        exchange.respond(404, {}, "no such resource\n");
    }
}

void fake_platform::state::set_vms(std::string text, duration lag) {
    const auto apply = [this](std::string list) {
        auto& object = vm_lists.objects[detail::vm_list_key];
        ++object.version.value;
        object.payload = std::move(list);
        wake(detail::vm_list_key, true);
    };
    if (lag == duration::zero()) {
        apply(std::move(text));
    } else {
        timers.schedule(boot_clock::now() + lag, [apply, text] { apply(text); });
    }
}

void fake_platform::state::apply_fault(const fault_rule& rule) {
    set_fault(faults, rule);
    fail_watches();
}

fake_platform::fake_platform(std::unique_ptr<state> it) : m_state(std::move(it)) {}
fake_platform::~fake_platform() {
    m_state->server.reset();
}

result<std::unique_ptr<fake_platform>> fake_platform::open(struct ev_loop* loop,
                                                           const socket_address& address) {
    auto it = std::make_unique<state>(loop);
    auto* raw = it.get();
    const http_server::handlers callbacks{
        .on_head = [raw](http_exchange& exchange) { raw->requests[&exchange] = {}; },
        .on_body = [raw](http_exchange& exchange, std::string_view data) { raw->on_body(exchange, data); },
        .on_body_end = [raw](http_exchange& exchange) { raw->on_request(exchange); },
        .on_writable = [](http_exchange&) {},
        .on_closed = [raw](http_exchange& exchange, bool) { raw->on_closed(exchange); }};
    auto server = http_server::open(loop, address, {}, callbacks);
    if (!server) {
        return tl::unexpected<error>(server.error());
    }
    it->server = std::move(*server);
    return std::unique_ptr<fake_platform>(new fake_platform(std::move(it)));
}

std::uint16_t fake_platform::port() const {
    return m_state->server->port();
}

const fake_store& fake_platform::store() const {
    return m_state->objects;
}

const platform_counts& fake_platform::counts() const {
    return m_state->counts;
}

document_version fake_platform::set_object(const std::string& key, std::string payload) {
    auto& object = m_state->objects.objects[key];
    ++object.version.value;
    object.payload = std::move(payload);
    const auto version = object.version;
    m_state->wake(key, false);
    return version;
}

void fake_platform::set_vms(std::string text, duration lag) {
    m_state->set_vms(std::move(text), lag);
}

void fake_platform::apply_fault(const fault_rule& rule) {
    m_state->apply_fault(rule);
}

} // namespace endivelever::testbed
