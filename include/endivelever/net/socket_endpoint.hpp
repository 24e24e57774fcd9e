#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/config/settings.hpp"

#include <sys/socket.h>

namespace endivelever {

/// IPv4 or IPv6 socket address for the socket functions of the system.
struct socket_endpoint {
    sockaddr_storage storage{};
    socklen_t length = 0;

    [[nodiscard]] const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// Converts an address. @return the endpoint, or error [config.10]
result<socket_endpoint> to_endpoint(const socket_address& address);

/// Opens a non-blocking listening TCP socket with SO_REUSEADDR.
/// @return the descriptor, owned by the caller, or error [net.1] with the address and the cause
result<int> listen_on(const socket_address& address);

/// @return port that a socket is bound to; 0 if it is not bound or on error
std::uint16_t bound_port(int fd);

} // namespace endivelever
