#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/config/settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

struct ev_loop;

namespace endivelever {

/// UDP socket on a libev loop. Datagrams may be lost, duplicated or reordered.
class datagram_socket {
  public:
    using receiver = std::function<void(std::span<const std::uint8_t> payload)>;

    /// @return the socket, or error [net.N] if the address cannot be bound
    static result<std::unique_ptr<datagram_socket>> open(struct ev_loop* loop, const socket_address& address,
                                                         receiver on_datagram);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    datagram_socket(datagram_socket&&) = delete;
    datagram_socket& operator=(datagram_socket&&) = delete;

    /// Sends one datagram. @return false if it could not be queued for sending; it is not retried
    bool send(const socket_address& to, std::string_view payload);
    [[nodiscard]] std::uint16_t port() const;

  private:
    struct state;
    explicit datagram_socket(std::unique_ptr<state> it);
    std::unique_ptr<state> m_state;
};

} // namespace endivelever
