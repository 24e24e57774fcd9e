#pragma once

#include "endivelever/entry/call.hpp"

namespace endivelever::detail {

/// @return headers for the server or the home entry: end-to-end headers of the caller and our own
http_headers request_headers(const call& it, time_point now);

/// @return end-to-end headers of the server's response, for the caller
http_headers response_headers(const http_headers& from_server);

} // namespace endivelever::detail
