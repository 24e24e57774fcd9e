#pragma once

#include "endivelever/base/time.hpp"
#include "pipelined_exchange.hpp"

#include <deque>
#include <ev.h>
#include <functional>
#include <http_parser.h>
#include <memory>
#include <vector>

namespace endivelever::detail {

class pipelined_connection;

inline constexpr std::size_t read_buffer_size = 32UL * 1024UL; ///< maximum bytes per recv()

/// Shared by a server and its connections.
struct pipelined_core {
    struct ev_loop* loop = nullptr;
    http_server::handlers callbacks;
    http_server::options opts;
    bool stopping = false; ///< each connection closes after the response to its last open request
    bool draining = false; ///< no request is read after those that have begun
    std::size_t open_exchanges = 0;
    std::vector<char> read_buffer = std::vector<char>(read_buffer_size); ///< shared receive buffer
    std::shared_ptr<connection_budget> budget;                           ///< never nullptr
    /// Calls process() of the connection: later in this loop iteration, or in the next one if this call comes
    /// from within process(). The list of scheduled connections owns them, so that none is freed before its
    /// turn.
    std::function<void(std::shared_ptr<pipelined_connection>)> schedule_processing;
};

/// One connection of a caller. Pipelined requests are handled concurrently; responses are sent in the order
/// of the requests. Shared by the server's table and its list of scheduled connections.
class pipelined_connection final : public budgeted_connection,
                                   public std::enable_shared_from_this<pipelined_connection> {
  public:
    /// @param fd  connected, non-blocking; owned by the connection
    pipelined_connection(pipelined_core& core, int fd);
    /// Closes the socket without calling on_closed.
    ~pipelined_connection() override;
    pipelined_connection(const pipelined_connection&) = delete;
    pipelined_connection& operator=(const pipelined_connection&) = delete;
    pipelined_connection(pipelined_connection&&) = delete;
    pipelined_connection& operator=(pipelined_connection&&) = delete;

    /// Sends pending responses and parses buffered input, at most max_open_requests requests in one call.
    /// @return false if the connection has ended: its exchanges are closed and it must be released
    [[nodiscard]] bool process();
    /// Closes the connection after the requests that have begun; at once if there is none.
    void begin_drain();
    /// Ends a connection that waits for the caller longer than the idle timeout, or after the last response
    /// longer than the linger limit.
    void check_timeout(time_point now);
    void schedule_processing() { m_core.schedule_processing(shared_from_this()); }

    [[nodiscard]] bool waits_for_caller() const override;
    [[nodiscard]] time_point last_transfer() const override { return m_last_transfer; }
    void close_by_limit() override;
    [[nodiscard]] const void* listener() const override { return &m_core; }
    /// Charges the budget for the memory that the connection holds.
    void charge_memory();

    // Used by pipelined_exchange.
    [[nodiscard]] const http_server::handlers& handlers() const { return m_core.callbacks; }
    [[nodiscard]] const http_server::options& options() const { return m_core.opts; }
    [[nodiscard]] bool has_requests_after(const pipelined_exchange& it) const {
        return !m_exchanges.empty() && m_exchanges.back().get() != &it;
    }
    /// Decides whether the connection closes after the response of `it`, and if so stops reading requests.
    /// @param requested  the response requires the connection to close
    bool decide_close_after(const pipelined_exchange& it, bool requested);

    bool processing_scheduled = false; ///< set and reset by the server
    bool processing = false;           ///< within process(); set and reset by the server

  private:
    void read_available();
    void parse(std::string_view data);
    void reject_input();
    [[nodiscard]] bool should_pause_input() const;
    void pause_if_needed();
    void send_responses();
    bool send_pending(pipelined_exchange& it);
    void start_lingering_close();
    void update_watchers();
    void end_exchanges();
    void note_transfer(std::size_t n);
    [[nodiscard]] std::size_t receive_size() const;
    [[nodiscard]] std::size_t held_bytes() const;
    void notify_closed(pipelined_exchange& it, bool completed);

    int on_header(std::string_view name, std::string_view value);
    int on_headers_complete();
    int on_body(std::string_view data);
    int on_message_complete();
    static http_parser_settings parser_settings();

    pipelined_core& m_core;
    int m_fd;
    ev_io m_readable{};
    ev_io m_writable{};
    http_parser m_parser{};
    request_head m_head; ///< of the request being parsed
    std::size_t m_head_size = 0;
    bool m_in_head = false;       ///< a request head is being parsed
    bool m_has_value = false;     ///< a value was parsed for the last header
    unsigned m_error_status = 0;  ///< error status for a rejected request; 0 if there is none
    std::string m_unparsed_input; ///< received but not yet parsed
    std::deque<std::unique_ptr<pipelined_exchange>> m_exchanges; ///< in the order of the requests
    pipelined_exchange* m_receiving = nullptr; ///< exchange whose request body is being received
    time_point m_last_transfer;                ///< time of the last send or receive
    time_point m_linger_begin{};               ///< start of the lingering close
    progress_window m_progress;
    bool m_write_blocked = false; ///< the send buffer of the socket is full
    bool m_reads_requests = true; ///< false after the last request
    bool m_close_after_last = false;
    bool m_lingering = false;   ///< lingering close: all is sent; waits for the caller to close
    bool m_closed_idle = false; ///< closed without a response that the caller still has to read
    bool m_ended = false;
};

} // namespace endivelever::detail
