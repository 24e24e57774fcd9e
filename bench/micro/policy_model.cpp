// Model of one service: entries that call the decision core, simple servers, a fake clock. Its figures
// compare policies with each other; they say nothing about the speed of real processes.
#include "endivelever/base/histogram.hpp"
#include "endivelever/decide/admission.hpp"
#include "endivelever/decide/choose_server.hpp"
#include "endivelever/decide/observe.hpp"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <cmath>
#include <queue>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

struct model_kind {
    rank served_as = rank::normal;
    double share = 0.0;
    double load = 0.0;         ///< offered calls as part of the service's capacity
    double on_one_entry = 0.0; ///< part of these calls that arrives at entry 0 on top of the even spread
    duration deadline = 200ms;
};

struct model_setup {
    choice_policy choice = choice_policy::estimated_wait;
    admission_policy admission = admission_policy::ranked;
    std::size_t servers = 10;
    std::uint32_t slots = 4;
    std::size_t entries = 16;
    std::uint32_t subset = 0;
    bool straggler = false;  ///< server 0 stops answering after one second
    bool misleading = false; ///< server 1 takes 4 times as long and always reports that it is idle
    std::vector<model_kind> kinds{};
};

struct model_call {
    std::size_t kind = 0;
    std::size_t entry = 0;
    std::size_t server = 0;
    time_point born{};
    time_point sent{};
    bool shed = false;
    load_report report{};
};

enum class step { arrival, review, at_server, slot_done, at_entry };

struct model_event {
    time_point when{};
    step what = step::arrival;
    std::size_t subject = 0; ///< call, kind or entry
    bool operator>(const model_event& other) const { return when > other.when; }
};

struct model_server {
    std::uint32_t running = 0;
    std::deque<std::size_t> queue;
    double slowness = 1.0;
    time_point slowness_until{};
};

struct model_entry {
    server_pool pool;
    service_admission admission;
};

struct kind_result {
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
    histogram latency;
};

constexpr duration mean_service = 5ms;
constexpr duration near_delay = 250us;
constexpr duration far_delay = 1500us;
constexpr std::size_t queue_limit_per_slot = 4;
constexpr time_point warm{1s};
constexpr time_point last{6s};

struct model {
    model_setup setup;
    random_source random{42, 1};
    std::vector<model_entry> entries{};
    std::vector<model_server> servers{};
    std::vector<model_call> calls{};
    std::vector<kind_result> results{};
    std::priority_queue<model_event, std::vector<model_event>, std::greater<>> events{};
};

failure_domain domain_of(std::size_t index) {
    return failure_domain(std::to_string(index % 4));
}

duration drawn(model& m, duration mean) {
    const double value = -std::log(1.0 - random_unit(m.random)) * static_cast<double>(mean.count());
    return duration(static_cast<duration::rep>(value));
}

duration one_way(const model_call& call) {
    return call.entry % 4 == call.server % 4 ? near_delay : far_delay;
}

void schedule_arrival(model& m, std::size_t kind, time_point now) {
    const double capacity = static_cast<double>(m.setup.servers * m.setup.slots) / to_seconds(mean_service);
    const double rate = capacity * m.setup.kinds[kind].load;
    if (rate > 0.0) {
        m.events.push({now + drawn(m, from_milliseconds(1000.0 / rate)), step::arrival, kind});
    }
}

void set_up_entry(model& m, std::size_t index) {
    model_entry entry;
    entry.pool.own_vm = vm_id("vm-" + std::to_string(index));
    entry.pool.own_domain = domain_of(index);
    entry.pool.service.choice = m.setup.choice;
    entry.pool.service.slots_per_server = m.setup.slots;
    entry.pool.subset_size = m.setup.subset;
    std::vector<listed_server> listed(m.setup.servers);
    for (std::size_t i = 0; i < listed.size(); ++i) {
        listed[i].id = server_id("server-" + std::to_string(i));
        listed[i].failure_domain = domain_of(i);
    }
    update_servers(entry.pool, listed, {}, static_cast<std::uint32_t>(m.setup.entries), time_point{});
    preset rules;
    entry.admission.service.admission = m.setup.admission;
    std::vector<double> fractions;
    for (std::size_t i = 0; i < m.setup.kinds.size(); ++i) {
        const auto& kind = m.setup.kinds[i];
        const kind_id id(std::to_string(i));
        entry.admission.kinds.push_back({.kind = id});
        rules.kinds.push_back({.kind = id, .served_as = kind.served_as, .guaranteed_share = kind.share});
        const double even = (1.0 - kind.on_one_entry) / static_cast<double>(m.setup.entries);
        fractions.push_back(index == 0 ? even + kind.on_one_entry : even);
    }
    apply_capacity(entry.admission, static_cast<std::uint32_t>(m.setup.servers) * m.setup.slots,
                   static_cast<std::uint32_t>(m.setup.entries), fractions);
    apply_preset(entry.admission, rules);
    m.entries.push_back(std::move(entry));
    m.events.push({time_point{} + index * 300us, step::review, index});
}

