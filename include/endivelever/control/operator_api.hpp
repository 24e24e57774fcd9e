#pragma once

#include "endivelever/control/control_board.hpp"
#include "endivelever/net/http_server.hpp"

#include <memory>

namespace endivelever {

/// HTTP interface for operators (section 7.4 of docs/design.md).
class operator_api {
  public:
    /// @return the interface, or error [net.N] if the operator address cannot be bound
    static result<std::unique_ptr<operator_api>> open(control& it);
    ~operator_api();
    operator_api(const operator_api&) = delete;
    operator_api& operator=(const operator_api&) = delete;
    operator_api(operator_api&&) = delete;
    operator_api& operator=(operator_api&&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    /// Refuses further connections; requests in progress complete.
    void stop_accepting();

  private:
    struct state;
    explicit operator_api(std::unique_ptr<state> it);
    std::unique_ptr<state> m_state;
};

} // namespace endivelever
