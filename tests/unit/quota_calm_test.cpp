#include "endivelever/decide/quota_bucket.hpp"
#include "endivelever/decide/quota_reserve.hpp"

#include <array>
#include <cmath>
#include <gtest/gtest.h>
#include <queue>
#include <random>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t vm_count = 94;
constexpr time_point start{100s};
constexpr duration one_way = 2ms;
const quota_bounds bounds{5s, 0.1, 20.0};

enum class event_kind { request, ask, grant };

struct event {
    time_point at;
    event_kind kind = event_kind::request;
    std::size_t vm = 0;
    time_point asked_at{};
    quota_decision decision;

    bool operator>(const event& other) const { return at > other.at; }
};

struct outcome {
    std::size_t served = 0;
    std::size_t refused = 0;
};

/// Plays the VMs and the allocator of one tenant, whose requests arrive at random moments. Half of them
/// arrive at a tenth of the VMs.
outcome play(const quota_limit& limit, double load, duration time) {
    std::mt19937_64 random(17);
    std::uniform_real_distribution<double> unit(1e-9, 1.0);
    std::array<quota_reserve, vm_count> reserves;
    std::array<std::size_t, vm_count> waiting{};
    auto bucket = make_quota_bucket(limit, bounds, true, start);
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    outcome out;
    auto at = start;
    const double per_second = load * limit.rate;
    const auto next_request = [&] {
        at += from_milliseconds(-std::log(unit(random)) * 1000.0 / per_second);
        const bool is_frequent = unit(random) < 0.5;
        const std::size_t among = is_frequent ? vm_count / 10 : vm_count;
        events.push({at, event_kind::request, random() % among, {}, {}});
    };
    next_request();
    while (events.top().at < start + time) {
        auto it = events.top();
        events.pop();
        auto& reserve = reserves.at(it.vm);
        switch (it.kind) {
        case event_kind::request:
            next_request();
            if (take_token(reserve, it.at) != time_point{}) {
                ++out.served;
            } else if (it.at < reserve.refused_until) {
                ++out.refused;
            } else {
                ++waiting.at(it.vm);
                events.push({it.at + one_way, event_kind::ask, it.vm, it.at, {}});
            }
            break;
        case event_kind::ask:
            it.decision = grant_tokens(bucket, 1, it.at);
            it.kind = event_kind::grant;
            it.at += one_way;
            events.push(it);
            break;
        case event_kind::grant:
            add_tokens(reserve, it.decision.tokens, it.asked_at + token_lifetime(bounds), it.at);
            while (waiting.at(it.vm) > 0 && take_token(reserve, it.at) != time_point{}) {
                --waiting.at(it.vm);
                ++out.served;
            }
            if (it.decision.retry_after > duration::zero()) {
                reserve.refused_until = it.at + refusal_time(it.decision.retry_after);
                out.refused += waiting.at(it.vm);
                waiting.at(it.vm) = 0;
            }
            break;
        }
    }
    return out;
}

struct calm_case {
    const char* name;
    quota_limit limit;
};

struct quota_calm : testing::TestWithParam<calm_case> {};

// Guards against a tenant within its limit that is refused because its requests are spread over many VMs, or
// come in small bursts.
TEST_P(quota_calm, tenant_at_nine_tenths_of_its_limit_is_hardly_refused) {
    const auto& limit = GetParam().limit;
    const auto requests = 20'000.0;
    const auto out = play(limit, 0.9, from_milliseconds(1000.0 * requests / limit.rate));
    EXPECT_LT(static_cast<double>(out.refused), requests / 200.0);
    RecordProperty("refused", std::to_string(out.refused));
}

// Guards against a flood that keeps a tenant from the requests that its limit allows.
TEST_P(quota_calm, tenant_at_five_times_its_limit_gets_its_limit) {
    const auto& limit = GetParam().limit;
    const auto time = 300s;
    const auto out = play(limit, 5.0, time);
    EXPECT_GT(static_cast<double>(out.served), 0.9 * limit.rate * to_seconds(time));
    RecordProperty("served", std::to_string(out.served));
}

INSTANTIATE_TEST_SUITE_P(limits, quota_calm,
                         testing::Values(calm_case{"of_2", {2, 0}}, calm_case{"of_2_with_burst", {2, 4}},
                                         calm_case{"of_5", {5, 0}}, calm_case{"of_13", {13, 3}},
                                         calm_case{"of_40", {40, 0}}, calm_case{"of_120", {120, 30}},
                                         calm_case{"of_300", {300, 0}}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever
