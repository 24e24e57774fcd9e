#include "endivelever/net/http_server.hpp"

#include "deferred_call.hpp"
#include "endivelever/net/event_loop.hpp"
#include "endivelever/net/socket_endpoint.hpp"
#include "http_exchange.hpp"
#include "pipelined_server.hpp"

#include <array>
#include <sys/epoll.h>
#include <unistd.h>

namespace endivelever {
namespace {

using detail::connection_context;
using detail::exchange_state;

constexpr int error_start = 2;
constexpr std::size_t connection_memory_overhead = 32UL * 1024UL;
constexpr std::size_t memory_increment = 16UL * 1024UL;

/// Server implementation on libmicrohttpd; passed to its callbacks.
struct microhttpd_state {
    detail::server_core core;
    struct ev_loop* loop = nullptr;
    MHD_Daemon* daemon = nullptr;
    std::uint16_t port = 0;
    int hangup_fd = -1; ///< epoll descriptor that reports connections closed by the caller
    ev_io requests{};
    ev_io hangups{};
    std::unique_ptr<timer> timeout;
    std::unique_ptr<detail::deferred_call> run_later;
    std::size_t open = 0;
    bool quiesced = false;

    microhttpd_state() = default;
    ~microhttpd_state();
    microhttpd_state(const microhttpd_state&) = delete;
    microhttpd_state& operator=(const microhttpd_state&) = delete;
    microhttpd_state(microhttpd_state&&) = delete;
    microhttpd_state& operator=(microhttpd_state&&) = delete;

    error start(int listen_fd);
    void run();
    void schedule_next_run();
    void handle_hangups();

    static void* on_uri(void* cls, const char* uri, MHD_Connection* handle);
    static MHD_Result on_request(void* cls, MHD_Connection* handle, const char* url, const char* method,
                                 const char* version, const char* data, std::size_t* size, void** request);
    static void on_completed(void* cls, MHD_Connection* handle, void** request,
                             MHD_RequestTerminationCode code);
    static void on_connection(void* cls, MHD_Connection* handle, void** context,
                              MHD_ConnectionNotificationCode code);
};

connection_context* context_of(MHD_Connection* handle) {
    const auto* info = MHD_get_connection_info(handle, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? nullptr : static_cast<connection_context*>(info->socket_context);
}

void* microhttpd_state::on_uri(void* /*cls*/, const char* uri, MHD_Connection* handle) {
    if (auto* context = context_of(handle)) {
        context->target = uri;
    }
    return nullptr;
}

MHD_Result microhttpd_state::on_request(void* cls, MHD_Connection* handle, const char* /*url*/,
                                        const char* method, const char* /*version*/, const char* data,
                                        std::size_t* size, void** request) {
    auto& self = *static_cast<microhttpd_state*>(cls);
    if (*request == nullptr) {
        auto* context = context_of(handle);
        if (context == nullptr || self.core.closing) {
            return MHD_NO;
        }
        auto it = std::make_unique<exchange_state>(self.core, *context, method);
        context->exchange = it.get();
        *request = it.release();
        ++self.open;
    }
    return static_cast<exchange_state*>(*request)->handle(data, size);
}

void microhttpd_state::on_completed(void* cls, MHD_Connection* handle, void** request,
                                    MHD_RequestTerminationCode code) {
    auto& self = *static_cast<microhttpd_state*>(cls);
    const std::unique_ptr<exchange_state> it(static_cast<exchange_state*>(*request));
    *request = nullptr;
    if (it == nullptr) {
        return;
    }
    if (auto* context = context_of(handle)) {
        context->exchange = nullptr;
    }
    --self.open;
    if (!self.core.closing && self.core.callbacks.on_closed) {
        const bool completed = code == MHD_REQUEST_TERMINATED_COMPLETED_OK && !it->aborted();
        self.core.callbacks.on_closed(*it, completed);
    }
}

void microhttpd_state::on_connection(void* cls, MHD_Connection* handle, void** context,
                                     MHD_ConnectionNotificationCode code) {
    auto& self = *static_cast<microhttpd_state*>(cls);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        const std::unique_ptr<connection_context> closed(static_cast<connection_context*>(*context));
        // A child process may hold a copy of the descriptor, and the close alone does not end its events
        // then.
        epoll_ctl(self.hangup_fd, EPOLL_CTL_DEL, closed->fd, nullptr);
        self.core.connections.erase(closed.get());
        *context = nullptr;
        return;
    }
    auto it = std::make_unique<connection_context>();
    it->handle = handle;
    it->fd = MHD_get_connection_info(handle, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    // libmicrohttpd does not poll suspended connections, so their close is detected here. Edge-triggered and
    // without EPOLLIN, this descriptor wakes the loop only when a caller closes its side.
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.ptr = it.get();
    epoll_ctl(self.hangup_fd, EPOLL_CTL_ADD, it->fd, &event);
    self.core.connections.insert(it.get());
    *context = it.release();
}

void microhttpd_state::handle_hangups() {
    std::array<epoll_event, 64> events{};
    const int n = epoll_wait(hangup_fd, events.data(), static_cast<int>(events.size()), 0);
    for (int i = 0; i < n; ++i) {
        auto& context = *static_cast<connection_context*>(events.at(static_cast<std::size_t>(i)).data.ptr);
        context.peer_closed = true;
        if (context.exchange != nullptr) {
            context.exchange->on_peer_closed();
        }
    }
}

void microhttpd_state::run() {
    MHD_run(daemon);
    schedule_next_run();
}

void microhttpd_state::schedule_next_run() {
    MHD_UNSIGNED_LONG_LONG wait_ms = 0;
    if (MHD_get_timeout(daemon, &wait_ms) != MHD_YES) {
        return;
    }
    if (wait_ms == 0) {
        run_later->schedule();
    } else if (!timeout->active()) {
        timeout->start(std::chrono::milliseconds(wait_ms));
    }
}

error microhttpd_state::start(int listen_fd) {
    port = bound_port(listen_fd);
    hangup_fd = epoll_create1(EPOLL_CLOEXEC);
    const auto idle_s = std::chrono::duration_cast<std::chrono::seconds>(core.opts.idle_timeout).count();
    daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, &microhttpd_state::on_request, this,
        MHD_OPTION_LISTEN_SOCKET, listen_fd, MHD_OPTION_CONNECTION_LIMIT, core.opts.max_connections,
        MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(idle_s), MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        static_cast<std::size_t>(core.opts.max_header_size.value * 2 + connection_memory_overhead),
        MHD_OPTION_CONNECTION_MEMORY_INCREMENT, memory_increment, MHD_OPTION_STRICT_FOR_CLIENT, 1,
        MHD_OPTION_URI_LOG_CALLBACK, &microhttpd_state::on_uri, this, MHD_OPTION_NOTIFY_COMPLETED,
        &microhttpd_state::on_completed, this, MHD_OPTION_NOTIFY_CONNECTION, &microhttpd_state::on_connection,
        this, MHD_OPTION_END);
    if (daemon == nullptr) {
        close(listen_fd);
        return make_error("net", error_start, "cannot start libmicrohttpd on port " + std::to_string(port));
    }
    const int mhd_fd = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    timeout = std::make_unique<timer>(loop, [this] { run(); });
    run_later = std::make_unique<detail::deferred_call>(loop, [this] { run(); });
    core.schedule_run = [this] { run_later->schedule(); };
    ev_io_init(
        &requests,
        [](struct ev_loop*, ev_io* it, int) {
            static_cast<microhttpd_state*>(it->data)->run_later->schedule();
        },
        mhd_fd, EV_READ);
    ev_io_init(
        &hangups,
        [](struct ev_loop*, ev_io* it, int) { static_cast<microhttpd_state*>(it->data)->handle_hangups(); },
        hangup_fd, EV_READ);
    requests.data = this;
    hangups.data = this;
    ev_io_start(loop, &requests);
    ev_io_start(loop, &hangups);
    return {};
}

microhttpd_state::~microhttpd_state() {
    core.closing = true;
    if (daemon != nullptr) {
        ev_io_stop(loop, &requests);
        ev_io_stop(loop, &hangups);
    }
    timeout.reset();
    if (daemon != nullptr) {
        // libmicrohttpd cannot be stopped while connections are suspended.
        for (auto* it : core.connections) {
            if (it->exchange != nullptr) {
                it->exchange->abort();
            }
        }
        MHD_run(daemon);
        MHD_stop_daemon(daemon);
    }
    if (hangup_fd >= 0) {
        close(hangup_fd);
    }
}

class microhttpd_server final : public http_server {
  public:
    explicit microhttpd_server(std::unique_ptr<microhttpd_state> it) : m_state(std::move(it)) {}

