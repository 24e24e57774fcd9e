#include "endivelever/decide/intake_budget.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kb = 1024;
constexpr std::uint64_t mb = 1024 * kb;
const time_point start{std::chrono::hours(1)};

intake_limits limits_of(std::uint64_t memory) {
    intake_limits limits;
    limits.memory = byte_count{memory};
    return limits;
}

struct body_case {
    const char* name;
    std::uint64_t memory; ///< limit
    std::uint64_t connections;
    std::uint64_t bodies;
    std::uint64_t size;
    std::uint64_t held;
    bool expected;
};

struct body_admission : testing::TestWithParam<body_case> {};

// Guards against bodies that together exceed the memory of the process, and against a few large ones that
// shut out all small ones.
TEST_P(body_admission, depends_on_what_is_used) {
    const auto& given = GetParam();
    const intake_usage usage{byte_count{given.connections}, byte_count{given.bodies}, 0};
    EXPECT_EQ(given.expected,
              admits_body(limits_of(given.memory), usage, byte_count{given.size}, byte_count{given.held}));
}

INSTANTIATE_TEST_SUITE_P(
    bodies, body_admission,
    testing::Values(body_case{"no_limit", 0, 1000 * mb, 1000 * mb, 1000 * mb, 0, true},
                    body_case{"largest_on_the_smallest_vm", 72'800'000, 0, 0, 64 * mb, 0, true},
                    body_case{"largest_beside_another", 72'800'000, 0, 64 * mb, 64 * mb, 0, false},
                    body_case{"small_beside_large_ones", 140 * mb, 0, 130 * mb, 1 * mb, 0, true},
                    body_case{"large_beside_large_ones", 140 * mb, 0, 130 * mb, 1 * mb + 1, 0, false},
                    body_case{"growth_of_a_large_one", 140 * mb, 0, 130 * mb, 1 * kb, 2 * mb, false},
                    body_case{"growth_of_a_small_one", 140 * mb, 0, 130 * mb, 1 * kb, 10 * kb, true},
                    body_case{"small_ones_leave_room_for_connections", 140 * mb, 0, 135 * mb, 1 * kb, 0,
                              false},
                    body_case{"connections_count", 140 * mb, 100 * mb, 0, 40 * mb, 0, false},
                    body_case{"already_exceeded", 140 * mb, 150 * mb, 0, 1, 0, false},
                    body_case{"no_body", 140 * mb, 100 * mb, 30 * mb, 0, 0, true}),
    [](const auto& it) { return it.param.name; });

// Guards against a limit that a caller within the configured limits reaches: 32 requests with heads of 16 KB.
TEST(reading, goes_on_for_32_requests_with_the_largest_heads) {
    EXPECT_TRUE(reads_requests({}, byte_count{32 * (16 * kb) + 256 * kb}));
    EXPECT_FALSE(reads_requests({}, byte_count{1 * mb}));
}

using indices = std::vector<std::size_t>;

connection_use use_of(std::uint64_t held, duration idle, bool waits = true, const void* listener = nullptr) {
    return {byte_count{held}, waits, start - idle, listener};
}

struct memory_case {
    const char* name;
    std::uint64_t bodies;
    std::vector<std::uint64_t> held;
    indices expected;
};

struct memory_choice : testing::TestWithParam<memory_case> {};

// Guards against a process that exceeds its memory of 100 MB, and against ordinary connections that are
// closed instead of those that hold most.
TEST_P(memory_choice, closes_what_holds_most) {
    const auto& given = GetParam();
    intake_usage usage{{}, byte_count{given.bodies}, given.held.size()};
    std::vector<connection_use> all;
    for (const auto it : given.held) {
        all.push_back(use_of(it, 1s));
        usage.connections_memory.value += it;
    }
    EXPECT_EQ(given.expected, choose_to_free_memory(limits_of(100 * mb), usage, all));
}

INSTANTIATE_TEST_SUITE_P(
    connections, memory_choice,
    testing::Values(memory_case{"within_the_limit", 50 * mb, {20 * mb, 30 * mb}, {}},
                    memory_case{"largest_first", 0, {40 * mb, 1 * mb, 60 * mb}, {2}},
                    memory_case{"until_enough_is_free", 0, {30 * mb, 30 * mb, 10 * mb, 45 * mb}, {3}},
                    memory_case{"several", 0, {20 * mb, 31 * mb, 30 * mb, 45 * mb, 20 * mb}, {3, 1}},
                    memory_case{"bodies_are_kept", 99 * mb, {1 * kb, 2 * mb, 1 * kb}, {1}}),
    [](const auto& it) { return it.param.name; });

struct connections_case {
    const char* name;
    std::vector<connection_use> all;
    std::size_t most;
    indices expected;
};

struct connections_choice : testing::TestWithParam<connections_case> {};

const int one_listener = 0;

// Guards against callers that keep all connections and prevent others from connecting.
TEST_P(connections_choice, closes_what_waits_for_callers) {
    const auto& given = GetParam();
    EXPECT_EQ(given.expected, choose_to_free_connections(given.all, given.most, start, nullptr));
}

INSTANTIATE_TEST_SUITE_P(
    connections, connections_choice,
    testing::Values(
        connections_case{"idle_longest", {use_of(1, 2s), use_of(1, 9s), use_of(1, 5s)}, 2, {1, 2}},
        connections_case{"holds_most", {use_of(1, 9s), use_of(2, 2s)}, 1, {1}},
        connections_case{"request_in_progress", {use_of(9, 9s, false), use_of(1, 2s)}, 2, {1}},
        connections_case{"in_use", {use_of(9, 999ms), use_of(1, 1s)}, 2, {1}},
        connections_case{"none", {use_of(9, 9s, false)}, 2, {}}),
    [](const auto& it) { return it.param.name; });

// Guards against a crowd at one listener that displaces the callers of another.
TEST(connections_choice_of_a_listener, leaves_the_others_alone) {
    const std::vector<connection_use> all{use_of(9, 9s), use_of(1, 2s, true, &one_listener)};
    EXPECT_EQ(indices{1}, choose_to_free_connections(all, 2, start, &one_listener));
}

struct progress_case {
    const char* name;
    std::uint64_t bytes_per_second;
    bool waits;
    bool expected;
};

struct progress : testing::TestWithParam<progress_case> {};

// Guards against a caller that keeps its connection with a byte now and then.
TEST_P(progress, ends_what_transfers_too_little) {
    const auto& given = GetParam();
    progress_window window;
    bool stalled = false;
    for (int i = 0; i <= 60; ++i) {
        window.bytes += given.bytes_per_second;
        stalled = has_stalled(window, {}, given.waits, start + i * 1s) || stalled;
    }
    EXPECT_EQ(given.expected, stalled);
}

INSTANTIATE_TEST_SUITE_P(connections, progress,
                         testing::Values(progress_case{"silent", 0, true, true},
                                         progress_case{"trickles", 1, true, true},
                                         progress_case{"slow", 210, true, false},
                                         progress_case{"idle", 0, false, false}),
                         [](const auto& it) { return it.param.name; });

// Guards against the end of a connection whose caller is silent for as long as the limits allow.
TEST(progress_of_a_pause, is_kept_for_15_seconds) {
    progress_window window;
    EXPECT_FALSE(has_stalled(window, {}, true, start));
    EXPECT_FALSE(has_stalled(window, {}, true, start + 15s));
    EXPECT_FALSE(has_stalled(window, {}, false, start + 16s));
    EXPECT_FALSE(has_stalled(window, {}, true, start + 30s));
}

} // namespace
} // namespace endivelever
