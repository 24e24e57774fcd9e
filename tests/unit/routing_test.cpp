#include "endivelever/decide/route_table.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

route route_to(const std::string& id, const std::string& host, const std::string& prefix) {
    route it;
    it.id = route_id(id);
    it.host = host;
    it.path_prefix = prefix;
    it.split = {{service_id("desk"), 1}};
    return it;
}

std::shared_ptr<const route_table> table() {
    routing_config config;
    config.routes = {route_to("root", "a.example", "/"), route_to("short", "a.example", "/x/"),
                     route_to("long", "a.example", "/x/y/"), route_to("other", "b.example", "/x/")};
    return make_route_table(std::move(config));
}

struct lookup_case {
    const char* host;
    const char* path;
    const char* route; ///< empty if none matches
};

struct route_lookup : testing::TestWithParam<lookup_case> {};

// Guards against choosing a route with a shorter prefix, and against a prefix that matches a part of a path
// segment.
TEST_P(route_lookup, finds_the_longest_prefix) {
    const auto routes = table();
    const auto* found = find_route(*routes, GetParam().host, GetParam().path);
    EXPECT_EQ(GetParam().route, found == nullptr ? std::string() : found->id.text);
}

INSTANTIATE_TEST_SUITE_P(
    paths, route_lookup,
    testing::Values(lookup_case{"a.example", "/x/y/z", "long"}, lookup_case{"a.example", "/x/yy", "short"},
                    lookup_case{"a.example", "/xx", "root"}, lookup_case{"A.Example:8080", "/x/1", "short"},
                    lookup_case{"b.example", "/y", ""}, lookup_case{"c.example", "/x/", ""}));

struct assumed_case {
    const char* name;
    std::vector<int> targets_ms; ///< of the routes to the service; 0 means no target
    int low_ms;                  ///< bounds of the result
    int high_ms;
};

struct assumed_time_test : testing::TestWithParam<assumed_case> {};

// Guards against a VM that after a restart assumes a tenth of the servers' actual response time.
TEST_P(assumed_time_test, is_a_fraction_of_the_shortest_target) {
    routing_config config;
    config.routes.push_back(route_to("far", "a.example", "/far/"));
    config.routes.back().split = {{service_id("other"), 1}};
    config.routes.back().latency_target = std::chrono::milliseconds(1);
    for (const auto ms : GetParam().targets_ms) {
        config.routes.push_back(route_to("near", "a.example", "/" + std::to_string(ms) + "/"));
        config.routes.back().latency_target = std::chrono::milliseconds(ms);
    }
    const auto time = assumed_time(config, service_id("desk"));
    EXPECT_GE(time, std::chrono::milliseconds(GetParam().low_ms));
    EXPECT_LE(time, std::chrono::milliseconds(GetParam().high_ms));
}

INSTANTIATE_TEST_SUITE_P(targets, assumed_time_test,
                         testing::Values(assumed_case{"no_route", {}, 0, 0},
                                         assumed_case{"no_target", {0}, 0, 0},
                                         assumed_case{"one", {1000}, 250, 500},
                                         assumed_case{"shortest_of_two", {4000, 1000}, 250, 500},
                                         assumed_case{"target_and_none", {0, 200}, 50, 100}),
                         [](const auto& it) { return it.param.name; });

// Guards against shares of traffic that deviate from the weights.
TEST(traffic_split, follows_the_weights) {
    auto it = route_to("r", "a", "/");
    it.split = {{service_id("a"), 90}, {service_id("b"), 10}, {service_id("c"), 0}};
    random_source random(7, 1);
    std::map<service_id, int> counts;
    for (int i = 0; i < 10'000; ++i) {
        ++counts[pick_service(it, random)];
    }
    EXPECT_NEAR(9000, counts[service_id("a")], 200);
    EXPECT_EQ(0, counts[service_id("c")]);
}

} // namespace
} // namespace endivelever
