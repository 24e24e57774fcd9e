#pragma once

#include "endivelever/control/control_board.hpp"

#include <memory>

namespace endivelever {

/// The control process of one entry VM.
class control_process {
  public:
    /// Opens the listeners and starts to connect. @return the process, or error [net.N]
    static result<std::unique_ptr<control_process>> open(struct ev_loop* loop, const settings& config);
    ~control_process();
    control_process(const control_process&) = delete;
    control_process& operator=(const control_process&) = delete;
    control_process(control_process&&) = delete;
    control_process& operator=(control_process&&) = delete;

    /// Graceful stop: announces that this VM is leaving, completes changes in progress, keeps feeding an
    /// entry that is leaving too until it is done, and then breaks the loop.
    void stop();

    [[nodiscard]] const control_board& board() const;
    [[nodiscard]] std::uint16_t feed_port() const;
    [[nodiscard]] std::uint16_t operator_port() const;

  private:
    struct state;
    explicit control_process(std::unique_ptr<state> it);
    std::unique_ptr<state> m_state;
};

} // namespace endivelever
