#include "http_fixture.hpp"

#include <vector>

namespace endivelever::http_test {
namespace {

/// Server that answers each request with the bytes of the next step, then keeps, closes or resets the
/// connection. The last step is repeated.
struct scripted_server {
    enum class after { keep, close, reset };
    struct step {
        std::string response;
        after then = after::keep;
    };
    raw_listener listener;
    std::vector<step> steps;
    std::vector<std::unique_ptr<raw_socket>> peers;
    std::size_t requests = 0;
    timer poll;

    scripted_server(struct ev_loop* loop, std::vector<step> script)
        : steps(std::move(script)), poll(loop, [this] { serve(); }) {
        poll.start(1ms, 1ms);
    }
    void serve() {
        while (auto peer = listener.accept_one()) {
            peers.push_back(std::move(peer));
        }
        for (auto& peer : peers) {
            peer->read_available();
            if (peer->received.find("\r\n\r\n") == std::string::npos) {
                continue;
            }
            peer->received.clear();
            const auto& now = steps.at(std::min(requests, steps.size() - 1));
            ++requests;
            peer->send_some(now.response);
            if (now.then == after::close) {
                peer->close();
            } else if (now.then == after::reset) {
                peer->reset_connection();
            }
        }
    }
};

using after = scripted_server::after;
constexpr const char* complete_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

http_reply fetch_and_wait(test_loop& loop, http_client& client, http_request request) {
    std::optional<http_reply> reply;
    fetch(client, std::move(request), byte_count{1000}, [&](const http_reply& it) { reply = it; });
    EXPECT_TRUE(loop.run_until([&] { return reply.has_value(); }));
    return reply.value_or(http_reply{});
}

struct broken_case {
    const char* name;
    const char* response;
    after then;
    transfer_failure expected;
};

class broken_response : public testing::TestWithParam<broken_case> {};

// Guards against a truncated or malformed response that is reported as complete.
TEST_P(broken_response, has_the_expected_failure) {
    test_loop loop;
    scripted_server server(loop.get(), {{GetParam().response, GetParam().then}});
    http_client client(loop.get(), 0);
    http_request request;
    request.address = server.listener.address();
    request.progress_timeout = 200ms;
    const auto reply = fetch_and_wait(loop, client, request);
    EXPECT_EQ(GetParam().expected, reply.result.failure) << reply.result.detail;
    EXPECT_TRUE(reply.result.sent);
    EXPECT_EQ(1U, server.requests);
}

INSTANTIATE_TEST_SUITE_P(
    responses, broken_response,
    testing::Values(
        broken_case{"complete", complete_response, after::close, transfer_failure::none},
        broken_case{"complete_chunked",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", after::close,
                    transfer_failure::none},
        broken_case{"no_content", "HTTP/1.1 204 No Content\r\n\r\n", after::keep, transfer_failure::none},
        broken_case{"interim_then_complete",
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", after::keep,
                    transfer_failure::none},
        broken_case{"empty", "", after::close, transfer_failure::broken},
        broken_case{"empty_reset", "", after::reset, transfer_failure::broken},
        broken_case{"partial_head", "HTTP/1.1 200 OK\r\nContent-Le", after::close, transfer_failure::broken},
        broken_case{"shorter_than_length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", after::close,
                    transfer_failure::broken},
        broken_case{"shorter_than_length_reset", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
                    after::reset, transfer_failure::broken},
        broken_case{"last_chunk_missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                    after::close, transfer_failure::broken},
        broken_case{"partial_chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
                    after::close, transfer_failure::broken},
        broken_case{"close_delimited", "HTTP/1.1 200 OK\r\n\r\nok", after::close, transfer_failure::broken},
        broken_case{"http_1_0_close_delimited", "HTTP/1.0 200 OK\r\n\r\nok", after::close,
                    transfer_failure::broken},
        broken_case{"no_response", "", after::keep, transfer_failure::timeout},
        broken_case{"no_body_after_head", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", after::keep,
                    transfer_failure::timeout},
        broken_case{"chunk_size_invalid", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
                    after::keep, transfer_failure::broken}),
    [](const auto& it) { return it.param.name; });

struct endless_case {
    const char* name;
    const char* first;
    const char* repeated;
};

class endless_head : public testing::TestWithParam<endless_case> {};

// Guards against a server that sends header bytes without end: the client must neither buffer them without
// limit nor read until the timeout.
TEST_P(endless_head, fails_at_the_size_limit) {
    constexpr std::size_t most_bytes = 64UL << 20U;
    test_loop loop;
    const raw_listener listener;
    http_client client(loop.get(), 0);
    http_request request;
    request.address = listener.address();
    std::optional<http_reply> reply;
    fetch(client, std::move(request), byte_count{1000}, [&](const http_reply& it) { reply = it; });
    std::unique_ptr<raw_socket> peer;
    std::string repeated;
    while (repeated.size() < 16384) {
        repeated += GetParam().repeated;
    }
    std::size_t sent = 0;
    ASSERT_TRUE(loop.run_until([&] {
        if (peer == nullptr) {
            peer = listener.accept_one();
            sent += peer == nullptr ? 0 : peer->send_some(GetParam().first);
        } else if (sent < most_bytes) {
            sent += peer->send_some(repeated);
        }
        return reply.has_value();
    }));
    EXPECT_EQ(transfer_failure::broken, reply->result.failure) << reply->result.detail;
    EXPECT_TRUE(reply->result.sent);
    EXPECT_LT(sent, most_bytes);
    EXPECT_TRUE(loop.run_until([&] {
        peer->read_available();
        return peer->closed();
    }));
}

INSTANTIATE_TEST_SUITE_P(
    kinds, endless_head,
    testing::Values(endless_case{"headers", "HTTP/1.1 200 OK\r\n", "X-Word: value\r\n"},
                    endless_case{"interim_heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                    endless_case{"one_line", "HTTP/1.1 200 OK\r\nX-Word: ", "value "},
                    endless_case{"status_line", "HTTP/1.1 200 ", "OK "},
                    endless_case{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                                 "X-Word: value\r\n"}),
    [](const auto& it) { return it.param.name; });

struct folded_case {
    const char* name;
    const char* response;
};

class folded_line : public testing::TestWithParam<folded_case> {};

// Guards against a line of one response that libcurl takes for the continuation of a line of an earlier one.
TEST_P(folded_line, behind_other_responses_is_malformed) {
    constexpr std::size_t rounds = 20;
    test_loop loop;
    std::vector<scripted_server::step> steps;
    for (std::size_t i = 0; i < rounds; ++i) {
        steps.push_back({complete_response, after::keep});
        steps.push_back({GetParam().response, after::close});
    }
    scripted_server server(loop.get(), std::move(steps));
    http_client client(loop.get(), 0);
    http_request request;
    request.address = server.listener.address();
    for (std::size_t i = 0; i < rounds; ++i) {
        const auto sound = fetch_and_wait(loop, client, request);
        EXPECT_EQ(transfer_failure::none, sound.result.failure) << sound.result.detail;
        EXPECT_EQ("ok", sound.body);
        const auto folded = fetch_and_wait(loop, client, request);
        EXPECT_NE(transfer_failure::none, folded.result.failure);
    }
}

INSTANTIATE_TEST_SUITE_P(
    places, folded_line,
    testing::Values(
        folded_case{"behind_the_status_line",
                    "HTTP/1.1 200 OK\r\n Content-Length: 2\r\nContent-Length: 2\r\n\r\nok"},
        folded_case{"tab_behind_the_status_line", "HTTP/1.1 200 OK\r\n\tX: 2\r\nContent-Length: 2\r\n\r\nok"},
        folded_case{"behind_a_field", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nok"},
        folded_case{"in_an_interim_head", "HTTP/1.1 103 Early Hints\r\n X: 2\r\n\r\n"
                                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
        folded_case{"behind_an_interim_head", "HTTP/1.1 103 Early Hints\r\nX: 2\r\n\r\n"
                                              "HTTP/1.1 200 OK\r\n X: 3\r\nContent-Length: 2\r\n\r\nok"},
        folded_case{"blanks_only", "HTTP/1.1 200 OK\r\n   \r\nContent-Length: 2\r\n\r\nok"}),
    [](const auto& it) { return it.param.name; });

// Guards against a refused connection that is reported as a request which may have been run.
TEST(http_client, refused_connection_is_not_sent) {
    test_loop loop;
    http_client client(loop.get(), 0);
    http_request request;
    {
        const raw_listener closed_later;
        request.address = closed_later.address();
    }
    const auto reply = fetch_and_wait(loop, client, request);
    EXPECT_EQ(transfer_failure::connect, reply.result.failure);
    EXPECT_FALSE(reply.result.sent);
}

struct resend_case {
    const char* name;
    const char* method;
    bool has_body;
    after then;
};

class reused_connection : public testing::TestWithParam<resend_case> {};

// Guards against libcurl's automatic resend after a reused connection fails: the server may run the request
// twice.
TEST_P(reused_connection, failure_causes_no_resend) {
    test_loop loop;
    scripted_server server(loop.get(), {{complete_response, after::keep}, {"", GetParam().then}});
    http_client client(loop.get(), 0);
    http_request request;
    request.address = server.listener.address();
    request.method = GetParam().method;
    request.has_body = GetParam().has_body;
    request.body = GetParam().has_body ? "order" : "";
    EXPECT_EQ(transfer_failure::none, fetch_and_wait(loop, client, request).result.failure);
    const auto second = fetch_and_wait(loop, client, request);
    EXPECT_NE(transfer_failure::none, second.result.failure);
    EXPECT_TRUE(second.result.sent);
    EXPECT_FALSE(second.result.new_connection && second.result.failure == transfer_failure::broken);
    loop.run_for(50ms);
    EXPECT_EQ(2U, server.requests);
}

INSTANTIATE_TEST_SUITE_P(failures, reused_connection,
                         testing::Values(resend_case{"get_closed", "GET", false, after::close},
                                         resend_case{"get_reset", "GET", false, after::reset},
                                         resend_case{"post_closed", "POST", true, after::close},
                                         resend_case{"post_reset", "POST", true, after::reset}),
                         [](const auto& it) { return it.param.name; });

// Guards against a failed request when the server has closed the idle connection, which HTTP permits.
TEST(http_client, replaces_a_connection_closed_while_idle) {
    test_loop loop;
    scripted_server server(loop.get(), {{complete_response, after::keep}});
    http_client client(loop.get(), 0);
    http_request request;
    request.address = server.listener.address();
    EXPECT_EQ(transfer_failure::none, fetch_and_wait(loop, client, request).result.failure);
    server.peers.clear();
    const auto second = fetch_and_wait(loop, client, request);
    EXPECT_EQ(transfer_failure::none, second.result.failure) << second.result.detail;
    EXPECT_TRUE(second.result.new_connection);
}

// Guards against reuse of idle connections to a server that no longer responds.
TEST(http_client, discard_idle_forces_a_new_connection) {
    test_loop loop;
    scripted_server server(loop.get(), {{complete_response, after::keep}});
    http_client client(loop.get(), 0);
    http_request request;
    request.address = server.listener.address();
    fetch_and_wait(loop, client, request);
    EXPECT_FALSE(fetch_and_wait(loop, client, request).result.new_connection);
    client.discard_idle(request.address);
    const auto third = fetch_and_wait(loop, client, request);
    EXPECT_EQ(transfer_failure::none, third.result.failure) << third.result.detail;
    EXPECT_TRUE(third.result.new_connection);
}

// Guards against a late response that is delivered for the next request on the same connection.
TEST(http_client, timed_out_connection_is_not_reused) {
    test_loop loop;
    scripted_server server(loop.get(), {{"", after::keep}, {complete_response, after::keep}});
    http_client client(loop.get(), 0);
    http_request request;
    request.address = server.listener.address();
    request.timeout = 100ms;
    EXPECT_EQ(transfer_failure::timeout, fetch_and_wait(loop, client, request).result.failure);
    request.timeout = 10s;
    const auto second = fetch_and_wait(loop, client, request);
    EXPECT_TRUE(second.result.new_connection);
    EXPECT_EQ("ok", second.body);
    EXPECT_TRUE(loop.run_until([&] { return server.peers.at(0)->closed(); }));
}

// Guards against a cancelled request that the server continues to process.
TEST(http_client, cancel_closes_the_connection_without_callback) {
    test_loop loop;
    scripted_server server(loop.get(), {{"", after::keep}, {complete_response, after::keep}});
    http_client client(loop.get(), 0);
    http_request request;
    request.address = server.listener.address();
    transfer_handlers on;
    bool called = false;
    on.on_done = [&](const transfer_result& /*end*/) { called = true; };
    const auto id = client.start(request, on);
    ASSERT_TRUE(loop.run_until([&] { return server.requests == 1; }));
    client.cancel(id);
    client.cancel(id);
    EXPECT_TRUE(loop.run_until([&] { return server.peers.at(0)->closed(); }));
    EXPECT_TRUE(fetch_and_wait(loop, client, request).result.new_connection);
    EXPECT_FALSE(called);
}

// Guards against exceeding the connection limit of an address, and against transfers that are never started
// after waiting for a connection.
TEST(http_client, connection_limit_queues_transfers) {
    test_loop loop;
    echo_server echo(loop.get());
    std::vector<http_exchange*> held;
    echo.answer = [&](http_exchange& it, const std::string& /*body*/) { held.push_back(&it); };
    http_client client(loop.get(), 2);
    http_request request;
    request.address = echo.address();
    int done = 0;
    for (int i = 0; i < 5; ++i) {
        fetch(client, request, byte_count{10}, [&](const http_reply& it) {
            EXPECT_EQ(transfer_failure::none, it.result.failure);
            ++done;
        });
    }
    ASSERT_TRUE(loop.run_until([&] { return held.size() == 2; }));
    loop.run_for(50ms);
    EXPECT_EQ(2U, held.size());
    const auto answered = [&] {
        for (auto* it : std::exchange(held, {})) {
            it->respond(200, {}, "");
        }
        return done == 5;
    };
    EXPECT_TRUE(loop.run_until(answered));
}

// Guards against unbounded memory use for a response above the expected size.
TEST(http_client, fetch_fails_for_a_body_above_the_limit) {
    test_loop loop;
    echo_server echo(loop.get());
    echo.answer = [](http_exchange& it, const std::string& /*body*/) {
        it.respond(200, {}, std::string(5000, 'x'));
    };
    http_client client(loop.get(), 0);
    http_request request;
    request.address = echo.address();
    const auto reply = fetch_and_wait(loop, client, request);
    EXPECT_EQ(transfer_failure::broken, reply.result.failure);
    EXPECT_LE(reply.body.size(), 1000U);
}

// Guards against marking a connection as idle that libcurl has already assigned to the next transfer. The
// client closes idle connections when data arrives, so the response would close it.
TEST(http_client_reuse, immediately_reused_connection_is_not_idle) {
    test_loop loop;
    http_server::handlers handlers;
    handlers.on_head = [](http_exchange& exchange) { exchange.respond(200, {}, "answer"); };
    const auto server =
        std::move(*http_server::open(loop.get(), socket_address("127.0.0.1:0"), {}, std::move(handlers)));
    http_client client(loop.get(), 1);
    constexpr int transfers = 200;
    int done = 0;
    int complete = 0;
    for (int i = 0; i < transfers; ++i) {
        http_request request;
        request.address = socket_address("127.0.0.1:" + std::to_string(server->port()));
        fetch(client, std::move(request), byte_count{1024}, [&](const http_reply& reply) {
            ++done;
            complete += reply.result.failure == transfer_failure::none && reply.body == "answer" ? 1 : 0;
        });
    }
    EXPECT_TRUE(loop.run_until([&] { return done == transfers; }));
    EXPECT_EQ(transfers, complete);
}

} // namespace
} // namespace endivelever::http_test
