#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/gateway/dialect.hpp"
#include "endivelever/gateway/settings.hpp"

#include <memory>

struct ev_loop;

namespace endivelever {

struct gateway_board;

/// The gateway of one VM: accepts requests from callers, chooses servers and keeps configuration, servers and
/// peers up to date, all on one event loop.
class gateway_process {
  public:
    /// @return the process, or error [net.N] if an address cannot be bound
    static result<std::unique_ptr<gateway_process>> open(struct ev_loop* loop, gateway_settings conf,
                                                         gateway_dialect dialect);
    ~gateway_process();
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    gateway_process(gateway_process&&) = delete;
    gateway_process& operator=(gateway_process&&) = delete;

    /// Begins a graceful stop: withdraws this VM from address responses, finishes open requests, then breaks
    /// the event loop.
    void stop();
    /// Applies changed settings. Addresses cannot change while the process runs.
    void reload(const gateway_settings& conf);
    [[nodiscard]] gateway_board& board();

  private:
    struct state;
    explicit gateway_process(std::unique_ptr<state> it);
    std::unique_ptr<state> m_state;
};

} // namespace endivelever
