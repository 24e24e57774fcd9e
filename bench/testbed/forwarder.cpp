#include "testbed/forwarder.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace endivelever::testbed {
namespace detail {

constexpr std::size_t buffer_limit = 1U << 16U;
constexpr int backlog = 256;

/// Bytes on their way in one direction.
struct byte_stream {
    int from = -1;
    int to = -1;
    std::string buffer;
    bool source_ended = false;
    bool target_ended = false; ///< the end was passed on
};

struct forwarded_connection {
    byte_stream to_target;
    byte_stream to_source;
    bool silent = false;
    bool failed = false;
};

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/// @return socket bound to a loopback port, or -1
int bind_loopback(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    const auto address = loopback(port);
    if (fd >= 0 && setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
        bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        return fd;
    }
    if (fd >= 0) {
        close(fd);
    }
    return -1;
}

std::uint16_t port_of(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/// @return connected non-blocking socket, or -1
int connect_to(const sockaddr_in& address) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd >= 0 && connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        fcntl(fd, F_SETFL, O_NONBLOCK);
        return fd;
    }
    if (fd >= 0) {
        close(fd);
    }
    return -1;
}

void close_with_reset(int fd) {
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(fd);
}

bool would_block(ssize_t n) {
    return n < 0 && (errno == EAGAIN || errno == EINTR);
}

/// Reads what fits. @return false if the connection failed
bool fill(byte_stream& it) {
    std::array<char, buffer_limit> buf{};
    const auto n = read(it.from, buf.data(), buffer_limit - it.buffer.size());
    if (n > 0) {
        it.buffer.append(buf.data(), static_cast<std::size_t>(n));
    } else if (n == 0) {
        it.source_ended = true;
    }
    return n >= 0 || would_block(n);
}

/// Writes what the other side takes, and passes on the end. @return false if the connection failed
bool drain(byte_stream& it) {
    if (!it.buffer.empty()) {
        const auto n = send(it.to, it.buffer.data(), it.buffer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            it.buffer.erase(0, static_cast<std::size_t>(n));
        } else if (!would_block(n)) {
            return false;
        }
    }
    if (it.buffer.empty() && it.source_ended && !it.target_ended) {
        shutdown(it.to, SHUT_WR);
        it.target_ended = true;
    }
    return true;
}

bool held(const forwarded_connection& it, forward_mode mode, bool to_target) {
    if (it.silent || mode == forward_mode::hold_both) {
        return true;
    }
    return mode == (to_target ? forward_mode::hold_to_target : forward_mode::hold_to_source);
}

/// Events that one end waits for: it reads `in` and writes `out`.
short wanted(const byte_stream& in, bool in_held, const byte_stream& out, bool out_held) {
    const bool reads = !in_held && !in.source_ended && in.buffer.size() < buffer_limit;
    const bool writes = !out_held && !out.buffer.empty();
    return static_cast<short>((reads ? POLLIN : 0) | (writes ? POLLOUT : 0));
}

void pump(forwarded_connection& it, forward_mode mode) {
    for (auto* stream : {&it.to_target, &it.to_source}) {
        if (held(it, mode, stream == &it.to_target)) {
            continue;
        }
        const bool reads = !stream->source_ended && stream->buffer.size() < buffer_limit;
        it.failed = it.failed || (reads && !fill(*stream)) || !drain(*stream);
    }
}

bool ended(const forwarded_connection& it) {
    return it.failed || (it.to_target.target_ended && it.to_source.target_ended);
}

} // namespace detail

struct forwarder::state {
    int reserve_fd = -1; ///< bound, never listens: keeps the port while connections are refused
    int listen_fd = -1;  ///< -1 while connections are refused
    int wake_fd = -1;
    std::uint16_t port = 0;
    sockaddr_in target_address{};
    std::atomic<forward_mode> mode = forward_mode::pass;
    std::atomic<bool> silence = false;
    std::atomic<bool> stop = false;
    std::atomic<std::uint64_t> requested = 0; ///< changes asked for
    std::atomic<std::uint64_t> applied = 0;   ///< changes that the thread has applied
    std::vector<detail::forwarded_connection> connections;
    std::thread thread;

    ~state();
    void run();
    bool open_listener();
    void apply_changes();
    void request_change();
    void wait() const;
    void accept_one();
    void remove_ended();
    void wake() const;
};

forwarder::state::~state() {
    if (thread.joinable()) {
        stop = true;
        wake();
        thread.join();
    }
    for (const auto& it : connections) {
        detail::close_with_reset(it.to_target.from);
        detail::close_with_reset(it.to_target.to);
    }
    for (const int fd : {listen_fd, reserve_fd, wake_fd}) {
        if (fd >= 0) {
            close(fd);
        }
    }
}

void forwarder::state::wake() const {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = write(wake_fd, &one, sizeof one);
}

