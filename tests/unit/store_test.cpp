#include "endivelever/store/call_budget.hpp"
#include "endivelever/store/store_answer.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

struct etag_case {
    const char* name;
    const char* text;
    std::uint64_t version; ///< 0 if the text is rejected
};

class store_etag : public testing::TestWithParam<etag_case> {};

// Guards against reading a version from a malformed header.
TEST_P(store_etag, is_parsed_strictly) {
    EXPECT_EQ(parse_etag(GetParam().text).value_or(document_version{}).value, GetParam().version);
}

INSTANTIATE_TEST_SUITE_P(cases, store_etag,
                         testing::Values(etag_case{"plain", "\"42\"", 42}, etag_case{"unquoted", "42", 0},
                                         etag_case{"weak", "W/\"42\"", 0}, etag_case{"empty", "\"\"", 0},
                                         etag_case{"zero", "\"0\"", 0}, etag_case{"negative", "\"-1\"", 0},
                                         etag_case{"trailing", "\"42x\"", 0},
                                         etag_case{"half_quoted", "\"42", 0},
                                         etag_case{"too_large", "\"18446744073709551616\"", 0}),
                         [](const auto& it) { return it.param.name; });

struct list_case {
    const char* name;
    const char* item;
};

class store_list : public testing::TestWithParam<list_case> {};

// Guards against one odd item that makes the list of all objects unreadable.
TEST_P(store_list, keeps_the_others_beside_an_odd_item) {
    http_reply reply;
    reply.result.status = 200;
    reply.body = std::string("[") + GetParam().item + R"(,{"key":"presets/a","version":4}])";
    const auto answer = classify_list_reply(reply);
    EXPECT_EQ(answer.status, store_status::ok) << answer.detail;
    ASSERT_EQ(answer.objects.size(), 1U);
    EXPECT_EQ(answer.objects[0].key, document_key("presets/a"));
}

INSTANTIATE_TEST_SUITE_P(items, store_list,
                         testing::Values(list_case{"null", "null"}, list_case{"text", "\"presets/b\""},
                                         list_case{"no_key", R"({"version":4})"},
                                         list_case{"key_of_another_type", R"({"key":7,"version":4})"},
                                         list_case{"no_version", R"({"key":"presets/b"})"},
                                         list_case{"negative_version", R"({"key":"b","version":-1})"}),
                         [](const auto& it) { return it.param.name; });

// Guards against a burst of calls when the store recovers from an outage.
TEST(call_budget, holds_in_every_second_even_after_a_long_pause) {
    call_budget budget;
    budget.calls_per_second = 5;
    random_source random(7, 1);
    std::deque<time_point> taken;
    time_point now{100s};
    for (int i = 0; i < 20'000; ++i) {
        now += std::chrono::milliseconds(i % 1000 == 0 ? 60'000 : random_below(random, 60));
        if (try_take_call(budget, now)) {
            taken.push_back(now);
        }
        while (now - taken.front() >= 1s) {
            taken.pop_front();
        }
        ASSERT_LE(taken.size(), 5U);
    }
    EXPECT_GT(budget.refused, 0U);
}

// Guards against members that retry at the same time, and against unbounded delays.
TEST(back_off, doubles_with_jitter_up_to_the_limit) {
    random_source random(8, 1);
    back_off state;
    state.max_delay = 1s;
    duration previous{};
    for (const auto step : {100ms, 200ms, 400ms, 800ms, 1000ms, 1000ms}) {
        const auto delay = next_delay(state, random);
        EXPECT_GE(delay, step / 2);
        EXPECT_LE(delay, step);
        EXPECT_NE(delay, previous);
        previous = delay;
    }
}

} // namespace
} // namespace endivelever
