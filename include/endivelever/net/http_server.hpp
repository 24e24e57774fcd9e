#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/net/connection_budget.hpp"
#include "endivelever/net/http_header.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct ev_loop;

namespace endivelever {

/// Request in progress and its response. Owned by the server; valid until on_closed returns. Once the
/// response is complete, target and headers may be empty.
class http_exchange {
  public:
    virtual ~http_exchange() = default;
    [[nodiscard]] virtual const std::string& method() const = 0;
    [[nodiscard]] virtual const std::string& target() const = 0; ///< path with query
    [[nodiscard]] virtual std::string path() const = 0;          ///< path without query
    [[nodiscard]] virtual const http_headers& headers() const = 0;
    /// Length of the request body in bytes; empty for a chunked body, 0 without a body.
    [[nodiscard]] virtual std::optional<std::uint64_t> content_length() const = 0;

    /// Stops reading the request body until resume_body(); on_body is not called meanwhile.
    virtual void pause_body() = 0;
    virtual void resume_body() = 0;
    /// Reads no further request of the connection until this one has ended. If its response breaks off, the
    /// connection is reset, and requests behind it would run without a response.
    virtual void hold_next_requests() = 0;
    /// True if on_head was called for later requests of the connection.
    [[nodiscard]] virtual bool has_next_requests() const = 0;

    /// Sends a complete response. May be called during on_head or later. Once a response has begun, the rest
    /// of the request body is discarded and neither on_body nor on_body_end is called.
    virtual void respond(unsigned status, const http_headers& headers, std::string body) = 0;

    /// Starts a streamed response. Without a length the body is sent chunked.
    virtual void begin_response(unsigned status, const http_headers& headers,
                                std::optional<std::uint64_t> length) = 0;
    /// Appends to the response body. The buffer limit is soft: callers should stop when writable_bytes() is 0
    /// and continue in on_writable.
    virtual void write(std::string_view data) = 0;
    [[nodiscard]] virtual std::size_t writable_bytes() const = 0;
    /// Completes a streamed response.
    virtual void finish() = 0;
    /// Closes the connection such that the caller can detect the truncated response.
    virtual void abort() = 0;

    void* context = nullptr; ///< for use by the handlers; the server does not access it
};

/// HTTP/1.1 server on a libev loop. All callbacks run on the loop's thread.
class http_server {
  public:
    struct handlers {
        std::function<void(http_exchange&)> on_head;                   ///< request line and headers received
        std::function<void(http_exchange&, std::string_view)> on_body; ///< part of the request body
        std::function<void(http_exchange&)> on_body_end;               ///< request body complete
        std::function<void(http_exchange&)> on_writable; ///< full response buffer drained to half
        std::function<void(http_exchange&, bool completed)> on_closed; ///< last callback
    };
    struct options {
        std::uint32_t max_connections = 4000;
        byte_count max_header_size{16UL * 1024UL};
        duration idle_timeout = std::chrono::seconds(60);
        byte_count response_buffer{256UL * 1024UL}; ///< soft limit of the buffer of a streamed response
        /// Handles pipelined requests of a connection concurrently, using http-parser. Otherwise the requests
        /// of a connection are handled one after the other, using libmicrohttpd.
        bool concurrent_requests = false;
        /// Shared by the listeners of a process; used by the concurrent server. Without one, connections have
        /// no limits in common.
        std::shared_ptr<connection_budget> budget = nullptr;
    };

    /// @return the server, or error [net.N] if the address cannot be bound
    static result<std::unique_ptr<http_server>> open(struct ev_loop* loop, const socket_address& address,
                                                     const options& opts, handlers callbacks);
    virtual ~http_server() = default;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    [[nodiscard]] virtual std::size_t open_exchanges() const = 0;
    [[nodiscard]] virtual std::size_t open_connections() const = 0;
    /// Sends "Connection: close" with every further response; new connections are still accepted.
    virtual void announce_close() = 0;
    /// Closes the listening socket and sends "Connection: close" with every further response.
    virtual void stop_accepting() = 0;
    /// Like stop_accepting(), but accepts the connections that wait in the queue of the listening socket, and
    /// reads no request after those that have begun. The concurrent server closes each connection after the
    /// response to its last request, idle ones at once; the sequential server keeps idle ones open.
    virtual void drain() = 0;

  protected:
    http_server() = default;
};

} // namespace endivelever
