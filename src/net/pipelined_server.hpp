#pragma once

#include "endivelever/net/http_server.hpp"

namespace endivelever::detail {

/// Creates a server that handles pipelined requests of a connection concurrently.
/// @param listen_fd  listening, non-blocking; the server takes ownership
std::unique_ptr<http_server> make_pipelined_server(struct ev_loop* loop, int listen_fd,
                                                   const http_server::options& opts,
                                                   http_server::handlers callbacks);

} // namespace endivelever::detail
