// Cost of the functions that run for every call.
#include "endivelever/decide/admission.hpp"
#include "endivelever/decide/choose_server.hpp"
#include "endivelever/decide/observe.hpp"

#include <benchmark/benchmark.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};

server_pool pool_of(std::size_t servers, choice_policy policy) {
    server_pool pool;
    pool.service.choice = policy;
    pool.own_domain = failure_domain("a");
    std::vector<listed_server> listed(servers);
    for (std::size_t i = 0; i < servers; ++i) {
        listed[i].id = server_id("server-" + std::to_string(i));
        listed[i].failure_domain = failure_domain(i % 4 == 0 ? "a" : "b");
    }
    update_servers(pool, listed, {}, 16, start - 1h);
    review_servers(pool, start);
    for (auto& it : pool.servers) {
        note_report(it, {.running = 3, .queued = 1, .service_time = 5ms}, start);
        note_dispatch(it, start);
    }
    return pool;
}

void choose_server_cost(benchmark::State& state) {
    auto pool = pool_of(static_cast<std::size_t>(state.range(0)), static_cast<choice_policy>(state.range(1)));
    random_source random(1, 1);
    for ([[maybe_unused]] auto _ : state) {
        benchmark::DoNotOptimize(choose_server(pool, {}, start + 3ms, random));
    }
}
BENCHMARK(choose_server_cost)->ArgNames({"servers", "policy"})->ArgsProduct({{8, 20, 100}, {0, 1, 2}});

service_admission admission_of(std::size_t kinds) {
    service_admission admission;
    preset rules;
    for (std::size_t i = 0; i < kinds; ++i) {
        const kind_id id(std::to_string(i));
        admission.kinds.push_back({.kind = id});
        rules.kinds.push_back({.kind = id, .served_as = static_cast<rank>(i % 3), .queue_items = 1000});
    }
    apply_capacity(admission, 80, 16, {});
    apply_preset(admission, rules);
    return admission;
}

void admit_and_finish_cost(benchmark::State& state) {
    const auto kinds = static_cast<std::size_t>(state.range(0));
    auto admission = admission_of(kinds);
    const load_report load{.running = 3, .queued = 1, .service_time = 5ms};
    auto now = start;
    call_number number = 0;
    for ([[maybe_unused]] auto _ : state) {
        now += 1us;
        enqueue(admission, {++number, number % kinds, now, now + 1s, {100}}, now);
        if (const auto call = take_next(admission, now)) {
            record_completion(admission, call->kind, {.latency = 5ms, .report = load, .server_slots = 4},
                              now);
        }
    }
}
BENCHMARK(admit_and_finish_cost)->ArgName("kinds")->Arg(1)->Arg(3)->Arg(8);

void take_next_blocked_cost(benchmark::State& state) {
    auto admission = admission_of(3);
    for (call_number i = 0; i < 900; ++i) {
        enqueue(admission, {i, i % 3, start, start + 1h, {100}}, start);
    }
    while (take_next(admission, start)) {
    }
    for ([[maybe_unused]] auto _ : state) {
        benchmark::DoNotOptimize(take_next(admission, start));
    }
}
BENCHMARK(take_next_blocked_cost);

} // namespace
} // namespace endivelever
