#include "testbed/blocking_http.hpp"
#include "testbed/forwarder.hpp"
#include "testbed/process.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace endivelever::testbed {
namespace {

using namespace std::chrono_literals;

struct forwarded_platform : testing::Test {
    temporary_folder folder;
    reserved_port port;
    process platform = *process::start({ENDIVELEVER_BIN_DIR "/endivelever-fake-platform",
                                        {"--listen=" + port.address().text},
                                        folder.path("log")});
    std::string listening = read_listening_address(platform).value_or("");
    std::unique_ptr<forwarder> link = *forwarder::open(port.address());

    [[nodiscard]] http_reply get(duration timeout = 10s) const {
        return call_http(link->address(), "GET", "/v1/fake/counts", "", {}, timeout);
    }
};

// Guards against a reserved port that the program itself cannot listen on, or that changes on restart.
TEST_F(forwarded_platform, reserved_port_serves_again_after_a_restart) {
    EXPECT_EQ(listening, port.address().text);
    EXPECT_EQ(get().result.status, 200U);
    platform.kill();
    EXPECT_NE(get().result.failure, transfer_failure::none);
    platform = *process::start({ENDIVELEVER_BIN_DIR "/endivelever-fake-platform",
                                {"--listen=" + port.address().text},
                                folder.path("log")});
    EXPECT_EQ(read_listening_address(platform).value_or(""), port.address().text);
    EXPECT_EQ(get().result.status, 200U);
}

struct mode_case {
    const char* name;
    forward_mode mode;
    transfer_failure expected;
};

class forwarder_mode : public forwarded_platform, public testing::WithParamInterface<mode_case> {};

TEST_P(forwarder_mode, stops_bytes_until_it_passes_again) {
    link->set_mode(GetParam().mode);
    EXPECT_EQ(get(300ms).result.failure, GetParam().expected);
    link->set_mode(forward_mode::pass);
    EXPECT_EQ(get().result.status, 200U);
}

INSTANTIATE_TEST_SUITE_P(
    modes, forwarder_mode,
    testing::Values(mode_case{"to_target", forward_mode::hold_to_target, transfer_failure::timeout},
                    mode_case{"to_source", forward_mode::hold_to_source, transfer_failure::timeout},
                    mode_case{"both", forward_mode::hold_both, transfer_failure::timeout},
                    mode_case{"refuse", forward_mode::refuse, transfer_failure::connect}),
    [](const auto& it) { return it.param.name; });

// Guards against a healed partition that loses the bytes sent while it lasted.
TEST_F(forwarded_platform, held_bytes_arrive_after_the_partition) {
    link->set_mode(forward_mode::hold_to_target);
    std::thread heal([this] {
        std::this_thread::sleep_for(100ms);
        link->set_mode(forward_mode::pass);
    });
    EXPECT_EQ(get().result.status, 200U);
    heal.join();
}

TEST_F(forwarded_platform, silenced_connection_never_answers_while_new_ones_work) {
    http_reply waiting;
    std::thread watch([this, &waiting] {
        waiting = call_http(link->address(), "GET", "/v1/vms?watch=0&wait_ms=300", "", {}, 1s);
    });
    EXPECT_TRUE(wait_until([this] { return get().body.find("\"vms_watch\":1") != std::string::npos; }, 10s));
    link->silence_open_connections();
    EXPECT_EQ(get().result.status, 200U);
    watch.join();
    EXPECT_EQ(waiting.result.failure, transfer_failure::timeout);
}

} // namespace
} // namespace endivelever::testbed
