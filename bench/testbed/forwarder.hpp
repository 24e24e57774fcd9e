#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/config/settings.hpp"

#include <cstdint>
#include <memory>

namespace endivelever::testbed {

/// What a forwarder does with bytes. Held bytes are delivered later, as TCP does after a network partition.
enum class forward_mode {
    pass,
    hold_to_target, ///< one-way partition: bytes from the connecting side wait
    hold_to_source, ///< one-way partition: bytes from the target wait
    hold_both,      ///< two-way partition
    refuse          ///< resets open connections and refuses new ones
};

/// Forwards TCP connections from a loopback port to a target, on a thread of its own.
class forwarder {
  public:
    /// @param port  port on 127.0.0.1, 0 for any free one
    /// @return the forwarder, or error [testbed.N] if it cannot listen
    static result<std::unique_ptr<forwarder>> open(const socket_address& target, std::uint16_t port = 0);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;
    forwarder(forwarder&&) = delete;
    forwarder& operator=(forwarder&&) = delete;

    [[nodiscard]] socket_address address() const;
    /// Applies to open and new connections; in force on return.
    void set_mode(forward_mode mode);
    /// Connections that are open now never deliver another byte, while new ones work.
    void silence_open_connections();

  private:
    struct state;
    explicit forwarder(std::unique_ptr<state> it);
    std::unique_ptr<state> m_state;
};

/// Loopback port kept free for one program: bound, but not listening, so that no other socket gets it while
/// the program is stopped. The program itself can listen on it since both set SO_REUSEADDR.
class reserved_port {
  public:
    reserved_port();
    ~reserved_port();
    reserved_port(reserved_port&& other) noexcept;
    reserved_port(const reserved_port&) = delete;
    reserved_port& operator=(const reserved_port&) = delete;
    reserved_port& operator=(reserved_port&&) = delete;

    /// @return "127.0.0.1:PORT"
    [[nodiscard]] const socket_address& address() const { return m_address; }

  private:
    int m_fd = -1;
    socket_address m_address;
};

} // namespace endivelever::testbed
