#include "endivelever/store/store_client.hpp"

#include "endivelever/net/percent_encoding.hpp"

#include <utility>

namespace endivelever {
namespace detail {

constexpr std::uint32_t max_store_connections = 16;
constexpr byte_count max_reply_size{(1U << 20U) + 4096U}; // largest object of the store plus headers

/// Encodes each segment of a key; slashes separate segments and stay as they are.
std::string encode_key(std::string_view key) {
    std::string encoded;
    for (auto slash = key.find('/'); slash != std::string_view::npos; slash = key.find('/')) {
        encoded += percent_encode(key.substr(0, slash)) + '/';
        key.remove_prefix(slash + 1);
    }
    return encoded + percent_encode(key);
}

std::string target_path(const document_key& key) {
    return key.text == "vm-list" ? "/v1/vms" : "/v1/objects/" + encode_key(key.text);
}

std::string make_etag(document_version version) {
    return '"' + std::to_string(version.value) + '"';
}

long long whole_milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace detail

store_client::store_client(struct ev_loop* loop, socket_address platform, const store_limits& limits)
    : m_platform(std::move(platform)), m_limits(limits),
      m_refusal_timer(loop, [this] { complete_refused(); }), m_client(loop, detail::max_store_connections) {
    m_background_budget.calls_per_second = limits.background_calls_per_second;
    m_change_budget.calls_per_second = limits.change_calls_per_second;
}

void store_client::read(const document_key& key, store_purpose purpose, handler on_done) {
    http_request request;
    request.target = detail::target_path(key);
    request.timeout = m_limits.read_deadline;
    send(std::move(request), purpose,
         [started = boot_clock::now(), done = count_outcome(std::move(on_done))](const http_reply& reply) {
             auto answer = classify_read_reply(reply);
             answer.started = started;
             done(answer);
         });
}

void store_client::watch(const document_key& key, document_version known, duration wait, handler on_done) {
    http_request request;
    request.target = detail::target_path(key) + "?watch=" + std::to_string(known.value) +
                     "&wait_ms=" + std::to_string(detail::whole_milliseconds(wait));
    request.timeout = wait + m_limits.watch_margin;
    send(std::move(request), store_purpose::background,
         [started = boot_clock::now(), done = count_outcome(std::move(on_done))](const http_reply& reply) {
             auto answer = classify_read_reply(reply);
             answer.started = started;
             done(answer);
         });
}

void store_client::write(const document_key& key, std::string payload, document_version expected,
                         handler on_done) {
    http_request request;
    request.method = "PUT";
    request.target = detail::target_path(key);
    request.headers.push_back(expected.value == 0 ? http_header{"If-None-Match", "*"}
                                                  : http_header{"If-Match", detail::make_etag(expected)});
    request.headers.push_back({"Content-Type", "application/json"});
    request.has_body = true;
    request.content_length = payload.size();
    request.body = std::move(payload);
    request.timeout = m_limits.write_deadline;
    send(std::move(request), store_purpose::change,
         [started = boot_clock::now(), done = count_outcome(std::move(on_done))](const http_reply& reply) {
             auto answer = classify_write_reply(reply);
             answer.started = started;
             done(answer);
         });
}

void store_client::list(const std::string& prefix, list_handler on_done) {
    http_request request;
    request.target = "/v1/objects?prefix=" + prefix;
    request.timeout = m_limits.read_deadline;
    send(std::move(request), store_purpose::background,
         [done = std::move(on_done)](const http_reply& reply) { done(classify_list_reply(reply)); });
}

void store_client::send(http_request request, store_purpose purpose, reply_handler on_done) {
    auto& budget = purpose == store_purpose::change ? m_change_budget : m_background_budget;
    if (!try_take_call(budget, boot_clock::now())) {
        refuse(std::move(on_done));
        return;
    }
    ++m_counts.calls;
    request.address = m_platform;
    fetch(m_client, std::move(request), detail::max_reply_size, std::move(on_done));
}

void store_client::refuse(reply_handler on_done) {
    ++m_counts.over_budget;
    m_refused.push_back(std::move(on_done));
    m_refusal_timer.start(duration::zero());
}

void store_client::complete_refused() {
    http_reply reply;
    reply.result.failure = transfer_failure::other;
    reply.result.detail = "limit of calls per second exceeded";
    for (auto refused = std::exchange(m_refused, {}); !refused.empty(); refused.pop_front()) {
        refused.front()(reply);
    }
}

store_client::handler store_client::count_outcome(handler on_done) {
    return [this, done = std::move(on_done)](const store_answer& answer) {
        m_counts.unavailable += answer.status == store_status::unavailable ? 1 : 0;
        m_counts.unknown += answer.status == store_status::unknown ? 1 : 0;
        done(answer);
    };
}

} // namespace endivelever
