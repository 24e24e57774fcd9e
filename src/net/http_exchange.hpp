#pragma once

#include "endivelever/net/http_server.hpp"

#include <microhttpd.h>

#include <functional>
#include <string>
#include <unordered_set>

namespace endivelever::detail {

struct server_core;

/// State of one caller connection.
struct connection_context {
    int fd = -1;
    MHD_Connection* handle = nullptr;
    std::string target;                       ///< raw target of the latest request line
    class exchange_state* exchange = nullptr; ///< request in progress; nullptr if there is none
    bool peer_closed = false;
};

/// One request handled by libmicrohttpd. The connection is suspended while it waits for the handlers.
class exchange_state final : public http_exchange {
  public:
    exchange_state(server_core& core, connection_context& connection, const char* method);
    ~exchange_state() override;
    exchange_state(const exchange_state&) = delete;
    exchange_state& operator=(const exchange_state&) = delete;
    exchange_state(exchange_state&&) = delete;
    exchange_state& operator=(exchange_state&&) = delete;

    [[nodiscard]] const std::string& method() const override { return m_method; }
    [[nodiscard]] const std::string& target() const override { return m_target; }
    [[nodiscard]] std::string path() const override { return m_target.substr(0, m_target.find('?')); }
    [[nodiscard]] const http_headers& headers() const override { return m_headers; }
    [[nodiscard]] std::optional<std::uint64_t> content_length() const override { return m_length; }
    void pause_body() override { m_paused = true; }
    void resume_body() override;
    void hold_next_requests() override {} // requests of a connection are always handled one after the other
    [[nodiscard]] bool has_next_requests() const override { return false; }
    void respond(unsigned status, const http_headers& headers, std::string body) override;
    void begin_response(unsigned status, const http_headers& headers,
                        std::optional<std::uint64_t> length) override;
    void write(std::string_view data) override;
    [[nodiscard]] std::size_t writable_bytes() const override;
    void finish() override;
    void abort() override;

    /// Handles a call of libmicrohttpd's request handler for this request.
    MHD_Result handle(const char* data, std::size_t* size);
    /// Resumes a suspended connection so that libmicrohttpd continues with the changed state.
    void resume_connection();
    /// Aborts the exchange if it is suspended. Called when the caller closes its side of the connection.
    void on_peer_closed();
    [[nodiscard]] bool aborted() const { return m_aborted; }

  private:
    MHD_Result handle_head();
    MHD_Result continue_after_head();
    MHD_Result handle_body(const char* data, std::size_t* size);
    MHD_Result handle_end();
    MHD_Result queue_response();
    MHD_Result suspend();
    void set_response(unsigned status, const http_headers& headers, MHD_Response* response);
    static ssize_t read_body(void* cls, std::uint64_t pos, char* buf, std::size_t max);
    ssize_t read_body(char* buf, std::size_t max);
    void copy_headers();

    server_core& m_core;
    connection_context& m_connection;
    std::string m_method;
    std::string m_target;
    http_headers m_headers;
    std::optional<std::uint64_t> m_length = 0;
    MHD_Response* m_response = nullptr;
    unsigned m_status = 0;
    std::string m_output;
    std::size_t m_output_begin = 0;
    std::optional<std::uint64_t> m_response_length;
    std::uint64_t m_written_bytes = 0;
    std::uint64_t m_discarded_bytes = 0;
    bool m_started = false;
    bool m_suspended_in_head = false; ///< suspended before any body was received
    bool m_body_ended = false;
    bool m_paused = false;
    bool m_suspended = false;
    bool m_queued = false;
    bool m_buffer_full = false;
    bool m_finished = false;
    bool m_aborted = false;
    bool m_must_close = false;
};

/// Shared by the server and its exchanges.
struct server_core {
    http_server::handlers callbacks;
    http_server::options opts;
    bool stopping = false;
    bool closing = false; ///< the server is being destroyed; no further callbacks
    std::unordered_set<connection_context*> connections;
    std::function<void()> schedule_run;
};

} // namespace endivelever::detail
