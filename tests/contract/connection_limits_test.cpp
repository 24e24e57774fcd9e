#include "contract/http_fixture.hpp"

namespace endivelever::http_test {
namespace {

/// Server with a budget and lowered limits. All listeners of the gateway are of this kind.
struct limited_server {
    test_loop loop;
    std::shared_ptr<connection_budget> budget;
    std::unique_ptr<echo_server> echo;

    explicit limited_server(const intake_limits& limits, std::uint32_t max_connections = 100)
        : budget(std::make_shared<connection_budget>(limits)) {
        auto opts = server_options(true);
        opts.budget = budget;
        opts.max_connections = max_connections;
        echo = std::make_unique<echo_server>(loop.get(), opts);
    }

    [[nodiscard]] std::unique_ptr<raw_socket> connect() const {
        return std::make_unique<raw_socket>(raw_socket::connect_to(echo->server->port()));
    }
    bool answers(raw_socket& caller) {
        caller.send_some("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        return loop.run_until([&] {
            caller.read_available();
            return caller.received.find("200 OK") != std::string::npos;
        });
    }
};

intake_limits short_progress_timeout() {
    intake_limits limits;
    limits.progress_timeout = 1500ms;
    return limits;
}

struct slow_case {
    const char* name;
    std::string first;  ///< sent at once
    std::string repeat; ///< sent once in each round
    bool reads = true;
};

struct slow_caller : testing::TestWithParam<slow_case> {};

// Guards against callers that keep a connection and its memory with a byte now and then.
TEST_P(slow_caller, is_disconnected) {
    limited_server server(short_progress_timeout());
    server.echo->answer = [](http_exchange& it, const std::string& /*body*/) {
        it.respond(200, {}, std::string(16UL << 20U, 'x'));
    };
    const auto caller = server.connect();
    caller->send_some(GetParam().first);
    auto next = boot_clock::now();
    ASSERT_TRUE(server.loop.run_until([&] {
        if (boot_clock::now() >= next) {
            caller->send_some(GetParam().repeat);
            next += 100ms;
        }
        if (GetParam().reads) {
            caller->read_available();
        }
        return server.budget->closed(close_cause::stalled) == 1 &&
               server.echo->server->open_connections() == 0;
    }));
    EXPECT_EQ(0U, server.budget->usage().connections);
    EXPECT_EQ(0U, server.budget->usage().connections_memory.value);
}

INSTANTIATE_TEST_SUITE_P(
    callers, slow_caller,
    testing::Values(
        slow_case{"trickles_a_head", "GET / HTTP/1.1\r\nHost: a\r\nX-Filler: ", "x"},
        slow_case{"never_ends_a_head", "GET / HTTP/1.1\r\nHost: a\r\n", ""},
        slow_case{"trickles_a_body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n", "x"},
        slow_case{"never_ends_a_body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n12", ""},
        slow_case{"trickles_chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
                  "1\r\nx\r\n"},
        slow_case{"reads_nothing", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "", false},
        slow_case{"sends_after_close", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "x", true}),
    [](const auto& it) { return it.param.name; });

// Guards against connections that together exceed the memory of the process, and against the end of an
// ordinary one instead of those that hold most.
TEST(connection_limits, memory_is_taken_from_those_that_hold_most) {
    intake_limits limits;
    limits.memory = byte_count{2UL << 20U};
    limited_server server(limits);
    const auto ordinary = server.connect();
    ASSERT_TRUE(server.answers(*ordinary));
    server.echo->answer = [](http_exchange& it, const std::string& /*body*/) {
        it.respond(200, {}, std::string(6UL << 20U, 'x'));
    };
    std::vector<std::unique_ptr<raw_socket>> crowd;
    crowd.reserve(4);
    for (int i = 0; i < 4; ++i) {
        crowd.push_back(server.connect());
        crowd.back()->send_some("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    ASSERT_TRUE(server.loop.run_until([&] { return server.budget->closed(close_cause::memory) == 4; }));
    EXPECT_LE(server.budget->usage().connections_memory.value, limits.memory.value);
    server.echo->answer = [](http_exchange& it, const std::string& body) { it.respond(200, {}, body); };
    ordinary->received.clear();
    EXPECT_TRUE(server.answers(*ordinary));
}

// Guards against idle callers that keep all connections of a listener.
TEST(connection_limits, idle_connections_make_room_for_new_ones) {
    limited_server server({}, 4);
    std::vector<std::unique_ptr<raw_socket>> crowd;
    crowd.reserve(4);
    for (int i = 0; i < 4; ++i) {
        crowd.push_back(server.connect());
    }
    ASSERT_TRUE(server.loop.run_until([&] { return server.echo->server->open_connections() == 4; }));
    const auto ordinary = server.connect();
    EXPECT_TRUE(server.answers(*ordinary));
    EXPECT_LE(server.echo->server->open_connections(), 4U);
}

// Guards against a listener that uses the connections of all others.
TEST(connection_limits, listeners_share_the_connections_of_the_process) {
    intake_limits limits;
    limits.connections = 4;
    limited_server server(limits);
    auto opts = server_options(true);
    opts.budget = server.budget;
    echo_server other(server.loop.get(), opts);
    std::vector<std::unique_ptr<raw_socket>> crowd;
    crowd.reserve(4);
    for (int i = 0; i < 4; ++i) {
        crowd.push_back(server.connect());
    }
    ASSERT_TRUE(server.loop.run_until([&] { return server.budget->usage().connections == 4; }));
    auto ordinary = raw_socket::connect_to(other.server->port());
    EXPECT_TRUE(server.answers(ordinary));
    EXPECT_LE(server.budget->usage().connections, 4U);
}

// Guards against one connection that keeps the event loop from all others.
TEST(connection_limits, work_for_a_connection_in_one_iteration_is_bounded) {
    constexpr std::uint32_t open_requests = 32;
    constexpr std::uint32_t requests = 200;
    limited_server server({});
    const auto caller = server.connect();
    std::string all;
    for (std::uint32_t i = 0; i < requests; ++i) {
        all += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    caller->send_some(all);
    std::uint32_t most = 0;
    ASSERT_TRUE(server.loop.run_until([&] {
        const auto before = server.echo->requests;
        ev_run(server.loop.get(), EVRUN_NOWAIT);
        most = std::max(most, server.echo->requests - before);
        return server.echo->requests == requests;
    }));
    EXPECT_LE(most, 2 * open_requests);
}

// Guards against the use of a connection that was freed while it was scheduled: answers are sent in the same
// call in which later requests are answered, and the caller resets the connection meanwhile.
TEST(connection_limits, reset_during_the_answers_is_noticed) {
    limited_server server({});
    for (int i = 0; i < 200; ++i) {
        auto caller = server.connect();
        std::uint32_t n = 0;
        const auto reset_at = static_cast<std::uint32_t>(33 + i % 60);
        server.echo->answer = [&](http_exchange& it, const std::string& /*body*/) {
            if (++n == reset_at) {
                caller->reset_connection();
            }
            it.respond(200, {}, "answer");
        };
        std::string all;
        for (std::uint32_t k = 0; k < 120; ++k) {
            all += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        }
        caller->send_some(all);
        ASSERT_TRUE(server.loop.run_until(
            [&] { return n >= reset_at && server.echo->server->open_connections() == 0; }));
    }
    EXPECT_EQ(server.echo->requests, server.echo->completed + server.echo->aborted);
}

} // namespace
} // namespace endivelever::http_test
