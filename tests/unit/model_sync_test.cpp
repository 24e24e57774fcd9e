#include "endivelever/gateway/controllers.hpp"
#include "endivelever/net/datagram_socket.hpp"

#include <gtest/gtest.h>
#include <limits>
#include <set>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

const service_id orders("orders");
constexpr time_point now{100s};

service_times_message times(float log_seconds, float weight, std::size_t size = occupancy_ranges) {
    return {orders, std::vector<float>(size, log_seconds), std::vector<float>(size, weight)};
}

gateway_status_message status_of(const std::string& vm, service_times_message values, bool is_head = false) {
    gateway_status_message status;
    status.vm = vm_id(vm);
    status.failure_domain = failure_domain("a");
    status.is_head = is_head;
    status.service_times = {std::move(values)};
    return status;
}

void hear(gateway_board& board, const gateway_status_message& status, time_point at) {
    auto& it = board.peers.peers[status.vm];
    it.status = status;
    it.last_heard = at;
}

// Guards against counting the same responses twice, and against the observations of VMs that are gone: a head
// sums what the VMs of its failure domain observed, but not what other heads summed.
TEST(model_sync, head_sums_the_observations_of_its_failure_domain) {
    gateway_board board;
    board.conf.failure_domain = failure_domain("a");
    board.duties.is_head = true;
    board.services[orders].pool.model.log_time.front() = {-2.0, 10.0};
    hear(board, status_of("vm-1", times(-4.0F, 10.0F)), now - 100ms);
    hear(board, status_of("vm-2", times(-4.0F, 500.0F), true), now - 100ms);
    hear(board, status_of("vm-3", times(-4.0F, 500.0F)), now - 10s);
    auto elsewhere = status_of("vm-4", times(-4.0F, 500.0F));
    elsewhere.failure_domain = failure_domain("b");
    hear(board, elsewhere, now - 100ms);
    const auto shared = share_models(board, now);
    ASSERT_EQ(1U, shared.size());
    EXPECT_FLOAT_EQ(-3.0F, shared.front().log_seconds.front());
    EXPECT_FLOAT_EQ(20.0F, shared.front().weights.front());
}

struct malformed_case {
    const char* name;
    service_times_message values;
};

struct malformed_times : testing::TestWithParam<malformed_case> {};

// Guards against one malformed message that makes a VM believe in absurd response times.
TEST_P(malformed_times, are_ignored) {
    gateway_board board;
    auto& model = board.services[orders].pool.model;
    const auto before = light_time(model);
    apply_shared_models(board, status_of("head", GetParam().values, true));
    refit(model);
    EXPECT_EQ(before, light_time(model));
}

INSTANTIATE_TEST_SUITE_P(
    values, malformed_times,
    testing::Values(malformed_case{"too_few", times(-3.0F, 100.0F, 3)},
                    malformed_case{"too_many", times(-3.0F, 100.0F, 60)},
                    malformed_case{"too_long", times(90.0F, 100.0F)},
                    malformed_case{"too_short", times(-90.0F, 100.0F)},
                    malformed_case{"not_a_number", times(std::numeric_limits<float>::quiet_NaN(), 100.0F)},
                    malformed_case{"negative_weight", times(-3.0F, -100.0F)},
                    malformed_case{"unlimited_weight", times(-3.0F, std::numeric_limits<float>::infinity())}),
    [](const auto& it) { return it.param.name; });

// Guards against a status that grows with the number of services until it exceeds a datagram: a status
// contains some services, and all of them have their turn.
TEST(model_sync, all_services_have_their_turn) {
    gateway_board board;
    std::set<service_id> seen;
    for (int i = 0; i < 100; ++i) {
        board.services[service_id("service-" + std::to_string(i))];
    }
    for (int i = 0; i < 100 / 16 + 1; ++i) {
        const auto shared = share_models(board, now);
        EXPECT_LE(shared.size(), 16U);
        for (const auto& it : shared) {
            seen.insert(it.service);
        }
    }
    EXPECT_EQ(100U, seen.size());
}

} // namespace
} // namespace endivelever
