#include "endivelever/config/settings.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace endivelever {
namespace {

constexpr const char* allowed_address =
    "allowed is <IPv4>:<port> or [<IPv6>]:<port>, for instance 127.0.0.1:8080";

bool is_ip(int family, const std::string& host) {
    in6_addr buf{};
    return inet_pton(family, host.c_str(), &buf) == 1;
}

bool parse_port(const std::string& text, std::uint16_t& port) {
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, port);
    return ec == std::errc() && stop == end;
}

} // namespace

result<host_and_port> split_address(const socket_address& address) {
    const auto invalid = [&address] {
        return fail("config", 10, "address \"" + address.text + "\" is invalid; " + allowed_address);
    };
    const auto colon = address.text.rfind(':');
    if (colon == std::string::npos) {
        return invalid();
    }
    host_and_port out;
    out.host = address.text.substr(0, colon);
    if (!parse_port(address.text.substr(colon + 1), out.port)) {
        return invalid();
    }
    const bool bracketed = out.host.size() > 2 && out.host.front() == '[' && out.host.back() == ']';
    if (bracketed) {
        out.host = out.host.substr(1, out.host.size() - 2);
    }
    if (!is_ip(bracketed ? AF_INET6 : AF_INET, out.host)) {
        return invalid();
    }
    return out;
}

} // namespace endivelever
