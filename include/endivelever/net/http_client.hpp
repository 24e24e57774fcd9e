#pragma once

#include "endivelever/base/time.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/net/http_header.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct ev_loop;

namespace endivelever {

enum class transfer_failure {
    none,    ///< complete response
    connect, ///< no connection; nothing was sent
    timeout, ///< timeout or progress_timeout expired
    broken,  ///< connection lost, or response truncated, malformed or above a size limit
    cancelled,
    resend_prevented, ///< libcurl tried to send the request a second time, which was prevented
    other
};

/// How a transfer ended.
struct transfer_result {
    transfer_failure failure = transfer_failure::none;
    bool sent = false;   ///< the request may have been sent; false means it was certainly not
    unsigned status = 0; ///< 0 if no response head arrived
    bool new_connection = false;
    std::string detail; ///< error message, for logs
};

/// One HTTP request. It is sent at most once, also if its connection fails.
struct http_request {
    std::string method = "GET";
    socket_address address;
    std::string target = "/"; ///< path with query
    http_headers headers;
    std::optional<std::uint64_t> content_length; ///< empty with `has_body` means chunked
    bool has_body = false;
    std::string body;                               ///< whole body; used when on_read is not set
    std::shared_ptr<const std::string> shared_body; ///< whole body instead of `body`, not copied
    duration timeout = std::chrono::seconds(10);
    duration connect_timeout = std::chrono::seconds(1);
    /// Ends the transfer as `timeout` if no byte is sent or received for this long; 0 means no limit.
    duration progress_timeout{};
    /// Accepts a close-delimited response body. A connection reset still ends the transfer as `broken`.
    bool accepts_close_delimited = false;
    /// Sends TCP keep-alive probes after this time without traffic, rounded down to whole seconds but at
    /// least 1 s. The transfer ends as `broken` after two unanswered probes. 0 sends none.
    duration keep_alive_interval{};
};

/// Result of on_read.
enum class read_state { data, pause, end, abort };

struct transfer_handlers {
    /// Fills `buf` with up to `size` bytes and sets `count`. Not called again after pause until resume().
    std::function<read_state(char* buf, std::size_t size, std::size_t& count)> on_read;
    std::function<void(unsigned status, const http_headers& headers)> on_head;
    /// @return false to pause; the same data is delivered again after resume()
    std::function<bool(std::string_view data)> on_body;
    std::function<void(const transfer_result& end)> on_done; ///< last callback
};

using transfer_id = std::uint64_t;

/// HTTP/1.1 client on a libev loop with kept-alive connections per address.
class http_client {
  public:
    /// @param max_connections_per_address  0 means no limit; further transfers wait for a free connection
    http_client(struct ev_loop* loop, std::uint32_t max_connections_per_address);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Starts a transfer. Callbacks come from the loop, never from within this call.
    transfer_id start(http_request request, transfer_handlers callbacks);
    /// Cancels a transfer and closes its connection; on_done is not called. Unknown ids are ignored.
    void cancel(transfer_id id);
    /// Continues a paused read or write.
    void resume(transfer_id id);
    /// Prevents the reuse of the connections to an address that are idle now.
    void discard_idle(const socket_address& address);

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Complete response of fetch().
struct http_reply {
    transfer_result result;
    http_headers headers;
    std::string body; ///< incomplete if the transfer failed
};
/// Collects a small response in memory and calls `on_done` once. A body above `max_body` ends the transfer as
/// `broken`.
transfer_id fetch(http_client& client, http_request request, byte_count max_body,
                  std::function<void(const http_reply&)> on_done);

} // namespace endivelever
