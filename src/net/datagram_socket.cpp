#include "endivelever/net/datagram_socket.hpp"

#include "endivelever/net/socket_endpoint.hpp"

#include <array>
#include <cerrno>
#include <ev.h>
#include <system_error>
#include <unistd.h>

namespace endivelever {
namespace {

constexpr int error_bind = 7;
constexpr std::size_t receive_buffer_size = 65'536; ///< holds any UDP payload
/// Further datagrams of a burst are received in the next loop iteration, so that other events are not
/// delayed.
constexpr int max_datagrams_per_event = 64;

} // namespace

struct datagram_socket::state {
    struct ev_loop* loop = nullptr;
    int fd = -1;
    ev_io watcher{};
    receiver on_datagram;

    ~state() {
        if (fd >= 0) {
            ev_io_stop(loop, &watcher);
            close(fd);
        }
    }

    void receive() {
        static thread_local std::array<std::uint8_t, receive_buffer_size> buf;
        for (int i = 0; i < max_datagrams_per_event; ++i) {
            const auto n = recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
            if (n <= 0) {
                return;
            }
            on_datagram({buf.data(), static_cast<std::size_t>(n)});
        }
    }
};

datagram_socket::datagram_socket(std::unique_ptr<state> it) : m_state(std::move(it)) {}

datagram_socket::~datagram_socket() = default;

result<std::unique_ptr<datagram_socket>>
datagram_socket::open(struct ev_loop* loop, const socket_address& address, receiver on_datagram) {
    const auto endpoint = to_endpoint(address);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    auto it = std::make_unique<state>();
    it->loop = loop;
    it->on_datagram = std::move(on_datagram);
    const int fd = ::socket(endpoint->get()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || ::bind(fd, endpoint->get(), endpoint->length) != 0) {
        const auto cause = std::generic_category().message(errno);
        if (fd >= 0) {
            ::close(fd);
        }
        return fail("net", error_bind, "cannot bind UDP socket to " + address.text + ": " + cause);
    }
    it->fd = fd;
    ev_io_init(
        &it->watcher, [](struct ev_loop*, ev_io* w, int) { static_cast<state*>(w->data)->receive(); }, fd,
        EV_READ);
    it->watcher.data = it.get();
    ev_io_start(loop, &it->watcher);
    return std::unique_ptr<datagram_socket>(new datagram_socket(std::move(it)));
}

bool datagram_socket::send(const socket_address& to, std::string_view payload) {
    const auto endpoint = to_endpoint(to);
    if (!endpoint) {
        return false;
    }
    const auto n = sendto(m_state->fd, payload.data(), payload.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                          endpoint->get(), endpoint->length);
    return n == static_cast<ssize_t>(payload.size());
}

std::uint16_t datagram_socket::port() const {
    return bound_port(m_state->fd);
}

} // namespace endivelever
