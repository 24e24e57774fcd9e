#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/config/settings.hpp"

#include <cstdint>

namespace endivelever::detail {

/// Opens a non-blocking listening TCP socket.
/// @return the descriptor, or error [net.1] naming the address and the reason
result<int> open_listen_socket(const socket_address& address);

/// @return the port a socket is bound to; 0 on failure
std::uint16_t bound_port(int fd);

} // namespace endivelever::detail
