#include "contract/gateway_fixture.hpp"

namespace endivelever::http_test {
namespace {

constexpr std::size_t announcing_callers = 300;
constexpr std::size_t announced_bytes = 1'000'000;
constexpr std::size_t ordinary_body = 100'000;

// Guards against callers that announce bodies, send none of them, and have the bodies of others refused.
TEST_F(gateway_fixture, bodies_that_are_announced_and_not_sent_refuse_no_others) {
    auto& gateway = start();
    auto& board = gateway.board();
    ASSERT_LT(board.intake->limits().memory.value, announcing_callers * announced_bytes);
    const auto& address = board.conf.caller_address.text;
    const auto caller_host = address.substr(0, address.rfind(':'));
    std::vector<std::unique_ptr<raw_socket>> crowd;
    for (std::size_t i = 0; i < announcing_callers; ++i) {
        crowd.push_back(std::make_unique<raw_socket>(raw_socket::connect_to(7001, caller_host)));
        crowd.back()->send_some("POST /once/x HTTP/1.1\r\nHost: desk.example\r\nX-Deadline-Ms: 60000\r\n"
                                "Content-Length: " +
                                std::to_string(announced_bytes) + "\r\n\r\n");
    }
    ASSERT_TRUE(loop.run_until([&] { return board.last_request_number >= announcing_callers; }));
    const auto& ordinary = call(gateway, "/once/x", "ordinary", std::string(ordinary_body, 'x'));
    EXPECT_EQ(200U, ordinary.status);
}

// Guards against memory that stays reserved after the requests for which it was reserved.
TEST_F(gateway_fixture, memory_of_bodies_is_released) {
    auto& gateway = start();
    const auto& usage = gateway.board().intake->usage();
    for (const std::size_t size : {std::size_t{1}, ordinary_body, 2 * announced_bytes}) {
        EXPECT_EQ(200U,
                  call(gateway, "/once/x", "id-" + std::to_string(size), std::string(size, 'x')).status);
    }
    EXPECT_TRUE(loop.run_until([&] { return gateway.board().requests.empty(); }));
    EXPECT_EQ(0U, usage.bodies_memory.value);
}

} // namespace
} // namespace endivelever::http_test
