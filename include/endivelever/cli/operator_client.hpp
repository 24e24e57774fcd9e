#pragma once

#include "endivelever/cli/options.hpp"
#include "endivelever/net/http_client.hpp"

#include <memory>
#include <string>

namespace endivelever {

/// Blocking HTTP client of the command line.
class operator_client {
  public:
    /// @param key  operator's key, sent to the operator address only
    operator_client(socket_address address, std::string key);
    ~operator_client();
    operator_client(const operator_client&) = delete;
    operator_client& operator=(const operator_client&) = delete;
    operator_client(operator_client&&) = delete;
    operator_client& operator=(operator_client&&) = delete;

    /// Sends a request to the operator address.
    /// @param body  JSON text; empty for a request without body
    http_reply call(const std::string& method, const std::string& target, const std::string& body = {});
    /// Reads from another address, without the key.
    http_reply get(const socket_address& address, const std::string& target);
    /// Waits while the loop runs.
    void pause(duration length);

  private:
    http_reply run(http_request request);

    struct state;
    std::unique_ptr<state> m_state;
};

/// Reads a key file: one line.
/// @return the key, or error [cli.2] naming the file
result<std::string> read_key_file(const std::string& path);

/// How a request ended, for the exit code.
/// @param change  true if the request may have changed something
exit_code exit_code_of(const http_reply& reply, bool change);

} // namespace endivelever
