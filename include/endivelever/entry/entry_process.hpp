#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/config/settings.hpp"

#include <cstdint>
#include <memory>

struct ev_loop;

namespace endivelever {

struct entry_board;

/// The data path of one entry VM: listeners, feed and periodic work on one loop.
class entry_process {
  public:
    /// @return the process, or error [net.N] if an address cannot be bound
    static result<std::unique_ptr<entry_process>> open(struct ev_loop* loop, settings conf);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    entry_process(entry_process&&) = delete;
    entry_process& operator=(entry_process&&) = delete;

    /// Begins a planned stop: takes no new connections, completes calls in progress, then breaks the loop.
    void stop();
    [[nodiscard]] entry_board& board();

  private:
    struct state;
    explicit entry_process(std::unique_ptr<state> it);
    std::unique_ptr<state> m_state;
};

} // namespace endivelever
