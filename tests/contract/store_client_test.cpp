#include "contract/scripted_store.hpp"
#include "endivelever/store/store_client.hpp"

namespace endivelever::http_test {
namespace {

using store = scripted_store;
using response_mode = scripted_store::response_mode;

enum class operation { read, watch, write };

struct answer_case {
    const char* name;
    operation op;
    store::scripted_response line;
    store_status status;
    std::uint64_t version;
};

store_limits short_limits() {
    store_limits limits;
    limits.read_deadline = 300ms;
    limits.write_deadline = 300ms;
    limits.watch_margin = 200ms;
    return limits;
}

class store_answers : public testing::TestWithParam<answer_case> {};

// Guards against conclusions that a response does not support: a write without a complete response must not
// count as accepted or rejected, and a malformed response to a read must not count as an object.
TEST_P(store_answers, are_classified) {
    test_loop loop;
    store server(loop.get(), {GetParam().line});
    store_client client(loop.get(), server.listener.address(), short_limits());
    std::optional<store_answer> answer;
    const auto save_answer = [&answer](const store_answer& it) { answer = it; };
    switch (GetParam().op) {
    case operation::read:
        client.read(document_key("preset/in-force"), store_purpose::background, save_answer);
        break;
    case operation::watch:
        client.watch(document_key("vm-list"), document_version{4}, 100ms, save_answer);
        break;
    case operation::write:
        client.write(document_key("drains"), "{}", document_version{6}, save_answer);
        break;
    }
    ASSERT_TRUE(loop.run_until([&] { return answer.has_value(); }));
    EXPECT_EQ(answer->status, GetParam().status) << answer->detail;
    EXPECT_EQ(answer->version.value, GetParam().version);
    EXPECT_EQ(answer->payload,
              answer->status == store_status::ok && GetParam().op != operation::write ? "abc" : "");
    EXPECT_EQ(server.requests.size(), 1U);
}

const store::scripted_response silent{response_mode::silent, {}};
const store::scripted_response closed{response_mode::close, {}};
const store::scripted_response cut_off{response_mode::close,
                                       "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 9\r\n\r\nabc"};

INSTANTIATE_TEST_SUITE_P(
    cases, store_answers,
    testing::Values(
        answer_case{"value", operation::read, store::object_response(7, "abc"), store_status::ok, 7},
        answer_case{"absent", operation::read, store::empty_response("404 Not Found"), store_status::absent,
                    0},
        answer_case{"slow",
                    operation::read,
                    {response_mode::delayed, store::object_response(7, "abc").text},
                    store_status::ok,
                    7},
        answer_case{"silent", operation::read, silent, store_status::unavailable, 0},
        answer_case{"closed", operation::read, closed, store_status::unavailable, 0},
        answer_case{"cut_off", operation::read, cut_off, store_status::unavailable, 0},
        answer_case{"outage", operation::read, store::empty_response("503 Unavailable"),
                    store_status::unavailable, 0},
        answer_case{"garbage",
                    operation::read,
                    {response_mode::respond, "not http\r\n\r\n"},
                    store_status::unavailable,
                    0},
        answer_case{"no_etag", operation::read, store::empty_response("200 OK"), store_status::unavailable,
                    0},
        answer_case{"weak_etag", operation::read, store::empty_response("200 OK", "ETag: W/\"7\"\r\n"),
                    store_status::unavailable, 0},
        answer_case{"watch_value", operation::watch, store::object_response(7, "abc"), store_status::ok, 7},
        answer_case{"watch_unchanged", operation::watch, store::empty_response("304 Not Modified"),
                    store_status::unchanged, 0},
        answer_case{"watch_silent", operation::watch, silent, store_status::unavailable, 0},
        answer_case{"write_accepted", operation::write, store::empty_response("200 OK", "ETag: \"7\"\r\n"),
                    store_status::ok, 7},
        answer_case{"write_conflict", operation::write,
                    store::empty_response("412 Precondition Failed", "ETag: \"9\"\r\n"),
                    store_status::conflict, 9},
        answer_case{"write_lost_answer", operation::write, closed, store_status::unknown, 0},
        answer_case{"write_silent", operation::write, silent, store_status::unknown, 0},
        answer_case{"write_outage", operation::write, store::empty_response("503 Unavailable"),
                    store_status::unknown, 0},
        answer_case{"write_no_etag", operation::write, store::empty_response("200 OK"), store_status::unknown,
                    0}),
    [](const auto& it) { return it.param.name; });

// Guards against reporting a write as possibly applied although no connection was established.
TEST(store_client, write_without_connection_is_unavailable) {
    test_loop loop;
    socket_address unused_address;
    {
        const raw_listener closed_listener;
        unused_address = closed_listener.address();
    }
    store_client client(loop.get(), unused_address, short_limits());
    std::optional<store_answer> answer;
    client.write(document_key("drains"), "{}", {}, [&](const store_answer& it) { answer = it; });
    ASSERT_TRUE(loop.run_until([&] { return answer.has_value(); }));
    EXPECT_EQ(answer->status, store_status::unavailable);
}

// Guards against writes sent without a precondition, with which two operators could overwrite each other.
TEST(store_client, write_sends_the_expected_version) {
    test_loop loop;
    store server(loop.get(), {store::empty_response("200 OK", "ETag: \"1\"\r\n"),
                              store::empty_response("200 OK", "ETag: \"2\"\r\n")});
    store_client client(loop.get(), server.listener.address(), short_limits());
    int done = 0;
    client.write(document_key("drains"), "{}", {}, [&](const store_answer&) { ++done; });
    ASSERT_TRUE(loop.run_until([&] { return done == 1; }));
    client.write(document_key("drains"), "{}", document_version{1}, [&](const store_answer&) { ++done; });
    ASSERT_TRUE(loop.run_until([&] { return done == 2; }));
    EXPECT_NE(server.requests[0].find("PUT /v1/objects/drains"), std::string::npos);
    EXPECT_NE(server.requests[0].find("If-None-Match: *"), std::string::npos);
    EXPECT_NE(server.requests[1].find("If-Match: \"1\""), std::string::npos);
}

struct key_case {
    const char* name;
    std::string key;
    const char* path;
};

class store_key : public testing::TestWithParam<key_case> {};

// Guards against a key that spoils the request for its object.
TEST_P(store_key, is_encoded_in_the_path) {
    test_loop loop;
    store server(loop.get(), {store::object_response(7, "abc")});
    store_client client(loop.get(), server.listener.address(), short_limits());
    bool done = false;
    client.read(document_key(GetParam().key), store_purpose::background,
                [&](const store_answer&) { done = true; });
    ASSERT_TRUE(loop.run_until([&] { return done; }));
    EXPECT_TRUE(server.requests[0].starts_with(std::string("GET ") + GetParam().path + " HTTP/1.1\r\n"))
        << server.requests[0];
}

INSTANTIATE_TEST_SUITE_P(
    keys, store_key,
    testing::Values(key_case{"usual", "preset/in-force", "/v1/objects/preset/in-force"},
                    key_case{"blank", "presets/a b", "/v1/objects/presets/a%20b"},
                    key_case{"query", "presets/a?watch=1#x", "/v1/objects/presets/a%3Fwatch%3D1%23x"},
                    key_case{"line_break", "presets/a\r\nX: 1", "/v1/objects/presets/a%0D%0AX%3A%201"},
                    key_case{"slash_at_the_end", "presets/", "/v1/objects/presets/"}),
    [](const auto& it) { return it.param.name; });

// Guards against background reads that use up the call budget for operators.
TEST(store_client, refuses_background_calls_over_the_budget_but_not_changes) {
    test_loop loop;
    store server(loop.get(), {});
    store_client client(loop.get(), server.listener.address(), short_limits());
    int done = 0;
    for (int i = 0; i < 50; ++i) {
        client.read(document_key("drains"), store_purpose::background, [&](const store_answer&) { ++done; });
    }
    client.read(document_key("drains"), store_purpose::change, [&](const store_answer&) { ++done; });
    EXPECT_EQ(done, 0);
    ASSERT_TRUE(loop.run_until([&] { return done == 51; }));
    EXPECT_EQ(client.counts().over_budget, 30U);
    EXPECT_EQ(client.counts().calls, 21U);
}

} // namespace
} // namespace endivelever::http_test
