#include "testbed/caller.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace endivelever::testbed {
namespace detail {

constexpr const char* addresses_path = "/.well-known/endivelever/addresses";
constexpr std::size_t address_attempts = 5;
constexpr byte_count max_answer{1U << 16U};
constexpr duration answer_timeout = std::chrono::milliseconds(500);

} // namespace detail

std::vector<answered_address> parse_address_answer(const std::string& text, duration& keep) {
    std::vector<answered_address> addresses;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("addresses")) {
        return addresses;
    }
    keep = std::chrono::milliseconds(json.value("keep_ms", 0));
    for (const auto& it : json.at("addresses")) {
        addresses.push_back({socket_address(it.value("address", "")), it.value("call_id_prefix", "")});
    }
    return addresses;
}

caller::caller(struct ev_loop* loop, const std::vector<socket_address>& entries, random_source& random,
               counts& shared)
    : m_client(loop, 0), m_entries(entries), m_random(random), m_counts(shared) {}

void caller::with_addresses(std::function<void(const std::vector<answered_address>&)> use) {
    const bool too_old = boot_clock::now() >= m_keep_until;
    const bool none = m_addresses.empty();
    if ((too_old || none) && !m_asking) {
        m_asking = true;
        ask(detail::address_attempts);
    }
    if (none) {
        m_waiting.push_back(std::move(use));
    } else {
        use(m_addresses);
    }
}

void caller::ask(std::size_t attempts_left) {
    ++m_counts.address_requests;
    const auto picked = random_below(m_random, static_cast<std::uint32_t>(m_entries.size()));
    http_request request;
    request.address = m_entries[picked];
    request.target = detail::addresses_path;
    request.timeout = detail::answer_timeout;
    request.connect_timeout = detail::answer_timeout;
    fetch(m_client, std::move(request), detail::max_answer,
          [this, attempts_left](const http_reply& reply) { on_answer(reply, attempts_left - 1); });
}

void caller::on_answer(const http_reply& reply, std::size_t attempts_left) {
    duration keep{};
    auto addresses = reply.result.failure == transfer_failure::none && reply.result.status == 200
                         ? parse_address_answer(reply.body, keep)
                         : std::vector<answered_address>();
    if (!addresses.empty()) {
        m_addresses = std::move(addresses);
        m_keep_until = boot_clock::now() + keep;
    } else {
        ++m_counts.address_failures;
        if (attempts_left > 0) {
            ask(attempts_left);
            return;
        }
    }
    m_asking = false;
    release_waiting();
}

void caller::release_waiting() {
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto& it : waiting) {
        it(m_addresses);
    }
}

void caller::note_unreachable(const socket_address& address) {
    const auto first = std::stable_partition(m_addresses.begin(), m_addresses.end(),
                                             [&address](const auto& it) { return it.address != address; });
    if (first != m_addresses.end()) {
        m_keep_until = {};
    }
}

} // namespace endivelever::testbed
