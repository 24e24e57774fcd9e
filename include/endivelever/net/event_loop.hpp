#pragma once

#include "endivelever/base/time.hpp"

#include <functional>
#include <memory>

struct ev_loop;

namespace endivelever {

/// Timer on a libev loop; stops when destroyed.
class timer {
  public:
    /// @param loop      loop that outlives the timer
    /// @param callback  called at each expiry
    timer(struct ev_loop* loop, std::function<void()> callback);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    timer(timer&&) = delete;
    timer& operator=(timer&&) = delete;

    /// Starts or restarts the timer. It expires after `delay`, then every `repeat` if that is not 0.
    void start(duration delay, duration repeat = duration::zero());
    void stop();
    [[nodiscard]] bool active() const;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Calls `callback` on SIGTERM and SIGINT; stops when destroyed.
class stop_signal {
  public:
    stop_signal(struct ev_loop* loop, std::function<void()> callback);
    ~stop_signal();
    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;
    stop_signal(stop_signal&&) = delete;
    stop_signal& operator=(stop_signal&&) = delete;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace endivelever
