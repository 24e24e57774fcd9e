#pragma once

#include <ev.h>
#include <functional>

namespace endivelever::detail {

/// Runs a function once in the current loop iteration, after the callbacks of all ready sockets. The watcher
/// has a lower priority than the socket watchers, so that one call handles the events of all of them.
class deferred_call {
  public:
    deferred_call(struct ev_loop* loop, std::function<void()> callback)
        : m_loop(loop), m_callback(std::move(callback)) {
        ev_init(&m_watcher, &deferred_call::run);
        ev_set_priority(&m_watcher, -1);
        m_watcher.data = this;
    }
    ~deferred_call() { ev_clear_pending(m_loop, &m_watcher); }
    deferred_call(const deferred_call&) = delete;
    deferred_call& operator=(const deferred_call&) = delete;
    deferred_call(deferred_call&&) = delete;
    deferred_call& operator=(deferred_call&&) = delete;

    void schedule() { ev_feed_event(m_loop, &m_watcher, EV_CUSTOM); }

  private:
    static void run(struct ev_loop* /*loop*/, ev_prepare* watcher, int /*revents*/) {
        static_cast<deferred_call*>(watcher->data)->m_callback();
    }

    struct ev_loop* m_loop;
    ev_prepare m_watcher{};
    std::function<void()> m_callback;
};

/// Runs a function once in the next loop iteration, so that the events of other sockets are handled before.
/// The loop does not wait for events meanwhile; a timer without delay would wait for a millisecond.
class next_iteration_call {
  public:
    next_iteration_call(struct ev_loop* loop, std::function<void()> callback)
        : m_loop(loop), m_callback(std::move(callback)) {
        ev_idle_init(&m_watcher, &next_iteration_call::run);
        // Idle watchers run only if no watcher of their priority or a higher one has an event.
        ev_set_priority(&m_watcher, EV_MAXPRI);
        m_watcher.data = this;
    }
    ~next_iteration_call() { ev_idle_stop(m_loop, &m_watcher); }
    next_iteration_call(const next_iteration_call&) = delete;
    next_iteration_call& operator=(const next_iteration_call&) = delete;
    next_iteration_call(next_iteration_call&&) = delete;
    next_iteration_call& operator=(next_iteration_call&&) = delete;

    void schedule() { ev_idle_start(m_loop, &m_watcher); }

  private:
    static void run(struct ev_loop* loop, ev_idle* watcher, int /*revents*/) {
        ev_idle_stop(loop, watcher);
        static_cast<next_iteration_call*>(watcher->data)->m_callback();
    }

    struct ev_loop* m_loop;
    ev_idle m_watcher{};
    std::function<void()> m_callback;
};

} // namespace endivelever::detail
