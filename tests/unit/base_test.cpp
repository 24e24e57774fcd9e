#include "endivelever/base/counters.hpp"
#include "endivelever/base/histogram.hpp"
#include "endivelever/base/log.hpp"
#include "endivelever/base/random.hpp"
#include "endivelever/base/result.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

struct quantile_case {
    const char* name;
    double quantile;
    duration expected;
};

class histogram_quantile : public testing::TestWithParam<quantile_case> {};

// Guards against buckets that are wider than the stated relative error.
TEST_P(histogram_quantile, is_within_relative_error) {
    histogram values;
    for (int i = 1; i <= 1000; ++i) {
        record(values, std::chrono::microseconds(i * 10));
    }
    const auto measured = value_at(values, GetParam().quantile);
    EXPECT_GE(measured, GetParam().expected);
    EXPECT_LE(measured, GetParam().expected * 33 / 32 + 1us);
}

INSTANTIATE_TEST_SUITE_P(quantiles, histogram_quantile,
                         testing::Values(quantile_case{"median", 0.5, 5000us},
                                         quantile_case{"p99", 0.99, 9900us},
                                         quantile_case{"maximum", 1.0, 10000us}),
                         [](const auto& it) { return it.param.name; });

TEST(histogram, empty_histogram_has_no_quantile) {
    EXPECT_EQ(value_at(histogram{}, 0.99), duration::zero());
}

TEST(histogram, merge_adds_counts_and_maximum) {
    histogram first;
    histogram second;
    record(first, 1ms);
    record(second, 2s);
    merge(first, second);
    EXPECT_EQ(first.total, 2U);
    EXPECT_EQ(first.max, 2s);
}

TEST(counters, exposition_names_each_metric_once) {
    counter_table table;
    counter(table, "calls_total{kind=\"a\"}") = 2;
    counter(table, "calls_total{kind=\"b\"}") = 3;
    table.gauges["open_calls"] = 4;
    EXPECT_EQ(exposition_text(table), "# TYPE endivelever_calls_total counter\n"
                                      "endivelever_calls_total{kind=\"a\"} 2\n"
                                      "endivelever_calls_total{kind=\"b\"} 3\n"
                                      "# TYPE endivelever_open_calls gauge\n"
                                      "endivelever_open_calls 4\n");
}

// Guards against a flood of calls that becomes a flood of log lines.
TEST(log_limit, suppresses_lines_over_the_limit_and_recovers) {
    log_limit limit{.lines_per_second = 2};
    const time_point start{10s};
    EXPECT_TRUE(allow_line(limit, start));
    EXPECT_TRUE(allow_line(limit, start));
    EXPECT_FALSE(allow_line(limit, start + 1ms));
    EXPECT_EQ(limit.suppressed, 1U);
    EXPECT_TRUE(allow_line(limit, start + 1s));
}

struct log_level_case {
    const char* level;
    const char* printed; ///< levels that are printed, in order
};

class log_level : public testing::TestWithParam<log_level_case> {};

// Guards against a level that hides more severe messages: "info" once hid errors.
TEST_P(log_level, prints_its_own_and_more_severe_messages) {
    configure_logging(GetParam().level);
    testing::internal::CaptureStderr();
    LOG(DEBUG) << "[test] debug-line";
    LOG(INFO) << "[test] info-line";
    LOG(WARNING) << "[test] warning-line";
    LOG(ERROR) << "[test] error-line";
    const auto text = testing::internal::GetCapturedStderr();
    std::string printed;
    for (const char* it : {"debug", "info", "warning", "error"}) {
        if (text.find(std::string(it) + "-line") != std::string::npos) {
            printed += std::string(it) + " ";
        }
    }
    EXPECT_EQ(printed, GetParam().printed);
    configure_logging("info");
}

INSTANTIATE_TEST_SUITE_P(levels, log_level,
                         testing::Values(log_level_case{"debug", "debug info warning error "},
                                         log_level_case{"info", "info warning error "},
                                         log_level_case{"warning", "warning error "},
                                         log_level_case{"error", "error "}),
                         [](const auto& it) { return std::string(it.param.level); });

TEST(error_value, message_starts_with_prefix_and_id) {
    EXPECT_EQ(make_error("config", 7, "bad value 3").message, "[config.7] bad value 3");
}

TEST(random_source, unit_numbers_stay_in_range) {
    random_source random(42, 1);
    for (int i = 0; i < 1000; ++i) {
        const double value = random_unit(random);
        EXPECT_GE(value, 0.0);
        EXPECT_LT(value, 1.0);
    }
}

} // namespace
} // namespace endivelever
