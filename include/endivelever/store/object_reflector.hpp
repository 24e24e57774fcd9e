#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/net/event_loop.hpp"
#include "endivelever/store/object_listing.hpp"
#include "endivelever/store/object_store_access.hpp"

#include <functional>
#include <optional>

namespace endivelever {

/// Reports all objects of one kind and their changes: lists the objects, then watches from the revision of
/// the list. Lists again when the store no longer has the history since that revision, when it begins a new
/// era, or when a call failed. Failed calls are retried after an exponential back-off with jitter.
class object_reflector {
  public:
    enum class freshness {
        may_be_stale, ///< the response may be seconds old, at a lower cost to the store
        current
    };

    struct handlers {
        std::function<void(const std::vector<stored_object>&, object_revision)> on_list;
        std::function<void(const std::vector<object_change>&, object_revision)> on_changes;
        std::function<void(const std::string& cause)> on_failure; ///< a call failed and will be retried
        std::function<void()> on_answer;                          ///< the store answered a call
        std::function<void()> on_check_passed;
        std::function<void(const std::string& cause)> on_check_failed;
    };

    /// @param access  must outlive the reflector
    object_reflector(object_store_access& access, object_kind kind, handlers callbacks);
    ~object_reflector();
    object_reflector(const object_reflector&) = delete;
    object_reflector& operator=(const object_reflector&) = delete;
    object_reflector(object_reflector&&) = delete;
    object_reflector& operator=(object_reflector&&) = delete;

    /// Cancels the call in progress and lists again at once. Replies that were due are ignored.
    void relist();
    /// Asks the store for changes that the waiting watch has not reported. A watch that waits does not show
    /// that its connection still delivers anything. Changes found are reported as if the watch had returned
    /// them, and the watch starts anew. Does nothing while a list or a check is in progress.
    /// @param timeout  the check fails if the store does not answer within this time
    void check(duration timeout, freshness wanted = freshness::may_be_stale);
    [[nodiscard]] object_revision revision() const { return m_revision; }
    /// @return start of the last list or check that was answered: all changes before it are reported
    [[nodiscard]] time_point confirmed_at() const { return m_confirmed_at; }
    /// @return start of the last list, or check that may not be stale, that was answered
    [[nodiscard]] time_point read_current_at() const { return m_read_current_at; }

  private:
    void list_next_page();
    void watch();
    void handle_page(const store_reply& reply);
    void handle_changes(const store_reply& reply);
    void handle_check(const store_reply& reply, object_revision since, time_point started, freshness wanted);
    void handle_failure(const std::string& cause);
    void list_later();
    void send(http_request request, void (object_reflector::*on_reply)(const store_reply&));

    object_store_access& m_access;
    object_kind m_kind;
    handlers m_callbacks;
    timer m_next_call;
    std::optional<transfer_id> m_call;
    std::optional<transfer_id> m_check;
    object_listing m_listing; ///< list in progress
    time_point m_list_started_at{};
    time_point m_confirmed_at{};
    time_point m_read_current_at{};
    object_revision m_revision;
    duration m_back_off;
    bool m_has_list = false;      ///< false while the next call is a list
    std::uint64_t m_relisted = 0; ///< calls of relist()
};

} // namespace endivelever
