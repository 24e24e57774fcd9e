#include "endivelever/decide/address_answer.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

class address_expiry_test : public testing::TestWithParam<duration> {};

// Guards against an entry that restarts while callers still use call ids of its previous incarnation. It
// could only report an unknown outcome for such a call.
TEST_P(address_expiry_test, outlasts_every_response_that_names_the_entry) {
    // Other entries may include a leaving entry in their responses until the next heartbeat.
    constexpr auto heartbeat_interval = 500ms;
    EXPECT_GT(address_drain_time(GetParam()), GetParam() + heartbeat_interval);
}

INSTANTIATE_TEST_SUITE_P(
    keep, address_expiry_test, testing::Values(100ms, 500ms, 10s, 120s), [](const auto& it) {
        return std::to_string(std::chrono::round<std::chrono::milliseconds>(it.param).count()) + "ms";
    });

} // namespace
} // namespace endivelever
