#include "endivelever/store/object_reflector.hpp"

#include <algorithm>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr duration initial_back_off = 100ms;
// Store outages last seconds. A longer delay would postpone recovery by more than the saved calls are worth.
constexpr duration max_back_off = 800ms;
constexpr duration list_timeout = 1000ms;
// A watch counts as one call regardless of how long it waits; the store allows up to 30 s.
constexpr duration watch_wait = 25s;
constexpr duration watch_timeout_margin = 2s;
// Delay between a watch that returned changes and the next one. Changes come in bursts, for instance from
// servers that are warming up, and the delay lets one call return several. The first change after a quiet
// period is still reported at once.
constexpr duration watch_delay_after_changes = 400ms;
constexpr duration keep_alive_interval = 1s;
constexpr byte_count max_reply_size{16UL << 20U};
constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;

} // namespace

object_reflector::object_reflector(object_store_access& access, object_kind kind, handlers callbacks)
    : m_access(access), m_kind(std::move(kind)), m_callbacks(std::move(callbacks)),
      m_next_call(access.loop, [this] { m_has_list ? watch() : list_next_page(); }),
      m_back_off(initial_back_off) {
    m_next_call.start(duration::zero());
}

object_reflector::~object_reflector() {
    for (const auto& it : {m_call, m_check}) {
        if (it) {
            m_access.client->cancel(*it);
        }
    }
}

void object_reflector::relist() {
    if (m_call) {
        m_access.client->cancel(*m_call);
        m_call.reset();
    }
    ++m_relisted;
    m_has_list = false;
    m_listing = {};
    m_next_call.start(duration::zero());
}

void object_reflector::check(duration timeout, freshness wanted) {
    if (!m_has_list || m_check) {
        return;
    }
    const auto& make_request =
        wanted == freshness::current ? m_access.protocol.changes : m_access.protocol.changes_stale;
    auto request = make_request(m_kind, m_revision);
    request.timeout = timeout;
    m_check = call_store(m_access, std::move(request), max_reply_size,
                         [this, wanted, since = m_revision, started = boot_clock::now()](const auto& reply) {
                             m_check.reset();
                             if (reply.era == since.era) { // otherwise a list follows
                                 handle_check(reply, since, started, wanted);
                             }
                         });
}

void object_reflector::handle_check(const store_reply& reply, object_revision since, time_point started,
                                    freshness wanted) {
    const auto& transfer = reply.http.result;
    if (transfer.failure != transfer_failure::none) {
        m_callbacks.on_check_failed(transfer.detail);
        return;
    }
    if (transfer.status == status_gone) {
        m_callbacks.on_check_passed();
        relist();
        return;
    }
    auto changes = transfer.status == status_ok
                       ? m_access.protocol.parse_changes(reply.http.body, reply.era)
                       : fail("store", 1, "status " + std::to_string(transfer.status));
    if (!changes) {
        m_callbacks.on_check_failed(changes.error().message);
        return;
    }
    // A watch that returned meanwhile is at least as new as the check.
    const bool is_current = m_has_list && m_revision == since;
    if (is_current && changes->revision > m_revision) {
        m_revision = changes->revision;
    }
    if (is_current) {
        m_confirmed_at = started;
        m_read_current_at = wanted == freshness::current ? started : m_read_current_at;
    }
    if (is_current && !changes->changes.empty()) {
        if (m_call) {
            m_access.client->cancel(*m_call);
            m_call.reset();
            m_next_call.start(watch_delay_after_changes);
        }
        m_callbacks.on_changes(changes->changes, m_revision);
    }
    m_callbacks.on_check_passed();
}

void object_reflector::send(http_request request, void (object_reflector::*on_reply)(const store_reply&)) {
    request.keep_alive_interval = keep_alive_interval;
    m_call = call_store(m_access, std::move(request), max_reply_size,
                        [this, on_reply, relisted = m_relisted](const store_reply& reply) {
                            if (relisted != m_relisted) {
                                return; // this response has begun a new era, and a list follows
                            }
                            m_call.reset();
                            if (reply.http.result.failure != transfer_failure::none) {
                                handle_failure(reply.http.result.detail);
                            } else if (reply.is_outdated) {
                                list_later();
                            } else {
                                (this->*on_reply)(reply);
                            }
                        });
}

void object_reflector::list_next_page() {
    auto request = m_access.protocol.list(m_kind, m_listing.after);
    request.timeout = list_timeout;
    ++m_access.counts.lists;
    if (m_listing.objects.empty()) {
        m_list_started_at = boot_clock::now();
    }
    send(std::move(request), &object_reflector::handle_page);
}

void object_reflector::watch() {
    auto request = m_access.protocol.watch(m_kind, m_revision, watch_wait);
    request.timeout = watch_wait + watch_timeout_margin;
    send(std::move(request), &object_reflector::handle_changes);
}

void object_reflector::handle_page(const store_reply& reply) {
    if (reply.http.result.status != status_ok) {
        handle_failure("status " + std::to_string(reply.http.result.status));
        return;
    }
    auto page = m_access.protocol.parse_page(reply.http.body, reply.era);
    if (!page) {
        handle_failure(page.error().message);
        return;
    }
    if (const auto added = add_page(m_listing, std::move(*page)); !added) {
        handle_failure(added.error().message);
        return;
    }
    m_callbacks.on_answer();
    if (!m_listing.is_complete) {
        m_next_call.start(duration::zero());
        return;
    }
    m_has_list = true;
    m_back_off = initial_back_off;
    m_revision = m_listing.revision;
    m_confirmed_at = m_list_started_at;
    m_read_current_at = m_list_started_at;
    const auto listed = std::exchange(m_listing, {});
    m_next_call.start(duration::zero());
    m_callbacks.on_list(listed.objects, m_revision);
}

void object_reflector::handle_changes(const store_reply& reply) {
    if (reply.http.result.status == status_gone) {
        m_callbacks.on_answer();
        relist();
        return;
    }
    if (reply.http.result.status != status_ok) {
        handle_failure("status " + std::to_string(reply.http.result.status));
        return;
    }
    const auto changes = m_access.protocol.parse_changes(reply.http.body, reply.era);
    if (!changes) {
        handle_failure(changes.error().message);
        return;
    }
    m_back_off = initial_back_off;
    m_revision = std::max(m_revision, changes->revision);
    m_access.counts.changes += changes->changes.empty() ? 0 : 1;
    m_next_call.start(changes->changes.empty() ? duration::zero() : watch_delay_after_changes);
    m_callbacks.on_answer();
    if (!changes->changes.empty()) {
        m_callbacks.on_changes(changes->changes, m_revision);
    }
}

void object_reflector::handle_failure(const std::string& cause) {
    ++m_access.counts.failures;
    list_later();
    m_callbacks.on_failure(cause);
}

void object_reflector::list_later() {
    // A list returns at once when the store is back; a watch would wait for a change.
    m_has_list = false;
    m_listing = {};
    const double jitter = 0.5 + random_unit(*m_access.random);
    m_next_call.start(duration(static_cast<duration::rep>(static_cast<double>(m_back_off.count()) * jitter)));
    m_back_off = std::min(m_back_off * 2, max_back_off);
}

} // namespace endivelever
