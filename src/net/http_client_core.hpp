#pragma once

#include "deferred_call.hpp"
#include "endivelever/net/event_loop.hpp"
#include "http_transfer.hpp"

#include <ev.h>
#include <memory>
#include <unordered_map>
#include <vector>

namespace endivelever::detail {

/// Open socket of a libcurl connection.
struct client_socket {
    ev_io watcher{};
    client_core* core = nullptr;
    std::string address;
    bool busy = true;
    bool polled = false; ///< libcurl polls the socket for a transfer

    /// Shuts the connection down as soon as it becomes readable: no response is expected on an idle
    /// connection, so this is a close by the server or unsolicited data.
    void watch_while_idle(struct ev_loop* loop);
};

/// Implementation of http_client: a libcurl multi handle driven by a libev loop.
struct client_core {
    struct ev_loop* loop = nullptr;
    CURLM* multi = nullptr;
    std::unique_ptr<timer> timeout;
    std::unique_ptr<timer> progress_check;
    std::unique_ptr<deferred_call> run_later;
    std::unordered_map<transfer_id, std::unique_ptr<transfer_state>> transfers;
    std::unordered_map<curl_socket_t, std::unique_ptr<client_socket>> sockets;
    std::vector<transfer_id> to_add;
    std::vector<transfer_id> to_resume;
    std::vector<transfer_id> to_cancel;
    transfer_id last_id = 0;
    time_point last_progress_check{};
    bool timeout_due = false;

    client_core(struct ev_loop* event_loop, std::uint32_t max_connections_per_address);
    ~client_core();
    client_core(const client_core&) = delete;
    client_core& operator=(const client_core&) = delete;
    client_core(client_core&&) = delete;
    client_core& operator=(client_core&&) = delete;

    transfer_id start(http_request request, transfer_handlers callbacks);
    void cancel(transfer_id id);
    void resume(transfer_id id);
    void discard_idle(const std::string& address);

    static curl_socket_t open_socket(void* data, curlsocktype purpose, struct curl_sockaddr* address);
    static int close_socket(void* data, curl_socket_t fd);

  private:
    void run();
    void add_waiting();
    void resume_waiting();
    void cancel_waiting();
    void collect_finished();
    void finish(transfer_state& it, CURLcode code);
    void release(transfer_state& it);
    void check_progress();
    void mark_idle(CURL* easy);
    void socket_action(curl_socket_t fd, int flags);

    static int on_socket(CURL* easy, curl_socket_t fd, int what, void* data, void* socket_data);
    static int on_timer(CURLM* multi, long timeout_ms, void* data);
    static void on_ready(struct ev_loop* loop, ev_io* watcher, int events);
};

} // namespace endivelever::detail
