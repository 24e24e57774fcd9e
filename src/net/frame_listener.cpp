#include "endivelever/base/log.hpp"
#include "endivelever/net/frame_link.hpp"
#include "endivelever/net/socket_endpoint.hpp"

#include <cerrno>
#include <ev.h>
#include <system_error>
#include <unistd.h>

namespace endivelever {
namespace {

/// Delay before accepting again after accept() failed, e.g. for lack of file descriptors. The pending
/// connection keeps the listening socket readable, so that the loop would otherwise spin.
constexpr ev_tstamp accept_pause_s = 0.1;
constexpr int max_accepts_per_event = 16;

} // namespace

struct frame_listener::state {
    struct ev_loop* loop = nullptr;
    int fd = -1;
    std::function<void(int)> on_accept;
    ev_io watcher{};
    ev_timer retry_timer{};

    state(struct ev_loop* on_loop, int socket, std::function<void(int)> callback)
        : loop(on_loop), fd(socket), on_accept(std::move(callback)) {
        ev_init(&watcher, [](struct ev_loop*, ev_io* it, int) { static_cast<state*>(it->data)->accept(); });
        ev_init(&retry_timer,
                [](struct ev_loop*, ev_timer* it, int) { static_cast<state*>(it->data)->start_accepting(); });
        ev_io_set(&watcher, fd, EV_READ);
        watcher.data = this;
        retry_timer.data = this;
        start_accepting();
    }

    ~state() {
        ev_io_stop(loop, &watcher);
        ev_timer_stop(loop, &retry_timer);
        ::close(fd);
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;

    void start_accepting() { ev_io_start(loop, &watcher); }

    void accept() {
        for (int i = 0; i < max_accepts_per_event; ++i) {
            const int socket = ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (socket >= 0) {
                on_accept(socket);
                continue;
            }
            if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
                pause_accepting(errno);
            }
            return;
        }
    }

    void pause_accepting(int code) {
        LOG(WARNING) << "[net] accept failed: " << std::generic_category().message(code);
        ev_io_stop(loop, &watcher);
        ev_timer_set(&retry_timer, accept_pause_s, 0.0);
        ev_timer_start(loop, &retry_timer);
    }
};

result<std::unique_ptr<frame_listener>> frame_listener::open(struct ev_loop* loop,
                                                             const socket_address& address,
                                                             std::function<void(int fd)> on_accept) {
    const auto fd = listen_on(address);
    if (!fd) {
        return tl::unexpected(fd.error());
    }
    auto it = std::make_unique<state>(loop, *fd, std::move(on_accept));
    return std::unique_ptr<frame_listener>(new frame_listener(std::move(it)));
}

frame_listener::frame_listener(std::unique_ptr<state> it) : m_state(std::move(it)) {}

frame_listener::~frame_listener() = default;

std::uint16_t frame_listener::port() const {
    return bound_port(m_state->fd);
}

} // namespace endivelever
