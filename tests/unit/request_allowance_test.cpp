#include "endivelever/decide/request_allowance.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};
const server_id server("i-1");

vm_id vm(std::size_t index) {
    return vm_id("vm-" + std::to_string(index));
}

server_directives limit_of(std::optional<double> requests_per_second) {
    server_directives said;
    said.fleet_limit = requests_per_second;
    return said;
}

/// Place of one VM in a fleet of which it does not know every `unknown`th other VM; 0 means it knows all.
fleet_position place_of(std::size_t own, std::size_t vms, std::size_t unknown) {
    std::vector<vm_id> others;
    for (std::size_t i = 0; i < vms; ++i) {
        if (i != own && (unknown == 0 || (i + own) % unknown != 0)) {
            others.push_back(vm(i));
        }
    }
    return position_for(server, vm(own), others);
}

struct fleet_case {
    const char* name;
    std::size_t vms;
    double limit; ///< requests per second
    std::size_t unknown;
};

struct fleet_limit : testing::TestWithParam<fleet_case> {};

// Guards against VMs that each keep to a limit and exceed it together. Every VM sends whenever it may.
TEST_P(fleet_limit, is_kept_and_used_by_vms_that_always_have_requests) {
    const auto& param = GetParam();
    std::vector<request_allowance> allowances(param.vms);
    std::vector<fleet_position> places;
    for (std::size_t i = 0; i < param.vms; ++i) {
        places.push_back(place_of(i, param.vms, param.unknown));
    }
    std::vector<time_point> sent;
    constexpr duration played = 60s;
    for (auto now = start; now < start + played; now += 10ms) {
        for (std::size_t i = 0; i < param.vms; ++i) {
            auto& it = allowances[i];
            const bool is_told = now >= start + std::chrono::milliseconds(i * 1000 / param.vms);
            if (is_told && may_send(it, now)) {
                note_request_sent(it, now);
                const double phase = static_cast<double>(i) / static_cast<double>(param.vms);
                apply_directives(it, limit_of(param.limit), directive_source::response, places[i], phase,
                                 now);
                sent.push_back(now);
            }
        }
    }
    std::size_t most = 0;
    const auto from = std::lower_bound(sent.begin(), sent.end(), start + 3s);
    for (auto first = from; first != sent.end(); ++first) {
        most = std::max(most,
                        static_cast<std::size_t>(std::lower_bound(first, sent.end(), *first + 4s) - first));
    }
    EXPECT_LE(static_cast<double>(most), 1.5 * param.limit * 4.0 + 5.0);
    EXPECT_GE(static_cast<double>(sent.end() - from), 0.5 * param.limit * to_seconds(played - 3s));
}

INSTANTIATE_TEST_SUITE_P(
    fleets, fleet_limit,
    testing::Values(fleet_case{"one_vm", 1, 3.0, 0}, fleet_case{"few_vms_low", 4, 0.6, 0},
                    fleet_case{"site_low", 16, 3.0, 0}, fleet_case{"site", 16, 6.2, 0},
                    fleet_case{"site_high", 16, 40.0, 0}, fleet_case{"site_vms_unknown", 16, 6.2, 8},
                    fleet_case{"grown_low", 109, 3.0, 0}, fleet_case{"grown", 138, 12.0, 0},
                    fleet_case{"grown_vms_unknown", 138, 12.0, 10}, fleet_case{"large_low", 472, 1.0, 0},
                    fleet_case{"large", 472, 30.0, 0}),
    [](const auto& it) { return it.param.name; });

struct said {
    std::optional<double> limit;
    directive_source source;
};

struct end_case {
    const char* name;
    std::vector<said> answers;
    bool limited; ///< after them
};

struct limit_end : testing::TestWithParam<end_case> {};

// Guards against a limit that outlasts the need of its server, and against one that ends with the first probe
// of a server that names it in responses only.
TEST_P(limit_end, follows_what_the_server_says) {
    request_allowance it;
    for (const auto& answer : GetParam().answers) {
        apply_directives(it, limit_of(answer.limit), answer.source, {0, 4}, 0.0, start);
    }
    EXPECT_EQ(GetParam().limited, it.fleet_limit.has_value());
}

INSTANTIATE_TEST_SUITE_P(
    answers, limit_end,
    testing::Values(
        end_case{"named", {{3.0, directive_source::response}}, true},
        end_case{
            "response_without", {{3.0, directive_source::response}, {{}, directive_source::response}}, false},
        end_case{"probe_without", {{3.0, directive_source::response}, {{}, directive_source::probe}}, true},
        end_case{"probe_with_then_without",
                 {{3.0, directive_source::response},
                  {3.0, directive_source::probe},
                  {{}, directive_source::probe}},
                 false},
        end_case{"probe_with_then_response_without",
                 {{3.0, directive_source::probe}, {{}, directive_source::response}},
                 false}),
    [](const auto& it) { return it.param.name; });

struct pause_case {
    const char* name;
    duration said;
    duration expected;
};

struct pause : testing::TestWithParam<pause_case> {};

// Guards against requests during a pause, and against a pause without end.
TEST_P(pause, is_kept_and_bounded) {
    request_allowance it;
    server_directives said;
    said.pause = GetParam().said;
    apply_directives(it, said, directive_source::response, {0, 4}, 0.0, start);
    apply_directives(it, {}, directive_source::response, {0, 4}, 0.0, start);
    EXPECT_EQ(start + GetParam().expected, next_request_at(it, start));
    EXPECT_FALSE(is_paused(it, start + GetParam().expected));
    EXPECT_EQ(GetParam().expected == duration::zero(), may_send(it, start));
}

INSTANTIATE_TEST_SUITE_P(times, pause,
                         testing::Values(pause_case{"usual", 2s, 2s}, pause_case{"none", 0s, 0s},
                                         pause_case{"huge", 999999s, max_pause}),
                         [](const auto& it) { return it.param.name; });

// Guards against a limit of zero that is taken for no limit, and against a wait without end for its next
// request.
TEST(request_allowance, limit_of_zero_allows_nothing) {
    request_allowance it;
    EXPECT_TRUE(may_send(it, start));
    apply_directives(it, limit_of(0.0), directive_source::probe, {0, 1}, 0.0, start);
    EXPECT_FALSE(may_send(it, start + 3600s));
    EXPECT_EQ(time_point::max(), next_request_at(it, start));
    apply_directives(it, limit_of(2.0), directive_source::probe, {0, 1}, 0.0, start);
    const auto next = next_request_at(it, start);
    EXPECT_GT(next, start);
    EXPECT_LE(next, start + 1s);
    EXPECT_TRUE(may_send(it, next));
}

} // namespace
} // namespace endivelever
