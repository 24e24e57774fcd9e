#pragma once

#include "endivelever/base/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>

struct ev_loop;

namespace endivelever::testbed {

/// Runs callbacks at given times with microsecond precision. libev's epoll backend rounds timers up to
/// 1 ms, which is more than a service time or the latency that the experiments measure.
class delayed_calls {
  public:
    using id = std::uint64_t;

    explicit delayed_calls(struct ev_loop* loop);
    ~delayed_calls();
    delayed_calls(const delayed_calls&) = delete;
    delayed_calls& operator=(const delayed_calls&) = delete;
    delayed_calls(delayed_calls&&) = delete;
    delayed_calls& operator=(delayed_calls&&) = delete;

    /// Calls `callback` once from the loop at `due`, or as soon as possible if `due` has passed.
    id schedule(time_point due, std::function<void()> callback);
    /// Forgets a callback; unknown ids are ignored.
    void cancel(id which);

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace endivelever::testbed