void forwarder::state::wait() const {
    std::vector<pollfd> fds{{listen_fd, POLLIN, 0}, {wake_fd, POLLIN, 0}};
    const auto now = mode.load();
    for (const auto& it : connections) {
        const bool forth = detail::held(it, now, true);
        const bool back = detail::held(it, now, false);
        const auto source = detail::wanted(it.to_target, forth, it.to_source, back);
        const auto target = detail::wanted(it.to_source, back, it.to_target, forth);
        // A descriptor without events would still report a hang-up and keep the thread busy.
        fds.push_back({source == 0 ? -1 : it.to_target.from, source, 0});
        fds.push_back({target == 0 ? -1 : it.to_target.to, target, 0});
    }
    poll(fds.data(), fds.size(), -1);
    if (fds[1].revents != 0) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto n = read(wake_fd, &count, sizeof count);
    }
}

void forwarder::state::accept_one() {
    const int source = accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (source < 0) {
        return;
    }
    const int target = detail::connect_to(target_address);
    if (target < 0) {
        detail::close_with_reset(source);
        return;
    }
    detail::forwarded_connection added;
    added.to_target.from = source;
    added.to_target.to = target;
    added.to_source.from = target;
    added.to_source.to = source;
    connections.push_back(std::move(added));
}

void forwarder::state::remove_ended() {
    std::erase_if(connections, [this](const auto& it) {
        const bool over = detail::ended(it) || mode == forward_mode::refuse;
        if (over) {
            const auto end = it.failed || mode == forward_mode::refuse ? detail::close_with_reset
                                                                       : [](int fd) { close(fd); };
            end(it.to_target.from);
            end(it.to_target.to);
        }
        return over;
    });
}

bool forwarder::state::open_listener() {
    listen_fd = detail::bind_loopback(port);
    return listen_fd >= 0 && listen(listen_fd, detail::backlog) == 0 &&
           fcntl(listen_fd, F_SETFL, O_NONBLOCK) == 0;
}

void forwarder::state::apply_changes() {
    const auto seen = requested.load();
    if (seen == applied) {
        return;
    }
    if (silence.exchange(false)) {
        for (auto& it : connections) {
            it.silent = true;
        }
    }
    if (mode == forward_mode::refuse && listen_fd >= 0) {
        close(listen_fd);
        listen_fd = -1;
    } else if (mode != forward_mode::refuse && listen_fd < 0) {
        open_listener();
    }
    applied = seen;
    applied.notify_all();
}

/// Returns when the thread has applied everything asked for so far.
void forwarder::state::request_change() {
    const auto wanted = ++requested;
    wake();
    for (auto done = applied.load(); done < wanted; done = applied.load()) {
        applied.wait(done);
    }
}

void forwarder::state::run() {
    while (!stop) {
        wait();
        apply_changes();
        accept_one();
        for (auto& it : connections) {
            detail::pump(it, mode);
        }
        remove_ended();
    }
}

forwarder::forwarder(std::unique_ptr<state> it) : m_state(std::move(it)) {}
forwarder::~forwarder() = default;

result<std::unique_ptr<forwarder>> forwarder::open(const socket_address& target, std::uint16_t port) {
    const auto to = split_address(target);
    if (!to) {
        return tl::unexpected<error>(to.error());
    }
    auto it = std::make_unique<state>();
    it->target_address = detail::loopback(to->port);
    if (inet_pton(AF_INET, to->host.c_str(), &it->target_address.sin_addr) != 1) {
        return fail("testbed", 20, "forwarder target is not an IPv4 address");
    }
    it->reserve_fd = detail::bind_loopback(port);
    it->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    it->port = it->reserve_fd < 0 ? std::uint16_t{0} : detail::port_of(it->reserve_fd);
    if (it->reserve_fd < 0 || !it->open_listener()) {
        return fail("testbed", 6, "forwarder cannot listen");
    }
    it->thread = std::thread([raw = it.get()] { raw->run(); });
    return std::unique_ptr<forwarder>(new forwarder(std::move(it)));
}

socket_address forwarder::address() const {
    return socket_address("127.0.0.1:" + std::to_string(m_state->port));
}

void forwarder::set_mode(forward_mode mode) {
    m_state->mode = mode;
    m_state->request_change();
}

void forwarder::silence_open_connections() {
    m_state->silence = true;
    m_state->request_change();
}

reserved_port::reserved_port() : m_fd(detail::bind_loopback(0)) {
    if (m_fd < 0) {
        throw std::runtime_error("no free loopback port");
    }
    m_address = socket_address("127.0.0.1:" + std::to_string(detail::port_of(m_fd)));
}

reserved_port::reserved_port(reserved_port&& other) noexcept
    : m_fd(std::exchange(other.m_fd, -1)), m_address(std::move(other.m_address)) {}

reserved_port::~reserved_port() {
    if (m_fd >= 0) {
        close(m_fd);
    }
}

} // namespace endivelever::testbed
