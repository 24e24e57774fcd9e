#include "endivelever/store/object_reflector.hpp"

#include <algorithm>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr duration first_back_off = 100ms;
// Outages last seconds; a longer pause would delay the return more than the calls cost.
constexpr duration longest_back_off = 800ms;
constexpr duration list_deadline = 1000ms;
// A watch costs one call however long it waits; the store allows 30 s.
constexpr duration watch_wait = 25s;
constexpr duration watch_margin = 2s;
// Changes come in groups, such as the reports of servers that warm up; waiting this long before the next
// watch takes them in one call. The first change after a pause is told at once.
constexpr duration change_gap = 400ms;
constexpr duration keep_alive_interval = 1s;
constexpr byte_count max_reply{16UL << 20U};
constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;

} // namespace

object_reflector::object_reflector(object_store_access& access, object_kind kind, handlers callbacks)
    : m_access(access), m_kind(std::move(kind)), m_callbacks(std::move(callbacks)),
      m_next_call(access.loop, [this] { m_has_list ? watch() : list_next_page(); }),
      m_back_off(first_back_off) {
    m_next_call.start(duration::zero());
}

object_reflector::~object_reflector() {
    if (m_call) {
        m_access.client->cancel(*m_call);
    }
}

void object_reflector::list_again() {
    if (m_call) {
        m_access.client->cancel(*m_call);
        m_call.reset();
    }
    m_has_list = false;
    m_listed.clear();
    m_next_call.start(duration::zero());
}

void object_reflector::send(http_request request, void (object_reflector::*on_reply)(const http_reply&)) {
    ++m_access.counts.calls;
    request.keep_alive_interval = keep_alive_interval;
    m_call =
        fetch(*m_access.client, std::move(request), max_reply, [this, on_reply](const http_reply& reply) {
            m_call.reset();
            if (reply.end.failure != transfer_failure::none) {
                fail_call(reply.end.detail);
            } else {
                (this->*on_reply)(reply);
            }
        });
}

void object_reflector::list_next_page() {
    auto request = m_access.protocol.list(m_kind, m_listed.empty() ? "" : m_listed.back().name);
    request.timeout = list_deadline;
    ++m_access.counts.lists;
    send(std::move(request), &object_reflector::take_page);
}

void object_reflector::watch() {
    auto request = m_access.protocol.watch(m_kind, m_revision, watch_wait);
    request.timeout = watch_wait + watch_margin;
    send(std::move(request), &object_reflector::take_changes);
}

void object_reflector::take_page(const http_reply& reply) {
    if (reply.end.status != status_ok) {
        fail_call("status " + std::to_string(reply.end.status));
        return;
    }
    auto page = m_access.protocol.parse_page(reply.body);
    if (!page) {
        fail_call(page.error().message);
        return;
    }
    if (m_listed.empty()) {
        // Changes that happen between two pages are seen again by the watch that follows.
        m_list_revision = page->revision;
    }
    std::move(page->objects.begin(), page->objects.end(), std::back_inserter(m_listed));
    m_callbacks.on_answer();
    if (page->more && !page->objects.empty()) {
        m_next_call.start(duration::zero());
        return;
    }
    m_has_list = true;
    m_back_off = first_back_off;
    m_revision = m_list_revision;
    const auto listed = std::exchange(m_listed, {});
    m_next_call.start(duration::zero());
    m_callbacks.on_list(listed, m_revision);
}

void object_reflector::take_changes(const http_reply& reply) {
    if (reply.end.status == status_gone) {
        m_callbacks.on_answer();
        list_again();
        return;
    }
    if (reply.end.status != status_ok) {
        fail_call("status " + std::to_string(reply.end.status));
        return;
    }
    const auto changes = m_access.protocol.parse_changes(reply.body);
    if (!changes) {
        fail_call(changes.error().message);
        return;
    }
    m_back_off = first_back_off;
    m_revision = std::max(m_revision, changes->revision);
    m_access.counts.changes += changes->changes.empty() ? 0 : 1;
    m_next_call.start(changes->changes.empty() ? duration::zero() : change_gap);
    m_callbacks.on_answer();
    if (!changes->changes.empty()) {
        m_callbacks.on_changes(changes->changes, m_revision);
    }
}

void object_reflector::fail_call(const std::string& cause) {
    ++m_access.counts.failures;
    // A list tells at once whether the store is back; a watch would wait for the next change.
    m_has_list = false;
    m_listed.clear();
    const double jitter = 0.5 + random_unit(*m_access.random);
    m_next_call.start(duration(static_cast<duration::rep>(static_cast<double>(m_back_off.count()) * jitter)));
    m_back_off = std::min(m_back_off * 2, longest_back_off);
    m_callbacks.on_failure(cause);
}

} // namespace endivelever