    [[nodiscard]] std::uint16_t port() const override { return m_state->port; }
    [[nodiscard]] std::size_t open_exchanges() const override { return m_state->open; }
    [[nodiscard]] std::size_t open_connections() const override { return m_state->core.connections.size(); }
    void announce_close() override { m_state->core.stopping = true; }
    void stop_accepting() override;
    void drain() override { stop_accepting(); }

  private:
    std::unique_ptr<microhttpd_state> m_state;
};

void microhttpd_server::stop_accepting() {
    if (m_state->quiesced) {
        return;
    }
    m_state->quiesced = true;
    m_state->core.stopping = true;
    const auto fd = MHD_quiesce_daemon(m_state->daemon);
    if (fd != MHD_INVALID_SOCKET) {
        close(fd);
    }
}

} // namespace

result<std::unique_ptr<http_server>> http_server::open(struct ev_loop* loop, const socket_address& address,
                                                       const options& opts, handlers callbacks) {
    const auto listen_fd = listen_on(address);
    if (!listen_fd) {
        return tl::unexpected<error>(listen_fd.error());
    }
    if (opts.concurrent_requests) {
        return detail::make_pipelined_server(loop, *listen_fd, opts, std::move(callbacks));
    }
    auto it = std::make_unique<microhttpd_state>();
    it->loop = loop;
    it->core.opts = opts;
    it->core.callbacks = std::move(callbacks);
    if (auto failure = it->start(*listen_fd); failure.id != 0) {
        return tl::unexpected<error>(std::move(failure));
    }
    return std::make_unique<microhttpd_server>(std::move(it));
}

} // namespace endivelever