void start_slot(model& m, std::size_t call, time_point now) {
    const auto index = m.calls[call].server;
    auto& server = m.servers[index];
    if (now >= server.slowness_until) { // load shifts within milliseconds
        // A tenth of the time a server is six times as slow as in the rest. With these factors the pool
        // completes one call per slot and mean service time when it is never idle.
        server.slowness = random_unit(m.random) < 0.1 ? 4.98 : 0.871;
        server.slowness_until = now + drawn(m, 20ms);
    }
    ++server.running;
    const double factor = server.slowness * (m.setup.misleading && index == 1 ? 4.0 : 1.0);
    const bool stuck = m.setup.straggler && index == 0 && now > time_point{1s};
    const auto service = mean_service / 2 + drawn(m, mean_service / 2);
    const auto busy = from_milliseconds(to_milliseconds(service) * factor);
    m.events.push({now + (stuck ? 1h : busy), step::slot_done, call});
}

void answer(model& m, std::size_t call, bool shed, time_point now) {
    auto& it = m.calls[call];
    const auto& server = m.servers[it.server];
    it.shed = shed;
    it.report = {.running = server.running,
                 .queued = static_cast<std::uint32_t>(server.queue.size()),
                 .service_time = mean_service};
    if (m.setup.misleading && it.server == 1) {
        it.report.running = it.report.queued = 0;
    }
    m.events.push({now + one_way(it), step::at_entry, call});
}

void reach_server(model& m, std::size_t call, time_point now) {
    auto& server = m.servers[m.calls[call].server];
    if (server.running < m.setup.slots) {
        start_slot(m, call, now);
    } else if (server.queue.size() < queue_limit_per_slot * m.setup.slots) {
        server.queue.push_back(call);
    } else {
        answer(m, call, true, now);
    }
}

void free_slot(model& m, std::size_t call, time_point now) {
    auto& server = m.servers[m.calls[call].server];
    --server.running;
    while (!server.queue.empty() && server.running < m.setup.slots) {
        const auto next = server.queue.front();
        server.queue.pop_front();
        const bool late = m.calls[next].born + m.setup.kinds[m.calls[next].kind].deadline < now;
        late ? answer(m, next, true, now) : start_slot(m, next, now);
    }
    answer(m, call, false, now);
}

void send_waiting(model& m, model_entry& entry, time_point now) {
    while (const auto next = take_next(entry.admission, now)) {
        auto& call = m.calls[next->call];
        const auto server = choose_server(entry.pool, {}, now, m.random);
        if (!server) {
            record_completion(entry.admission, call.kind, {.failed = true}, now);
            continue;
        }
        call.server = *server;
        call.sent = now;
        note_dispatch(entry.pool.servers[*server], now);
        m.events.push({now + one_way(call), step::at_server, next->call});
    }
}

/// Leaves out calls whose end falls after the end of the run.
bool is_counted(time_point born) {
    return born >= warm && born < last - 250ms;
}

void arrive(model& m, std::size_t kind, time_point now) {
    const auto& rule = m.setup.kinds[kind];
    const bool on_first = random_unit(m.random) < rule.on_one_entry;
    const auto entry = on_first ? 0 : random_below(m.random, static_cast<std::uint32_t>(m.entries.size()));
    m.calls.push_back({.kind = kind, .entry = entry, .born = now});
    m.results[kind].offered += is_counted(now) ? 1 : 0;
    const waiting_call call{m.calls.size() - 1, kind, now, now + rule.deadline, {100}};
    if (enqueue(m.entries[entry].admission, call, now) == refusal::none) {
        send_waiting(m, m.entries[entry], now);
    }
    schedule_arrival(m, kind, now);
}

void finish(model& m, std::size_t index, time_point now) {
    const auto& call = m.calls[index];
    auto& entry = m.entries[call.entry];
    const auto end = call.shed ? attempt_end::shed : attempt_end::answered;
    note_end(entry.pool, entry.pool.servers[call.server], call.sent, now, end, call.report);
    record_completion(
        entry.admission, call.kind,
        {.shed = call.shed, .latency = now - call.sent, .report = call.report, .server_slots = m.setup.slots},
        now);
    const bool good = !call.shed && now - call.born <= m.setup.kinds[call.kind].deadline;
    if (good && is_counted(call.born)) {
        ++m.results[call.kind].good;
        record(m.results[call.kind].latency, now - call.born);
    }
    send_waiting(m, entry, now);
}

void review(model& m, std::size_t entry, time_point now) {
    review_servers(m.entries[entry].pool, now);
    take_expired(m.entries[entry].admission, now);
    send_waiting(m, m.entries[entry], now);
    m.events.push({now + 5ms, step::review, entry});
}

