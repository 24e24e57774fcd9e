#pragma once

#include "endivelever/net/event_loop.hpp"
#include "endivelever/store/call_budget.hpp"
#include "endivelever/store/store_answer.hpp"

#include <deque>
#include <functional>
#include <string>

struct ev_loop;

namespace endivelever {

/// Timeouts and rate limits of one member's calls to the platform.
struct store_limits {
    duration read_deadline = std::chrono::milliseconds(1000);
    duration write_deadline = std::chrono::milliseconds(2000);
    duration watch_margin = std::chrono::milliseconds(1000); ///< timeout of a watch beyond its wait
    std::uint32_t background_calls_per_second = 20;          ///< reads, watches and lists
    std::uint32_t change_calls_per_second = 20; ///< calls on behalf of operators; unaffected by the others
};

/// Counters of one member's calls to the platform.
struct store_counts {
    std::uint64_t calls = 0;
    std::uint64_t over_budget = 0; ///< calls rejected by the rate limit without being sent
    std::uint64_t unavailable = 0; ///< reads, watches and writes that ended as unavailable
    std::uint64_t unknown = 0;     ///< writes that ended as unknown
};

/// Purpose of a call; each purpose has its own rate limit.
enum class store_purpose { background, change };

/// Client for the object store and the VM list (section 7.3 of docs/design.md). Every call has a timeout and
/// is sent at most once; the caller retries, with back_off. Handlers run from the event loop, never from
/// within the call that they belong to. The key "vm-list" stands for the VM list.
class store_client {
  public:
    using handler = std::function<void(const store_answer&)>;
    using list_handler = std::function<void(const store_list_answer&)>;

    store_client(struct ev_loop* loop, socket_address platform, const store_limits& limits);

    void read(const document_key& key, store_purpose purpose, handler on_done);
    /// Waits for a version above `known`.
    /// @param wait  at least 1 ms
    void watch(const document_key& key, document_version known, duration wait, handler on_done);
    /// Conditional write.
    /// @param expected  version to replace; 0 to create the object
    void write(const document_key& key, std::string payload, document_version expected, handler on_done);
    /// Lists the keys and versions of all objects whose keys start with `prefix`.
    void list(const std::string& prefix, list_handler on_done);

    [[nodiscard]] const store_counts& counts() const { return m_counts; }

  private:
    using reply_handler = std::function<void(const http_reply&)>;
    void send(http_request request, store_purpose purpose, reply_handler on_done);
    void refuse(reply_handler on_done);
    void complete_refused();
    handler count_outcome(handler on_done);

    socket_address m_platform;
    store_limits m_limits;
    call_budget m_background_budget;
    call_budget m_change_budget;
    store_counts m_counts;
    std::deque<reply_handler> m_refused;
    timer m_refusal_timer;
    http_client m_client;
};

} // namespace endivelever
