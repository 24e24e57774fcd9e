#include "endivelever/trace/span_ring.hpp"
#include "endivelever/trace/traceparent.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

struct traceparent_case {
    const char* name;
    const char* text;
    bool valid;
};

class traceparent : public testing::TestWithParam<traceparent_case> {};

// Guards against traces that join wrong calls because a malformed header was accepted.
TEST_P(traceparent, accepts_only_valid_headers) {
    const auto parsed = parse_traceparent(GetParam().text);
    EXPECT_EQ(GetParam().valid, parsed.has_value());
    if (parsed) {
        EXPECT_EQ(std::string(GetParam().text).substr(2, 53), to_traceparent(*parsed).substr(2));
    }
}

INSTANTIATE_TEST_SUITE_P(
    headers, traceparent,
    testing::Values(
        traceparent_case{"valid", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", true},
        traceparent_case{"later_version", "cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more",
                         true},
        traceparent_case{"empty", "", false}, traceparent_case{"short", "00-4bf92f35", false},
        traceparent_case{"version_ff", "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", false},
        traceparent_case{"extra_in_00", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x", false},
        traceparent_case{"upper_case", "00-4BF92F3577B34DA6A3CE929D0E0E4736-00F067AA0BA902B7-01", false},
        traceparent_case{"zero_trace", "00-00000000000000000000000000000000-00f067aa0ba902b7-01", false},
        traceparent_case{"zero_span", "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01", false},
        traceparent_case{"not_hex", "00-4bf92f3577b34da6a3ce929d0e0e473g-00f067aa0ba902b7-01", false}),
    [](const auto& it) { return it.param.name; });

// Guards against unbounded memory and against spans of other traces in an answer.
TEST(span_ring, keeps_the_newest_spans_up_to_its_capacity) {
    span_ring ring;
    ring.capacity = 3;
    for (std::uint64_t i = 1; i <= 5; ++i) {
        add_span(ring, {.trace = {1, i == 4 ? 2U : 1U}, .id = i, .name = "status", .peer = "s"});
    }
    EXPECT_EQ(3U, ring.spans.size());
    const auto found = spans_of(ring, {1, 1});
    ASSERT_EQ(2U, found.size());
    EXPECT_EQ(3U, found[0].id);
    EXPECT_EQ(5U, found[1].id);
    EXPECT_NE(std::string::npos, to_json(found).find("\"span\":\"0000000000000005\""));
}

} // namespace
} // namespace endivelever
