#include "endivelever/net/socket_endpoint.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <system_error>
#include <unistd.h>

namespace endivelever {

result<socket_endpoint> to_endpoint(const socket_address& address) {
    const auto parts = split_address(address);
    if (!parts) {
        return tl::unexpected(parts.error());
    }
    socket_endpoint out;
    if (parts->host.find(':') == std::string::npos) {
        auto* it = reinterpret_cast<sockaddr_in*>(&out.storage);
        it->sin_family = AF_INET;
        it->sin_port = htons(parts->port);
        inet_pton(AF_INET, parts->host.c_str(), &it->sin_addr);
        out.length = sizeof(sockaddr_in);
    } else {
        auto* it = reinterpret_cast<sockaddr_in6*>(&out.storage);
        it->sin6_family = AF_INET6;
        it->sin6_port = htons(parts->port);
        inet_pton(AF_INET6, parts->host.c_str(), &it->sin6_addr);
        out.length = sizeof(sockaddr_in6);
    }
    return out;
}

result<int> listen_on(const socket_address& address) {
    const auto endpoint = to_endpoint(address);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    const int fd =
        ::socket(endpoint->get()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
    const int on = 1;
    if (fd >= 0 && ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
        ::bind(fd, endpoint->get(), endpoint->length) == 0 && ::listen(fd, SOMAXCONN) == 0) {
        return fd;
    }
    const auto cause = std::generic_category().message(errno);
    if (fd >= 0) {
        ::close(fd);
    }
    return fail("net", 1, "cannot listen on " + address.text + ": " + cause);
}

std::uint16_t bound_port(int fd) {
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length) != 0) {
        return 0;
    }
    if (storage.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

} // namespace endivelever