void run(model& m) {
    m.servers.resize(m.setup.servers);
    m.results.resize(m.setup.kinds.size());
    for (std::size_t i = 0; i < m.setup.entries; ++i) {
        set_up_entry(m, i);
    }
    for (std::size_t i = 0; i < m.setup.kinds.size(); ++i) {
        schedule_arrival(m, i, time_point{});
    }
    while (m.events.top().when < last) {
        const auto event = m.events.top();
        m.events.pop();
        switch (event.what) {
        case step::arrival:
            arrive(m, event.subject, event.when);
            break;
        case step::review:
            review(m, event.subject, event.when);
            break;
        case step::at_server:
            reach_server(m, event.subject, event.when);
            break;
        case step::slot_done:
            free_slot(m, event.subject, event.when);
            break;
        case step::at_entry:
            finish(m, event.subject, event.when);
            break;
        }
    }
}

void report(benchmark::State& state, const model_setup& setup) {
    model m{.setup = setup};
    m.random.seed(static_cast<std::uint64_t>(state.range(0)));
    for ([[maybe_unused]] auto _ : state) {
        run(m);
    }
    double capacity_used = 0.0;
    for (std::size_t i = 0; i < m.results.size(); ++i) {
        const auto& it = m.results[i];
        const auto name = "k" + std::to_string(i);
        const double good =
            static_cast<double>(it.good) / static_cast<double>(std::max<std::uint64_t>(1, it.offered));
        capacity_used += good * setup.kinds[i].load;
        state.counters[name + "_good"] = good;
        state.counters[name + "_of_capacity"] = good * setup.kinds[i].load;
        state.counters[name + "_p50_ms"] = to_milliseconds(value_at(it.latency, 0.5));
        state.counters[name + "_p99_ms"] = to_milliseconds(value_at(it.latency, 0.99));
    }
    state.counters["good_of_capacity"] = capacity_used;
}

constexpr const char* policy_names[] = {"estimated_wait", "least_in_flight", "two_choices", "round_robin",
                                        "random"};

void add_choice(const std::string& name, model_setup setup) {
    for (int policy = 0; policy < 5; ++policy) {
        setup.choice = static_cast<choice_policy>(policy);
        setup.admission = admission_policy::fifo;
        for (const std::uint32_t subset : {0U, 4U, 6U}) {
            if (subset != 0 && policy != 0) {
                continue;
            }
            setup.subset = subset;
            const auto full =
                "model_choice/" + name + "/" + policy_names[policy] + "/subset:" + std::to_string(subset);
            benchmark::RegisterBenchmark(full.c_str(), [setup](benchmark::State& s) { report(s, setup); })
                ->ArgName("seed")
                ->DenseRange(1, 5)
                ->Iterations(1);
        }
    }
}

void add_admission(const std::string& name, model_setup setup) {
    for (const auto policy : {admission_policy::ranked, admission_policy::fifo}) {
        setup.admission = policy;
        const auto full =
            "model_admission/" + name + (policy == admission_policy::fifo ? "/fifo" : "/ranked");
        benchmark::RegisterBenchmark(full.c_str(), [setup](benchmark::State& s) { report(s, setup); })
            ->ArgName("seed")
            ->DenseRange(1, 5)
            ->Iterations(1);
    }
}

std::vector<model_kind> three_kinds(double low, double normal, double urgent, double low_on_one,
                                    double urgent_on_one) {
    return {{rank::low, 0.1, low, low_on_one},
            {rank::normal, 0.2, normal},
            {rank::urgent, 0.3, urgent, urgent_on_one}};
}

const bool registered = [] {
    for (const int load : {50, 80, 95}) {
        const std::vector<model_kind> kinds{{rank::normal, 0.0, load / 100.0, 0.0}};
        add_choice("load" + std::to_string(load), {.kinds = kinds});
    }
    add_choice("servers20_load80", {.servers = 20, .kinds = {{rank::normal, 0.0, 0.8, 0.0}}});
    add_choice("straggler", {.straggler = true, .kinds = {{rank::normal, 0.0, 0.7, 0.0}}});
    add_choice("misleading", {.misleading = true, .kinds = {{rank::normal, 0.0, 0.7, 0.0}}});
    for (const double one : {0.0, 0.95}) {
        const std::string where = one > 0.0 ? "_one_entry" : "_spread";
        add_admission("low_flood" + where, {.kinds = three_kinds(10.0, 0.2, 0.3, one, 0.0)});
        add_admission("urgent_flood" + where, {.kinds = three_kinds(0.3, 0.3, 10.0, 0.0, one)});
        add_admission("all_1.3" + where, {.kinds = three_kinds(0.433, 0.433, 0.433, one, 0.0)});
    }
    return true;
}();

} // namespace
} // namespace endivelever
