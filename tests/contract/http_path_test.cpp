#include "http_fixture.hpp"

namespace endivelever::http_test {
namespace {

struct body_case {
    const char* name;
    const char* method;
    std::size_t size;
    bool chunked_request;
    bool chunked_response;
};

class http_body : public testing::TestWithParam<body_case> {};

// Guards against lost, duplicated or reordered body bytes in either direction.
TEST_P(http_body, arrives_complete_in_both_directions) {
    const auto& param = GetParam();
    test_loop loop;
    echo_server echo(loop.get());
    echo.answer = [&](http_exchange& it, const std::string& body) {
        if (!param.chunked_response) {
            it.respond(200, {{"X-Method", it.method()}}, body);
            return;
        }
        it.begin_response(200, {{"X-Method", it.method()}}, std::nullopt);
        it.write(body);
        it.finish();
    };
    std::string sent(param.size, 'x');
    for (std::size_t i = 0; i < sent.size(); ++i) {
        sent[i] = static_cast<char>('a' + i % 23);
    }
    http_client client(loop.get(), 0);
    http_request request;
    request.method = param.method;
    request.address = echo.address();
    request.has_body = param.size > 0;
    request.body = sent;
    transfer_handlers on;
    std::size_t offset = 0;
    if (param.chunked_request) {
        on.on_read = [&](char* buf, std::size_t size, std::size_t& count) {
            count = std::min(size, sent.size() - offset);
            sent.copy(buf, count, offset);
            offset += count;
            return count == 0 ? read_state::end : read_state::data;
        };
    }
    std::string received;
    std::optional<transfer_result> end;
    on.on_head = [&](unsigned /*status*/, const http_headers& headers) {
        ASSERT_NE(nullptr, find_header(headers, "x-method"));
        EXPECT_EQ(param.method, *find_header(headers, "X-METHOD"));
    };
    on.on_body = [&](std::string_view data) {
        received += data;
        return true;
    };
    on.on_done = [&](const transfer_result& it) { end = it; };
    client.start(request, on);
    ASSERT_TRUE(loop.run_until([&] { return end.has_value() && echo.completed == 1; }));
    EXPECT_EQ(transfer_failure::none, end->failure) << end->detail;
    EXPECT_EQ(200U, end->status);
    EXPECT_TRUE(received == sent);
}

INSTANTIATE_TEST_SUITE_P(bodies, http_body,
                         testing::Values(body_case{"no_body", "GET", 0, false, false},
                                         body_case{"no_body_chunked", "GET", 0, false, true},
                                         body_case{"small_post", "POST", 10, false, false},
                                         body_case{"small_put_chunked", "PUT", 10, true, true},
                                         body_case{"delete_with_body", "DELETE", 100, false, false},
                                         body_case{"large_post", "POST", 3'000'000, false, false},
                                         body_case{"large_chunked", "POST", 3'000'000, true, true},
                                         body_case{"patch_to_chunked", "PATCH", 70'000, false, true}),
                         [](const auto& it) { return it.param.name; });

// Guards against opening a connection per request, which costs a server about 1 ms.
TEST(http_client, reuses_an_idle_connection) {
    test_loop loop;
    echo_server echo(loop.get());
    http_client client(loop.get(), 0);
    for (int i = 0; i < 5; ++i) {
        std::optional<http_reply> reply;
        http_request request;
        request.address = echo.address();
        fetch(client, request, byte_count{100}, [&](const http_reply& it) { reply = it; });
        ASSERT_TRUE(loop.run_until([&] { return reply.has_value(); }));
        EXPECT_EQ(200U, reply->result.status);
        EXPECT_EQ(i == 0, reply->result.new_connection);
    }
}

} // namespace
} // namespace endivelever::http_test
