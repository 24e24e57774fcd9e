#include "http_fixture.hpp"

#include <fstream>
#if defined(__SANITIZE_ADDRESS__)
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace endivelever::http_test {
namespace {

constexpr std::uint64_t stream_size = 100'000'000;
/// A process with a memory limit of 64 MB must be able to forward the stream of 100 MB.
constexpr std::uint64_t max_growth = 64'000'000;

/// Resident memory of this process in bytes. Under AddressSanitizer the resident size includes a quarantine
/// of up to 256 MB of freed blocks, so the currently allocated bytes are returned there.
std::uint64_t memory_in_use() {
#if defined(__SANITIZE_ADDRESS__)
    return __sanitizer_get_current_allocated_bytes();
#else
    std::ifstream in("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
#endif
}

char byte_at(std::uint64_t offset) {
    return static_cast<char>('a' + offset % 19);
}

/// Reverse proxy that forwards each request to one server and streams both bodies.
struct test_proxy {
    struct forwarded_request {
        http_exchange* caller = nullptr;
        transfer_id transfer = 0;
        std::string request_body;
        bool request_ended = false;
    };
    static constexpr std::size_t buffer_limit = 64UL * 1024;
    http_client client;
    std::unique_ptr<http_server> server;
    std::map<http_exchange*, forwarded_request> requests;
    socket_address target;
    std::uint32_t aborted = 0;

    test_proxy(struct ev_loop* loop, socket_address to, bool concurrent)
        : client(loop, 0), target(std::move(to)) {
        http_server::handlers on;
        on.on_head = [this](http_exchange& it) { begin(it); };
        on.on_body = [this](http_exchange& it, std::string_view data) {
            auto& at = requests.at(&it);
            at.request_body.append(data);
            if (at.request_body.size() >= buffer_limit) {
                it.pause_body();
            }
            client.resume(at.transfer);
        };
        on.on_body_end = [this](http_exchange& it) {
            requests.at(&it).request_ended = true;
            client.resume(requests.at(&it).transfer);
        };
        on.on_writable = [this](http_exchange& it) { client.resume(requests.at(&it).transfer); };
        on.on_closed = [this](http_exchange& it, bool is_complete) {
            client.cancel(requests.at(&it).transfer);
            requests.erase(&it);
            aborted += is_complete ? 0 : 1;
        };
        server = std::move(*http_server::open(loop, socket_address("127.0.0.1:0"), server_options(concurrent),
                                              std::move(on)));
    }

    read_state read(forwarded_request& at, char* buf, std::size_t size, std::size_t& count) {
        count = std::min(size, at.request_body.size());
        at.request_body.copy(buf, count);
        at.request_body.erase(0, count);
        if (count > 0) {
            at.caller->resume_body();
            return read_state::data;
        }
        return at.request_ended ? read_state::end : read_state::pause;
    }

    void begin(http_exchange& caller) {
        auto& at = requests[&caller];
        at.caller = &caller;
        http_request request;
        request.method = caller.method();
        request.address = target;
        request.target = caller.target();
        request.content_length = caller.content_length();
        request.has_body = request.content_length != std::optional<std::uint64_t>(0);
        request.timeout = 120s;
        transfer_handlers on;
        on.on_read = [this, &at](char* buf, std::size_t size, std::size_t& count) {
            return read(at, buf, size, count);
        };
        on.on_head = [&caller](unsigned status, const http_headers& headers) {
            const auto* length = find_header(headers, "Content-Length");
            caller.begin_response(status, {}, length ? std::optional(std::stoull(*length)) : std::nullopt);
        };
        on.on_body = [&caller](std::string_view data) {
            if (caller.writable_bytes() == 0) {
                return false;
            }
            caller.write(data);
            return true;
        };
        on.on_done = [&caller](const transfer_result& end) {
            if (end.failure == transfer_failure::none) {
                caller.finish();
            } else {
                caller.abort();
            }
        };
        at.transfer = client.start(std::move(request), std::move(on));
    }
};

/// Server that produces a long response as fast as its response buffer drains.
struct source_server {
    std::uint64_t produced = 0;
    std::unique_ptr<http_server> server;

    source_server(struct ev_loop* loop, bool chunked, bool concurrent) {
        http_server::handlers on;
        on.on_head = [this, chunked](http_exchange& it) {
            it.begin_response(200, {}, chunked ? std::nullopt : std::optional(stream_size));
            produce(it);
        };
        on.on_writable = [this](http_exchange& it) { produce(it); };
        server = std::move(*http_server::open(loop, socket_address("127.0.0.1:0"), server_options(concurrent),
                                              std::move(on)));
    }
    void produce(http_exchange& it) {
        while (produced < stream_size && it.writable_bytes() > 0) {
            std::string part(std::min<std::uint64_t>(stream_size - produced, 65'536), ' ');
            for (auto& c : part) {
                c = byte_at(produced++);
            }
            it.write(part);
            if (produced == stream_size) {
                it.finish();
            }
        }
    }
};

/// Parameters: chunked response; concurrent handling of pipelined requests on both servers.
class streamed_response : public testing::TestWithParam<std::tuple<bool, bool>> {};

// Guards against a proxy that buffers a whole response in memory when the caller reads slowly.
TEST_P(streamed_response, is_forwarded_with_bounded_memory) {
    test_loop loop;
    const auto [chunked, concurrent] = GetParam();
    source_server source(loop.get(), chunked, concurrent);
    test_proxy proxy(loop.get(), loopback(source.server->port()), concurrent);
    auto caller = raw_socket::connect_to(proxy.server->port());
    const auto before = memory_in_use();
    caller.send_some("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    std::uint64_t last = 0;
    ASSERT_TRUE(loop.run_until([&] {
        loop.run_for(200ms);
        return source.produced > 0 && std::exchange(last, source.produced) == source.produced;
    }));
    EXPECT_LT(source.produced, stream_size / 2);
    std::uint64_t body = 0;
    bool intact = true;
    bool head_done = false;
    std::uint64_t peak = memory_in_use();
    std::string tail;
    ASSERT_TRUE(loop.run_until(
        [&] {
            caller.read_available();
            if (!head_done) {
                const auto end = caller.received.find("\r\n\r\n");
                if (end == std::string::npos) {
                    return false;
                }
                head_done = true;
                caller.received.erase(0, end + 4);
            }
            if (!std::get<0>(GetParam())) {
                for (const char c : caller.received) {
                    intact = intact && c == byte_at(body++);
                }
            } else {
                body += caller.received.size();
                tail = (tail + caller.received)
                           .substr(std::max<std::size_t>(tail.size() + caller.received.size(), 5) - 5);
            }
            caller.received.clear();
            peak = std::max(peak, memory_in_use());
            return caller.closed();
        },
        120s));
    EXPECT_TRUE(intact);
    EXPECT_LT(peak - std::min(before, peak), max_growth);
    if (chunked) {
        EXPECT_GT(body, stream_size);
        EXPECT_EQ("0\r\n\r\n", tail);
    } else {
        EXPECT_EQ(stream_size, body);
    }
}

INSTANTIATE_TEST_SUITE_P(framing, streamed_response, testing::Combine(testing::Bool(), testing::Bool()),
                         [](const auto& it) {
                             return std::string(std::get<0>(it.param) ? "chunked_" : "with_length_") +
                                    server_name(std::get<1>(it.param));
                         });

class any_proxy : public testing::TestWithParam<bool> {};

INSTANTIATE_TEST_SUITE_P(servers, any_proxy, testing::Bool(),
                         [](const auto& it) { return server_name(it.param); });

// Guards against a proxy that buffers a whole request in memory when the server reads slowly.
TEST_P(any_proxy, forwards_a_long_request_with_bounded_memory) {
    test_loop loop;
    std::uint64_t received_bytes = 0;
    bool intact = true;
    bool ended = false;
    http_exchange* open = nullptr;
    http_server::handlers on;
    on.on_head = [&](http_exchange& it) {
        open = &it;
        it.pause_body();
    };
    on.on_body = [&](http_exchange& /*it*/, std::string_view data) {
        for (const char c : data) {
            intact = intact && c == byte_at(received_bytes++);
        }
    };
    on.on_body_end = [&](http_exchange& it) {
        ended = true;
        it.respond(200, {}, "stored");
    };
    auto sink = std::move(*http_server::open(loop.get(), socket_address("127.0.0.1:0"),
                                             server_options(GetParam()), std::move(on)));
    test_proxy proxy(loop.get(), loopback(sink->port()), GetParam());
    auto caller = raw_socket::connect_to(proxy.server->port());
    const auto before = memory_in_use();
    caller.send_some("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(stream_size) +
                     "\r\n\r\n");
    std::uint64_t sent = 0;
    std::string part;
    const auto push = [&] {
        part.resize(std::min<std::uint64_t>(stream_size - sent, 262'144));
        for (std::size_t i = 0; i < part.size(); ++i) {
            part[i] = byte_at(sent + i);
        }
        sent += caller.send_some(part);
    };
    std::uint64_t last = 0;
    ASSERT_TRUE(loop.run_until([&] {
        for (int i = 0; i < 50; ++i) {
            push();
            loop.run_for(2ms);
        }
        return open != nullptr && std::exchange(last, sent) == sent;
    }));
    EXPECT_LT(sent, stream_size / 2);
    EXPECT_EQ(0U, received_bytes);
    open->resume_body();
    ASSERT_TRUE(loop.run_until(
        [&] {
            push();
            caller.read_available();
            return caller.received.ends_with("stored");
        },
        120s));
    EXPECT_TRUE(ended);
    EXPECT_TRUE(intact);
    EXPECT_EQ(stream_size, received_bytes);
    EXPECT_LT(memory_in_use() - std::min(before, memory_in_use()), max_growth);
}

// Guards against a proxy that reports the exchange as completed, or continues the request at the server,
// after the caller closed the connection.
TEST_P(any_proxy, caller_disconnect_cancels_the_transfer) {
    test_loop loop;
    echo_server echo(loop.get(), server_options(GetParam()));
    echo.answer = [](http_exchange& /*it*/, const std::string& /*body*/) {};
    test_proxy proxy(loop.get(), echo.address(), GetParam());
    auto caller = raw_socket::connect_to(proxy.server->port());
    caller.send_some("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(loop.run_until([&] { return echo.requests == 1; }));
    caller.close();
    EXPECT_TRUE(loop.run_until([&] { return proxy.aborted == 1 && echo.aborted == 1; }));
}

} // namespace
} // namespace endivelever::http_test
