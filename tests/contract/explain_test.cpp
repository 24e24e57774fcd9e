#include "contract/gateway_fixture.hpp"
#include "platform/explain_command.hpp"

#include <atomic>
#include <thread>

namespace endivelever::http_test {
namespace {

struct explain_command : gateway_fixture {
    /// Runs the command in a thread while the gateways answer.
    int run(const platform::explain_options& options) {
        std::atomic<int> code{-1};
        std::thread command([&] { code = platform::run_explain(options); });
        EXPECT_TRUE(loop.run_until([&] { return code >= 0; }));
        command.join();
        return code;
    }
};

// Guards against an explanation that reaches no server, sends the request, or misleads scripts by its exit
// code.
TEST_F(explain_command, exit_code_tells_the_outcome) {
    auto& gateway = start();
    const auto relay = gateway.board().conf.relay_address;
    EXPECT_EQ(200U, call(gateway, "/again/x", "id-1").status);
    const auto open = gateway.board().requests.size();
    EXPECT_EQ(0, run({relay, host, "/again/x", "", false}));
    EXPECT_EQ(0, run({relay, host, "/again/x", "", true}));
    EXPECT_EQ(1, run({relay, host, "/nowhere/x", "", false}));
    EXPECT_EQ(2, run({relay, "", "/again/x", "", false}));
    EXPECT_EQ(2, run({socket_address("127.0.0.1:1"), host, "/again/x", "", false}));
    EXPECT_EQ(open, gateway.board().requests.size());
    std::size_t runs = 0;
    for (const auto& it : targets) {
        runs += it->ran.size();
    }
    EXPECT_EQ(1U, runs);
}

} // namespace
} // namespace endivelever::http_test
