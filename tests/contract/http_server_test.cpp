#include "http_fixture.hpp"

#include <csignal>
#include <sys/wait.h>

namespace endivelever::http_test {
namespace {

std::size_t count_of(const std::string& text, const std::string& part) {
    std::size_t n = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++n;
    }
    return n;
}

// Guards against an event of a connection that was closed while a child process holds its descriptor.
TEST(sequential_http_server, forgets_a_connection_that_a_child_process_holds) {
    test_loop loop;
    echo_server echo(loop.get(), server_options(false));
    auto caller = raw_socket::connect_to(echo.server->port());
    caller.send_some("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(loop.run_until([&] { return echo.completed == 1; }));
    const auto child = fork();
    if (child == 0) {
        caller.close();
        alarm(20);
        pause();
        _exit(0);
    }
    caller.close();
    EXPECT_TRUE(loop.run_until([&] { return echo.server->open_connections() == 0; }));
    loop.run_for(20ms);
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
}

class any_http_server : public testing::TestWithParam<bool> {
  protected:
    static http_server::options options() { return server_options(GetParam()); }
};

struct bad_request_case {
    const char* name;
    std::string bytes;
    const char* status; ///< start of the status line, or empty if the connection may just close
    bool reaches_handler;
};

class bad_request : public server_test<bad_request_case> {};

// Guards against malformed requests that are passed to the handlers as complete, which allows request
// smuggling.
TEST_P(bad_request, is_refused) {
    test_loop loop;
    auto opts = options();
    opts.max_header_size = byte_count{4096};
    echo_server echo(loop.get(), opts);
    std::uint32_t complete = 0;
    echo.answer = [&](http_exchange& it, const std::string& body) {
        ++complete;
        it.respond(200, {}, body);
    };
    auto caller = raw_socket::connect_to(echo.server->port());
    caller.send_some(given().bytes);
    ASSERT_TRUE(loop.run_until([&] {
        caller.read_available();
        return caller.closed();
    }));
    EXPECT_TRUE(caller.received.starts_with(given().status)) << caller.received;
    EXPECT_EQ(given().reaches_handler ? 1U : 0U, echo.requests);
    EXPECT_EQ(0U, complete);
    EXPECT_EQ(0U, echo.server->open_exchanges());
}

INSTANTIATE_TEST_SUITE_P(
    requests, bad_request,
    testing::Combine(
        testing::Values(
            bad_request_case{"garbage", "\x01\x02\x03 garbage\r\n\r\n", "HTTP/1.", false},
            bad_request_case{"header_too_large",
                             "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(60'000, 'x') + "\r\n\r\n",
                             "HTTP/1.1 431", false},
            bad_request_case{"target_too_large",
                             "GET /" + std::string(60'000, 'x') + " HTTP/1.1\r\nHost: a\r\n\r\n",
                             "HTTP/1.1 4", false},
            bad_request_case{"no_host", "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400", false},
            bad_request_case{"length_not_a_number",
                             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5x\r\n\r\nhello", "HTTP/1.1 400",
                             false},
            bad_request_case{
                "two_lengths",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nhello",
                "HTTP/1.1 400", false},
            bad_request_case{
                "length_and_chunked",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n",
                "HTTP/1.1 400", false},
            bad_request_case{"unknown_encoding",
                             "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nhello",
                             "HTTP/1.1 400", false},
            bad_request_case{"bad_chunk_size",
                             "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                             "HTTP/1.1 400", true}),
        testing::Bool()),
    case_name);

// Guards against a header limit that is enforced only by the size of libmicrohttpd's memory pool.
TEST_P(any_http_server, header_above_the_limit_is_refused_before_the_handler) {
    test_loop loop;
    auto opts = options();
    opts.max_header_size = byte_count{4096};
    echo_server echo(loop.get(), opts);
    auto caller = raw_socket::connect_to(echo.server->port());
    caller.send_some("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(5000, 'x') + "\r\n\r\n");
    ASSERT_TRUE(loop.run_until([&] {
        caller.read_available();
        return !caller.received.empty();
    }));
    EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 431"));
    EXPECT_EQ(0U, echo.requests);
}

// Guards against lost or reordered responses to pipelined requests.
TEST_P(any_http_server, pipelined_requests_are_answered_in_order) {
    test_loop loop;
    echo_server echo(loop.get(), options());
    auto caller = raw_socket::connect_to(echo.server->port());
    std::string all;
    for (const auto* body : {"one", "two", "six"}) {
        all += std::string("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n") + body;
    }
    caller.send_some(all);
    ASSERT_TRUE(loop.run_until([&] {
        caller.read_available();
        return count_of(caller.received, "HTTP/1.1 200") == 3 && caller.received.ends_with("six");
    }));
    EXPECT_LT(caller.received.find("\r\n\r\none"), caller.received.find("\r\n\r\ntwo"));
    EXPECT_LT(caller.received.find("\r\n\r\ntwo"), caller.received.find("\r\n\r\nsix"));
}

// Guards against a server that handles only the part of a request in the first packet.
TEST_P(any_http_server, slow_sender_is_served) {
    test_loop loop;
    echo_server echo(loop.get(), options());
    auto caller = raw_socket::connect_to(echo.server->port());
    const std::string bytes = "POST /slow HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    std::size_t at = 0;
    ASSERT_TRUE(loop.run_until([&] {
        if (at < bytes.size()) {
            at += caller.send_some(bytes.substr(at, 1));
        }
        caller.read_available();
        return caller.received.ends_with("abcde");
    }));
}

struct disconnect_case {
    const char* name;
    bool with_reset;
    bool during_response;
};

class caller_disconnect : public server_test<disconnect_case> {};

// Guards against requests that continue after the caller closed the connection.
TEST_P(caller_disconnect, is_detected_while_the_exchange_waits) {
    test_loop loop;
    echo_server echo(loop.get(), options());
    echo.answer = [&](http_exchange& it, const std::string& /*body*/) {
        if (given().during_response) {
            it.begin_response(200, {}, 100);
            it.write("part");
        }
    };
    auto caller = raw_socket::connect_to(echo.server->port());
    caller.send_some("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(loop.run_until([&] {
        caller.read_available();
        return echo.requests == 1 && (!given().during_response || !caller.received.empty());
    }));
    if (given().with_reset) {
        caller.reset_connection();
    } else {
        caller.close();
    }
    EXPECT_TRUE(loop.run_until([&] { return echo.aborted == 1; }));
    EXPECT_EQ(0U, echo.completed);
}

INSTANTIATE_TEST_SUITE_P(ways, caller_disconnect,
                         testing::Combine(testing::Values(disconnect_case{"close", false, false},
                                                          disconnect_case{"reset", true, false},
                                                          disconnect_case{"close_in_response", false, true},
                                                          disconnect_case{"reset_in_response", true, true}),
                                          testing::Bool()),
                         case_name);

struct truncation_case {
    const char* name;
    const char* request;
    std::optional<std::uint64_t> length;
    bool finish_short; ///< finish() before the stated length instead of abort()
};

class truncated_response : public server_test<truncation_case> {};

// Guards against a truncated body that a caller cannot distinguish from a complete one.
TEST_P(truncated_response, is_not_complete_for_the_caller) {
    test_loop loop;
    echo_server echo(loop.get(), options());
    http_exchange* open = nullptr;
    echo.answer = [&](http_exchange& it, const std::string& /*body*/) {
        open = &it;
        it.begin_response(200, {}, given().length);
        it.write("part");
    };
    auto caller = raw_socket::connect_to(echo.server->port());
    caller.send_some(given().request);
    ASSERT_TRUE(loop.run_until([&] {
        caller.read_available();
        return caller.received.find("part") != std::string::npos;
    }));
    if (given().finish_short) {
        open->finish();
    } else {
        open->abort();
    }
    ASSERT_TRUE(loop.run_until([&] {
        caller.read_available();
        return caller.closed() && echo.aborted == 1;
    }));
    EXPECT_TRUE(caller.reset || given().finish_short);
    EXPECT_EQ(std::string::npos, caller.received.find("\r\n0\r\n"));
}

constexpr const char* plain_get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
INSTANTIATE_TEST_SUITE_P(
    responses, truncated_response,
    testing::Combine(testing::Values(truncation_case{"with_length", plain_get, 100, false},
                                     truncation_case{"chunked", plain_get, {}, false},
                                     truncation_case{
                                         "http_1_0", "GET / HTTP/1.0\r\nHost: a\r\n\r\n", {}, false},
                                     truncation_case{"finished_short", plain_get, 100, true}),
                     testing::Bool()),
    case_name);

struct early_case {
    const char* name;
    std::string head;
    std::size_t body;
};

class early_response : public server_test<early_case> {};

// Guards against an error response that is lost because the caller is still sending the request body.
TEST_P(early_response, reaches_a_caller_that_sends_a_body) {
    test_loop loop;
    http_server::handlers on;
    bool body_end = false;
    on.on_head = [](http_exchange& it) { it.respond(413, {{"X-Outcome", "not-run"}}, "too large"); };
    on.on_body = [](http_exchange& /*it*/, std::string_view /*data*/) {
        ADD_FAILURE() << "body after response";
    };
    on.on_body_end = [&](http_exchange& /*it*/) { body_end = true; };
    auto server = http_server::open(loop.get(), socket_address("127.0.0.1:0"), options(), std::move(on));
    ASSERT_TRUE(server.has_value());
    auto caller = raw_socket::connect_to((*server)->port());
    caller.send_some(given().head);
    const std::string body(given().body, 'x');
    std::size_t at = 0;
    ASSERT_TRUE(loop.run_until([&] {
        at += caller.send_some(std::string_view(body).substr(at));
        caller.read_available();
        return caller.received.ends_with("too large");
    }));
    EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 413"));
    EXPECT_FALSE(body_end);
}

INSTANTIATE_TEST_SUITE_P(
    bodies, early_response,
    testing::Combine(
        testing::Values(
            early_case{"none", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 0},
            early_case{"small", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n", 1000},
            early_case{"medium", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n", 2'000'000},
            early_case{"never_sent", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n", 0},
            early_case{"expect_continue",
                       "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1000\r\n\r\n",
                       0}),
        testing::Bool()),
    case_name);

// Guards against new connections during a graceful stop, and against aborting open requests.
TEST_P(any_http_server, stop_accepting_completes_open_requests_and_closes) {
    test_loop loop;
    echo_server echo(loop.get(), options());
    http_exchange* open = nullptr;
    echo.answer = [&](http_exchange& it, const std::string& /*body*/) { open = &it; };
    auto caller = raw_socket::connect_to(echo.server->port());
    caller.send_some(plain_get);
    ASSERT_TRUE(loop.run_until([&] { return open != nullptr; }));
    echo.server->stop_accepting();
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(echo.server->port());
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_NE(0, connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to));
    close(fd);
    open->respond(200, {}, "late");
    ASSERT_TRUE(loop.run_until([&] {
        caller.read_available();
        return caller.closed();
    }));
    EXPECT_TRUE(caller.received.ends_with("late"));
    EXPECT_NE(std::string::npos, caller.received.find("Connection: close"));
}

// Guards against the abort() in libmicrohttpd when the daemon is stopped with suspended connections.
TEST_P(any_http_server, may_be_destroyed_with_an_open_exchange) {
    test_loop loop;
    auto echo = std::make_unique<echo_server>(loop.get(), options());
    echo->answer = [](http_exchange& /*it*/, const std::string& /*body*/) {};
    auto caller = raw_socket::connect_to(echo->server->port());
    caller.send_some(plain_get);
    ASSERT_TRUE(loop.run_until([&] { return echo->requests == 1; }));
    echo.reset();
    EXPECT_TRUE(loop.run_until([&] {
        caller.read_available();
        return caller.closed();
    }));
}

// Guards against an address in use that is not reported as an error.
TEST_P(any_http_server, error_for_an_address_in_use_contains_the_address) {
    test_loop loop;
    const raw_listener other;
    const auto opened = http_server::open(loop.get(), other.address(), options(), {});
    ASSERT_FALSE(opened.has_value());
    EXPECT_NE(std::string::npos, opened.error().message.find(other.address().text));
}

INSTANTIATE_TEST_SUITE_P(servers, any_http_server, testing::Bool(),
                         [](const auto& it) { return server_name(it.param); });

/// Concurrent server with one caller that sends pipelined requests. The tests respond to the collected
/// exchanges.
struct pipelining_test : testing::Test {
    test_loop loop;
    echo_server echo{loop.get(), server_options(true)};
    std::vector<http_exchange*> open;
    std::vector<std::string> targets;
    raw_socket caller = raw_socket::connect_to(echo.server->port());

    pipelining_test() {
        echo.answer = [this](http_exchange& it, const std::string& /*body*/) {
            open.push_back(&it);
            targets.push_back(it.target());
        };
    }
    void send_requests(std::size_t n) {
        std::string all;
        for (std::size_t i = 0; i < n; ++i) {
            all += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: a\r\n\r\n";
        }
        caller.send_some(all);
    }
    bool wait_for_requests(std::size_t n) {
        return loop.run_until([&] { return open.size() == n; });
    }
    bool wait_for_end() {
        return loop.run_until([&] {
            caller.read_available();
            return caller.closed();
        });
    }
    std::size_t responses() {
        caller.read_available();
        return count_of(caller.received, "HTTP/1.1 ");
    }
};

// Guards against a pipelined request that is not started before the previous response.
TEST_F(pipelining_test, requests_run_concurrently_and_responses_are_sent_in_order) {
    send_requests(3);
    ASSERT_TRUE(wait_for_requests(3));
    open[2]->respond(200, {}, "third");
    open[1]->respond(200, {}, "second");
    loop.run_for(20ms);
    EXPECT_EQ(0U, responses());
    open[0]->respond(200, {}, "first");
    ASSERT_TRUE(loop.run_until([&] { return responses() == 3 && echo.completed == 3; }));
    EXPECT_LT(caller.received.find("first"), caller.received.find("second"));
    EXPECT_LT(caller.received.find("second"), caller.received.find("third"));
}

// Guards against a streamed response that is interleaved with the previous response.
TEST_F(pipelining_test, streamed_response_waits_for_the_previous_response) {
    send_requests(2);
    ASSERT_TRUE(wait_for_requests(2));
    open[1]->begin_response(200, {}, 6);
    open[1]->write("str");
    open[0]->respond(200, {}, "first");
    ASSERT_TRUE(loop.run_until([&] { return responses() == 2 && caller.received.ends_with("str"); }));
    open[1]->write("eam");
    open[1]->finish();
    ASSERT_TRUE(loop.run_until([&] { return echo.completed == 2; }));
    caller.read_available();
    EXPECT_TRUE(caller.received.ends_with("stream"));
}

// Guards against unbounded memory use for the requests of one caller.
TEST_F(pipelining_test, requests_above_the_limit_are_read_when_others_complete) {
    constexpr std::size_t limit = 32;
    send_requests(limit + 1);
    ASSERT_TRUE(wait_for_requests(limit));
    loop.run_for(20ms);
    EXPECT_EQ(limit, open.size());
    open[0]->respond(200, {}, "first");
    ASSERT_TRUE(wait_for_requests(limit + 1));
    EXPECT_EQ("/32", targets.back());
}

// Guards against work for a caller that has left while its next requests are held.
TEST_F(pipelining_test, close_is_noticed_while_next_requests_are_held) {
    send_requests(1);
    ASSERT_TRUE(wait_for_requests(1));
    open[0]->hold_next_requests();
    send_requests(2);
    loop.run_for(20ms);
    EXPECT_EQ(1U, open.size());
    caller.close();
    EXPECT_TRUE(loop.run_until([&] { return echo.aborted == 1; }, 5s));
}

// Guards against unbounded memory use for responses that a caller does not read.
TEST_F(pipelining_test, no_request_is_read_while_the_response_buffer_is_exceeded) {
    send_requests(2);
    ASSERT_TRUE(wait_for_requests(2));
    open[1]->respond(200, {}, std::string(1'000'000, 'x'));
    loop.run_for(5ms);
    caller.send_some("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    loop.run_for(20ms);
    EXPECT_EQ(2U, open.size());
    open[0]->respond(200, {}, "first");
    ASSERT_TRUE(loop.run_until([&] {
        caller.read_available();
        return open.size() == 3;
    }));
}

// Guards against a graceful stop that loses the responses to open requests.
TEST_F(pipelining_test, announce_close_closes_after_the_last_open_request) {
    send_requests(3);
    ASSERT_TRUE(wait_for_requests(3));
    echo.server->announce_close();
    for (auto* it : open) {
        it->respond(200, {}, "done");
    }
    ASSERT_TRUE(wait_for_end());
    EXPECT_EQ(3U, count_of(caller.received, "done"));
    EXPECT_EQ(1U, count_of(caller.received, "Connection: close"));
    EXPECT_LT(caller.received.rfind("done", caller.received.size() - 5),
              caller.received.find("Connection: close"));
}

// Guards against a planned stop that keeps idle connections open, on which callers send further requests.
TEST_F(pipelining_test, drain_closes_an_idle_connection) {
    loop.run_for(5ms);
    echo.server->drain();
    ASSERT_TRUE(wait_for_end());
    EXPECT_EQ("", caller.received);
    EXPECT_TRUE(loop.run_until([&] {
        caller.close();
        return echo.server->open_connections() == 0;
    }));
}

// Guards against a caller that cannot tell whether the request that crossed the close was handled.
TEST_F(pipelining_test, drain_resets_a_connection_on_which_a_request_crosses_the_close) {
    loop.run_for(5ms);
    echo.server->drain();
    ASSERT_TRUE(wait_for_end());
    send_requests(1);
    EXPECT_TRUE(loop.run_until([&] { return echo.server->open_connections() == 0; }));
    EXPECT_TRUE(loop.run_until([&] { return caller.send_some("x") == 0; }));
    EXPECT_EQ(0U, echo.requests);
}

// Guards against a caller that sends its next request before each response, so that the connection never
// closes.
TEST_F(pipelining_test, drain_ends_a_connection_that_always_has_an_open_request) {
    send_requests(3);
    ASSERT_TRUE(wait_for_requests(3));
    echo.server->drain();
    send_requests(1);
    loop.run_for(20ms);
    ASSERT_EQ(3U, open.size());
    for (auto* it : open) {
        it->respond(200, {}, "done");
    }
    ASSERT_TRUE(wait_for_end());
    EXPECT_EQ(3U, count_of(caller.received, "done"));
    EXPECT_EQ(1U, count_of(caller.received, "Connection: close"));
}

// Guards against a request that is dropped because its last byte arrives after the drain began.
TEST_F(pipelining_test, drain_reads_a_request_that_has_begun) {
    caller.send_some("POST /1 HTTP/1.1\r\nHost: a\r\nContent-");
    loop.run_for(20ms);
    echo.server->drain();
    loop.run_for(20ms);
    caller.send_some("Length: 4\r\n\r\nbo");
    loop.run_for(20ms);
    caller.send_some("dy");
    ASSERT_TRUE(wait_for_requests(1));
    open[0]->respond(200, {}, "done");
    ASSERT_TRUE(wait_for_end());
    EXPECT_EQ(1U, count_of(caller.received, "Connection: close"));
}

// Guards against the reset of connections that wait in the queue of the listening socket.
TEST_F(pipelining_test, drain_accepts_waiting_connections) {
    auto waiting = raw_socket::connect_to(echo.server->port());
    waiting.send_some("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    echo.server->drain();
    ASSERT_TRUE(wait_for_requests(1));
    open[0]->respond(200, {}, "done");
    ASSERT_TRUE(loop.run_until([&] {
        waiting.read_available();
        return waiting.closed();
    }));
    EXPECT_EQ(1U, count_of(waiting.received, "done"));
    EXPECT_FALSE(waiting.reset);
}

// Guards against an aborted response that resets the connection before earlier responses are sent.
TEST_F(pipelining_test, abort_takes_effect_after_the_earlier_responses) {
    send_requests(3);
    ASSERT_TRUE(wait_for_requests(3));
    open[1]->begin_response(200, {}, 100);
    open[1]->write("part");
    open[1]->abort();
    loop.run_for(20ms);
    EXPECT_EQ(0U, echo.aborted);
    open[0]->respond(200, {}, "first");
    ASSERT_TRUE(loop.run_until([&] { return echo.completed == 1 && echo.aborted == 2; }));
    EXPECT_EQ(0U, echo.server->open_exchanges());
}

// Guards against requests that continue after the caller closed a connection with several open requests.
TEST_F(pipelining_test, caller_disconnect_aborts_all_its_requests) {
    send_requests(4);
    ASSERT_TRUE(wait_for_requests(4));
    caller.close();
    EXPECT_TRUE(loop.run_until([&] { return echo.aborted == 4; }));
}

// Guards against handling a request that follows one with "Connection: close".
TEST_F(pipelining_test, nothing_is_read_after_the_last_request) {
    caller.send_some("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                     "GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(wait_for_requests(1));
    open[0]->respond(200, {}, "only");
    ASSERT_TRUE(wait_for_end());
    EXPECT_TRUE(caller.received.ends_with("only"));
    EXPECT_EQ(1U, echo.requests);
}

// Guards against an error response to a malformed request that is sent before the earlier responses.
TEST_F(pipelining_test, malformed_request_is_refused_after_the_earlier_responses) {
    caller.send_some("GET /a HTTP/1.1\r\nHost: a\r\n\r\n\x01 garbage\r\n\r\n");
    ASSERT_TRUE(wait_for_requests(1));
    open[0]->respond(200, {}, "first");
    ASSERT_TRUE(wait_for_end());
    EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 200"));
    EXPECT_LT(caller.received.find("first"), caller.received.find("HTTP/1.1 400"));
}

// Guards against connections that stay open after the caller disappeared without closing them.
TEST(idle_connection, is_closed_after_its_limit) {
    test_loop loop;
    auto opts = server_options(true);
    opts.idle_timeout = 1s;
    echo_server echo(loop.get(), opts);
    auto caller = raw_socket::connect_to(echo.server->port());
    EXPECT_TRUE(loop.run_until([&] {
        caller.read_available();
        return caller.closed();
    }));
}

} // namespace
} // namespace endivelever::http_test
