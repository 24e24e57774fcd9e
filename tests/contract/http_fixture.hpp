#pragma once

#include "endivelever/net/event_loop.hpp"
#include "endivelever/net/http_client.hpp"
#include "endivelever/net/http_server.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <ev.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>

namespace endivelever::http_test {

using namespace std::chrono_literals;

/// Separate libev loop that can run until a condition holds.
class test_loop {
  public:
    test_loop() : m_loop(ev_loop_new(EVFLAG_AUTO | EVFLAG_NOSIGMASK)) {}
    ~test_loop() { ev_loop_destroy(m_loop); }
    test_loop(const test_loop&) = delete;
    test_loop& operator=(const test_loop&) = delete;
    test_loop(test_loop&&) = delete;
    test_loop& operator=(test_loop&&) = delete;

    [[nodiscard]] struct ev_loop* get() const { return m_loop; }

    /// Checks the condition at least every millisecond. @return false if it did not hold within `limit`
    template <typename Condition>
    bool run_until(Condition condition, duration limit = 30s) {
        timer tick(m_loop, [] {});
        tick.start(1ms, 1ms);
        const auto end = boot_clock::now() + limit;
        while (!condition()) {
            if (boot_clock::now() > end) {
                return false;
            }
            ev_run(m_loop, EVRUN_ONCE);
        }
        return true;
    }

    void run_for(duration length) {
        run_until([] { return false; }, length);
    }

  private:
    struct ev_loop* m_loop;
};

/// Non-blocking TCP socket that sends and receives raw bytes.
class raw_socket {
  public:
    explicit raw_socket(int fd) : m_fd(fd) { fcntl(m_fd, F_SETFL, fcntl(m_fd, F_GETFL) | O_NONBLOCK); }
    ~raw_socket() { close(); }
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;
    raw_socket(raw_socket&& other) noexcept : m_fd(std::exchange(other.m_fd, -1)) {}
    raw_socket& operator=(raw_socket&&) = delete;

    static raw_socket connect_to(std::uint16_t port, const std::string& host = "127.0.0.1") {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &to.sin_addr);
        EXPECT_EQ(0, connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to));
        return raw_socket(fd);
    }

    /// @return number of bytes sent; may be less than data.size()
    std::size_t send_some(std::string_view data) const {
        const auto n = ::send(m_fd, data.data(), data.size(), MSG_NOSIGNAL);
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    /// Appends the available bytes to `received`.
    void read_available() {
        std::array<char, 65536> buf{};
        for (;;) {
            const auto n = ::recv(m_fd, buf.data(), buf.size(), 0);
            if (n > 0) {
                received.append(buf.data(), static_cast<std::size_t>(n));
                continue;
            }
            ended = ended || n == 0;
            reset = reset || (n < 0 && errno == ECONNRESET);
            return;
        }
    }
    [[nodiscard]] bool closed() const { return ended || reset; }
    void close() {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }
    /// Resets the connection.
    void reset_connection() {
        const linger discard_unsent{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &discard_unsent, sizeof discard_unsent);
        close();
    }

    std::string received;
    bool ended = false;
    bool reset = false;

  private:
    int m_fd;
};

/// Listening socket on a free loopback port.
class raw_listener {
  public:
    raw_listener() : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(0, bind(m_fd, reinterpret_cast<sockaddr*>(&at), sizeof at));
        EXPECT_EQ(0, listen(m_fd, 64));
        socklen_t size = sizeof at;
        getsockname(m_fd, reinterpret_cast<sockaddr*>(&at), &size);
        m_port = ntohs(at.sin_port);
    }
    ~raw_listener() { close(m_fd); }
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;
    raw_listener(raw_listener&&) = delete;
    raw_listener& operator=(raw_listener&&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] socket_address address() const {
        return socket_address("127.0.0.1:" + std::to_string(m_port));
    }
    /// @return an accepted connection, or nullptr if none is pending
    [[nodiscard]] std::unique_ptr<raw_socket> accept_one() const {
        const int fd = ::accept(m_fd, nullptr, nullptr);
        return fd < 0 ? nullptr : std::make_unique<raw_socket>(fd);
    }

  private:
    int m_fd;
    std::uint16_t m_port = 0;
};

inline socket_address loopback(std::uint16_t port) {
    return socket_address("127.0.0.1:" + std::to_string(port));
}

/// @param concurrent  pipelined requests are handled concurrently
inline http_server::options server_options(bool concurrent) {
    http_server::options opts;
    opts.concurrent_requests = concurrent;
    return opts;
}

inline const char* server_name(bool concurrent) {
    return concurrent ? "concurrent" : "sequential";
}

/// Runs each case on the sequential and on the concurrent server.
template <typename Case>
class server_test : public testing::TestWithParam<std::tuple<Case, bool>> {
  protected:
    const Case& given() const { return std::get<0>(this->GetParam()); }
    http_server::options options() const { return server_options(std::get<1>(this->GetParam())); }
};

/// Test name of a server_test parameter whose case has a `name`.
constexpr auto case_name = [](const auto& it) {
    return std::string(std::get<0>(it.param).name) + "_" + server_name(std::get<1>(it.param));
};

/// Server that collects each request body and calls `answer` to respond; by default it echoes the body.
struct echo_server {
    std::map<http_exchange*, std::string> bodies;
    std::function<void(http_exchange&, const std::string&)> answer;
    std::uint32_t requests = 0;
    std::uint32_t completed = 0;
    std::uint32_t aborted = 0;
    std::unique_ptr<http_server> server;

    explicit echo_server(struct ev_loop* loop, http_server::options opts = {}) {
        answer = [](http_exchange& it, const std::string& body) { it.respond(200, {}, body); };
        http_server::handlers on;
        on.on_head = [this](http_exchange& it) {
            ++requests;
            bodies[&it] = "";
        };
        on.on_body = [this](http_exchange& it, std::string_view data) { bodies[&it].append(data); };
        on.on_body_end = [this](http_exchange& it) { answer(it, bodies[&it]); };
        on.on_closed = [this](http_exchange& it, bool is_complete) {
            bodies.erase(&it);
            ++(is_complete ? completed : aborted);
        };
        auto opened = http_server::open(loop, socket_address("127.0.0.1:0"), opts, std::move(on));
        EXPECT_TRUE(opened.has_value());
        server = std::move(*opened);
    }
    [[nodiscard]] socket_address address() const { return loopback(server->port()); }
};

} // namespace endivelever::http_test
