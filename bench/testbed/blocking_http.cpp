#include "testbed/blocking_http.hpp"

#include <ev.h>

namespace endivelever::testbed {
namespace detail {

constexpr byte_count max_reply{1U << 28U};

} // namespace detail

http_reply call_http(const socket_address& address, const std::string& method, const std::string& target,
                     const std::string& body, const http_headers& headers, duration timeout) {
    http_request request;
    request.method = method;
    request.address = address;
    request.target = target;
    request.headers = headers;
    request.has_body = !body.empty() || method == "PUT" || method == "POST";
    request.content_length = body.size();
    request.body = body;
    request.timeout = timeout;
    http_reply result;
    auto* loop = ev_loop_new(EVFLAG_AUTO);
    {
        http_client client(loop, 0);
        fetch(client, std::move(request), detail::max_reply, [&result, loop](const http_reply& reply) {
            result = reply;
            ev_break(loop, EVBREAK_ALL);
        });
        ev_run(loop, 0);
    }
    ev_loop_destroy(loop);
    return result;
}

bool succeeded(const http_reply& reply) {
    return reply.result.failure == transfer_failure::none && reply.result.status >= 200 &&
           reply.result.status < 300;
}

} // namespace endivelever::testbed
