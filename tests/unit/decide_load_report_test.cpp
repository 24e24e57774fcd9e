#include "endivelever/decide/load_report.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

struct report_case {
    const char* name;
    const char* text;
    bool valid;
    std::uint32_t running;
    std::uint32_t queued;
};

class load_report_text : public testing::TestWithParam<report_case> {};

// Guards against treating a server with a malformed header as idle.
TEST_P(load_report_text, is_parsed_or_rejected) {
    const auto report = parse_load_report(GetParam().text);
    ASSERT_EQ(report.has_value(), GetParam().valid);
    if (report) {
        EXPECT_EQ(report->running, GetParam().running);
        EXPECT_EQ(report->queued, GetParam().queued);
    } else {
        EXPECT_EQ(report.error().message.rfind("[decide.1] ", 0), 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(
    texts, load_report_text,
    testing::Values(report_case{"full", "running=3;queued=2;service_us=4800;draining=0", true, 3, 2},
                    report_case{"spaces", " running=3 ; queued=2 ", true, 3, 2},
                    report_case{"unknown_field", "running=1;cpu=high;x;queued=4;", true, 1, 4},
                    report_case{"empty", "", false, 0, 0}, report_case{"only_separators", ";;", false, 0, 0},
                    report_case{"no_running", "queued=2", false, 0, 0},
                    report_case{"negative", "running=-1", false, 0, 0},
                    report_case{"no_number", "running=;queued=1", false, 0, 0},
                    report_case{"trailing_text", "running=1x", false, 0, 0},
                    report_case{"over_range", "running=1000001", false, 0, 0},
                    report_case{"overflow", "running=99999999999999999999", false, 0, 0},
                    report_case{"bad_draining", "running=1;draining=2", false, 0, 0}),
    [](const auto& it) { return it.param.name; });

TEST(load_report_fields, include_service_time_and_draining) {
    const auto report = parse_load_report("running=0;service_us=4800;draining=1");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->service_time, 4800us);
    EXPECT_TRUE(report->draining);
}

} // namespace
} // namespace endivelever
