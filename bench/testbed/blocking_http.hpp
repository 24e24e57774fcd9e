#pragma once

#include "endivelever/net/http_client.hpp"

#include <string>

namespace endivelever::testbed {

/// Sends one request on a loop of its own and waits for the response.
/// @param body  sent if not empty or if the method is PUT or POST
http_reply call_http(const socket_address& address, const std::string& method, const std::string& target,
                     const std::string& body = {}, const http_headers& headers = {},
                     duration timeout = std::chrono::seconds(10));

/// @return true if the reply is complete with a status from 200 to 299
bool succeeded(const http_reply& reply);

} // namespace endivelever::testbed
