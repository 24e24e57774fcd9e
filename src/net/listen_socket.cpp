#include "listen_socket.hpp"

#include <cerrno>
#include <cstring>
#include <memory>
#include <netdb.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endivelever::detail {
namespace {

constexpr int listen_backlog = 1024;
constexpr int error_listen = 1;

struct addrinfo_deleter {
    void operator()(addrinfo* it) const { freeaddrinfo(it); }
};
using addrinfo_ptr = std::unique_ptr<addrinfo, addrinfo_deleter>;

result<addrinfo_ptr> parse_numeric(const socket_address& address) {
    const auto colon = address.text.rfind(':');
    if (colon == std::string::npos) {
        return fail("net", error_listen, "address \"" + address.text + "\" has no port");
    }
    auto host = address.text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo* found = nullptr;
    const int ec = getaddrinfo(host.c_str(), address.text.c_str() + colon + 1, &hints, &found);
    if (ec != 0) {
        return fail("net", error_listen, "address \"" + address.text + "\" is invalid: " + gai_strerror(ec));
    }
    return addrinfo_ptr(found);
}

} // namespace

result<int> open_listen_socket(const socket_address& address) {
    auto parsed = parse_numeric(address);
    if (!parsed) {
        return tl::unexpected<error>(parsed.error());
    }
    const auto& info = **parsed;
    const int fd = socket(info.ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    const bool ready = fd >= 0 && setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
                       bind(fd, info.ai_addr, info.ai_addrlen) == 0 && listen(fd, listen_backlog) == 0;
    if (!ready) {
        const int ec = errno;
        if (fd >= 0) {
            close(fd);
        }
        return fail("net", error_listen, "cannot listen on \"" + address.text + "\": " + std::strerror(ec));
    }
    return fd;
}

std::uint16_t bound_port(int fd) {
    sockaddr_storage local{};
    socklen_t size = sizeof local;
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size) != 0) {
        return 0;
    }
    if (local.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<sockaddr_in6*>(&local)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in*>(&local)->sin_port);
}

} // namespace endivelever::detail
