#pragma once

#include "endivelever/net/http_server.hpp"

#include <string>

namespace endivelever::detail {

class pipelined_connection;

/// Parsed request line and headers.
struct request_head {
    std::string method;
    std::string target;
    http_headers headers;
    bool http_1_1 = true;
    bool keep_alive = true; ///< the request allows a persistent connection
};

/// One request of a pipelined connection. Requests of a connection are handled concurrently; the response is
/// buffered until the responses to all earlier requests have been sent.
class pipelined_exchange final : public http_exchange {
  public:
    pipelined_exchange(pipelined_connection& connection, request_head head);
    pipelined_exchange(const pipelined_exchange&) = delete;
    pipelined_exchange& operator=(const pipelined_exchange&) = delete;
    pipelined_exchange(pipelined_exchange&&) = delete;
    pipelined_exchange& operator=(pipelined_exchange&&) = delete;
    ~pipelined_exchange() override = default;

    [[nodiscard]] const std::string& method() const override { return m_head.method; }
    [[nodiscard]] const std::string& target() const override { return m_head.target; }
    [[nodiscard]] std::string path() const override {
        return m_head.target.substr(0, m_head.target.find('?'));
    }
    [[nodiscard]] const http_headers& headers() const override { return m_head.headers; }
    [[nodiscard]] std::optional<std::uint64_t> content_length() const override { return m_length; }
    void pause_body() override { m_paused = true; }
    void resume_body() override;
    void hold_next_requests() override { m_holds_next = true; }
    [[nodiscard]] bool has_next_requests() const override;
    void respond(unsigned status, const http_headers& headers, std::string body) override;
    void begin_response(unsigned status, const http_headers& headers,
                        std::optional<std::uint64_t> length) override;
    void write(std::string_view data) override;
    [[nodiscard]] std::size_t writable_bytes() const override;
    void finish() override;
    void abort() override;

    // Used by pipelined_connection.
    /// Sends 100 Continue, unless a response has begun or the request is HTTP/1.0.
    void send_continue();
    /// @return false if more than max_discarded_bytes of the body arrived after the response began
    bool receive_body(std::string_view data);
    void receive_body_end();
    /// Responds to a request that is malformed or exceeds a limit.
    /// @param reported  on_head was called for this exchange
    void reject(unsigned status, std::string reason, bool reported);
    /// Buffered response bytes that may be sent now.
    [[nodiscard]] std::string_view sendable() const;
    void mark_sent(std::size_t n);
    /// Number of buffered response bytes.
    [[nodiscard]] std::size_t buffered_bytes() const { return m_output.size() - m_output_begin; }
    /// Memory that this request and its response hold.
    [[nodiscard]] std::size_t held_bytes() const { return m_head_bytes + m_output.capacity(); }
    [[nodiscard]] bool is_paused() const { return m_paused && !m_response_begun; }
    [[nodiscard]] bool is_sent() const {
        return m_finished && may_send() && m_output_begin == m_output.size();
    }
    /// The response body ended before its Content-Length.
    [[nodiscard]] bool is_truncated() const { return m_remaining_length.value_or(0) != 0; }
    [[nodiscard]] bool is_rejected() const { return m_rejected; }
    [[nodiscard]] bool keeps_alive() const { return m_head.keep_alive; }
    [[nodiscard]] bool holds_next_requests() const { return m_holds_next; }
    [[nodiscard]] bool is_aborted() const { return m_aborted; }
    [[nodiscard]] bool is_reported() const { return m_reported; }

  private:
    [[nodiscard]] bool may_send() const;
    void write_head(unsigned status, const http_headers& headers, std::optional<std::uint64_t> length);
    void append_body(std::string_view data);

    pipelined_connection& m_connection;
    request_head m_head;
    std::size_t m_head_bytes;              ///< memory of the exchange and its head
    std::optional<std::uint64_t> m_length; ///< of the request body
    std::string m_output;                  ///< encoded response; bytes before m_output_begin were sent
    std::size_t m_output_begin = 0;
    std::optional<std::uint64_t>
        m_remaining_length;              ///< remaining bytes of a response body with Content-Length
    std::uint64_t m_discarded_bytes = 0; ///< bytes of the request body that arrived after the response began
    bool m_chunked = false;
    bool m_without_body = false; ///< the response has no body, e.g. to HEAD or with status 204
    bool m_response_begun = false;
    bool m_early_response = false; ///< the response is sent before the request body is complete
    bool m_finished = false;
    bool m_body_ended = false;
    bool m_paused = false;
    bool m_buffer_full = false;
    bool m_holds_next = false;
    bool m_aborted = false;
    bool m_rejected = false;
    bool m_reported = true;
};

} // namespace endivelever::detail
