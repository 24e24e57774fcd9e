#include "overload_emulator.hpp"

#include "endivelever/decide/observe.hpp"
#include "endivelever/decide/probe_choice.hpp"
#include "endivelever/decide/wait_queue.hpp"

#include <cmath>
#include <functional>
#include <map>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr duration one_way = 1ms;
constexpr duration review_interval = 10ms;
constexpr duration refit_interval = 250ms;
constexpr time_point begin{100s};

struct emulated_server {
    std::uint32_t running = 0;
    std::vector<std::function<void()>> queue;
    double slowdown = 1.0;
};

struct emulated_request {
    time_point first_sent{};
    time_point arrived{};
    bool repeated = false;
};

struct emulated_vm {
    server_pool pool;
    wait_queue queue;
    queue_paces paces;
    review_pacing pacing;
    std::map<request_number, emulated_request> requests;
};

struct emulation {
    emulated_servers conf;
    emulated_callers callers;
    emulated_policy policy;
    random_source random;
    std::vector<emulated_server> servers;
    std::vector<emulated_vm> vms;
    std::multimap<time_point, std::function<void()>> events;
    time_point now = begin;
    request_number last_number = 0;
    emulated_outcome outcome;

    void after(duration delay, std::function<void()> action) {
        events.emplace(now + delay, std::move(action));
    }
};

void arrive(emulation& it, std::size_t index, emulated_request request);
void assign(emulation& it, emulated_vm& vm, std::size_t server);

bool is_counted(const emulation& it, const emulated_request& request) {
    return request.first_sent >= begin + it.callers.burst_begin;
}

load_report report_of(const emulation& it, std::size_t server) {
    const auto& state = it.servers[server];
    load_report report;
    report.running = state.running;
    report.queued = static_cast<std::uint32_t>(state.queue.size());
    report.slowdown = state.slowdown;
    return report;
}

void start_work(emulation& it, std::size_t server, std::function<void()> on_end) {
    auto& state = it.servers[server];
    ++state.running;
    const double share = static_cast<double>(state.running) / it.conf.slots;
    double factor = state.slowdown * (share > it.conf.free_share ? it.conf.full_factor : 1.0);
    factor *= std::exp(0.6 * (random_unit(it.random) - 0.5));
    it.after(from_milliseconds(to_milliseconds(it.conf.work) * factor),
             [&it, server, on_end = std::move(on_end)] {
                 auto& ended = it.servers[server];
                 --ended.running;
                 if (!ended.queue.empty()) {
                     auto next = std::move(ended.queue.front());
                     ended.queue.erase(ended.queue.begin());
                     next();
                 }
                 on_end();
             });
}

void submit(emulation& it, std::size_t server, std::function<void()> on_end) {
    auto& state = it.servers[server];
    if (state.running < it.conf.slots) {
        start_work(it, server, std::move(on_end));
    } else {
        state.queue.push_back([&it, server, on_end = std::move(on_end)] { start_work(it, server, on_end); });
    }
}

void dispatch(emulation& it, std::size_t index, std::size_t position, std::size_t server) {
    auto& vm = it.vms[index];
    auto& view = vm.pool.servers[server];
    const auto entry = vm.queue[position];
    const auto request = vm.requests.at(entry.request);
    vm.queue.erase(vm.queue.begin() + static_cast<std::ptrdiff_t>(position));
    vm.requests.erase(entry.request);
    note_queue_dispatch(vm.paces, can_meet_target(entry, light_time(vm.pool.model), it.now), it.now);
    const auto load = adjusted_report(view);
    const bool is_fresh = it.now - view.reported_at <= fresh_report_age(vm.pool.model);
    const auto sent = it.now;
    note_dispatch(view, sent);
    it.after(one_way, [&it, index, server, request, load, is_fresh, sent] {
        submit(it, server, [&it, index, server, request, load, is_fresh, sent] {
            it.after(one_way, [&it, index, server, request, load, is_fresh, sent,
                               report = report_of(it, server)] {
                auto& done = it.vms[index];
                note_end(done.pool, done.pool.servers[server], sent, it.now, attempt_end::answered, report);
                if (it.policy.learns && is_fresh) {
                    learn_response(done.pool.model, load, it.conf.slots, it.now - sent);
                }
                if (is_counted(it, request)) {
                    const bool in_time = it.now - request.first_sent <= it.callers.target;
                    ++(in_time ? it.outcome.in_time : it.outcome.late);
                }
                assign(it, done, server);
            });
        });
    });
}

void assign(emulation& it, emulated_vm& vm, std::size_t server) {
    const auto index = static_cast<std::size_t>(&vm - it.vms.data());
    while (true) {
        const auto& view = vm.pool.servers[server];
        const auto load = adjusted_report(view);
        server_offer offer;
        offer.server = view.listed.id;
        offer.has_free_slot = has_room(vm.pool.model, load, it.conf.slots);
        offer.has_spare_capacity = is_uncontended(vm.pool.model, load, it.conf.slots);
        offer.predicted_latency = predicted_time(vm.pool.model, load, it.conf.slots);
        const response_estimate expected{light_time(vm.pool.model), response_margin(vm.pool.model)};
        const auto position = select_request(vm.queue, offer, expected, it.now);
        if (!position) {
            return;
        }
        dispatch(it, index, *position, server);
    }
}

waiting_request* find_waiting(emulated_vm& vm, request_number number) {
    const auto found = std::find_if(vm.queue.begin(), vm.queue.end(),
                                    [number](const auto& entry) { return entry.request == number; });
    return found == vm.queue.end() ? nullptr : &*found;
}

void probe(emulation& it, std::size_t index, request_number number, std::size_t wanted);

void handle_probe(emulation& it, std::size_t index, request_number number, std::size_t server,
                  const load_report& report) {
    auto& vm = it.vms[index];
    auto& view = vm.pool.servers[server];
    if (it.policy.learns) {
        learn_speed(vm.pool.model, report, view.last_report, it.now - view.reported_at);
    }
    adapt_pacing(vm.pacing, report, operating_limit(vm.pool.model, it.conf.slots));
    note_report(view, report, it.now);
    assign(it, vm, server);
    auto* entry = find_waiting(vm, number);
    if (entry == nullptr || --entry->probes_pending > 0) {
        return;
    }
    if (entry->probes_sent < max_probes_per_request) {
        probe(it, index, number, followup_probes);
    } else {
        entry->probing_done = true;
    }
}

void probe(emulation& it, std::size_t index, request_number number, std::size_t wanted) {
    auto& vm = it.vms[index];
    for (const auto server : pick_candidates(vm.pool, {}, wanted, false, it.now, it.random)) {
        auto* entry = find_waiting(vm, number);
        ++entry->probes_sent;
        ++entry->probes_pending;
        vm.pool.servers[server].last_probe = it.now;
        it.after(one_way, [&it, index, number, server] {
            it.after(one_way, [&it, index, number, server, report = report_of(it, server)] {
                handle_probe(it, index, number, server, report);
            });
        });
    }
}

void refuse(emulation& it, emulated_vm& vm, request_number number) {
    auto request = vm.requests.at(number);
    vm.requests.erase(number);
    remove_waiting(vm.queue, number);
    const auto left = request.first_sent + it.callers.deadline - it.now;
    const auto retry_after = light_time(vm.pool.model);
    if (is_counted(it, request)) {
        ++it.outcome.refusals;
        it.outcome.late_refusals += left < it.callers.target ? 1 : 0;
        it.outcome.refused += request.repeated || left < retry_after ? 1 : 0;
    }
    if (!request.repeated && left >= retry_after) {
        request.repeated = true;
        it.after(retry_after, [&it, request] {
            arrive(it, random_below(it.random, static_cast<std::uint32_t>(it.vms.size())), request);
        });
    }
}

/// Refuses what cannot be served in time any more, in the order of the gateway.
void refuse_some(emulation& it, emulated_vm& vm) {
    const auto light = light_time(vm.pool.model);
    std::vector<request_number> numbers;
    for (const auto& entry : vm.queue) {
        if (cannot_meet_deadline(entry, light, it.now)) {
            numbers.push_back(entry.request);
        }
    }
    for (const auto number : numbers) {
        refuse(it, vm, number);
    }
    update_paces(vm.paces, vm.queue, light, it.now);
    const response_estimate expected{light, response_margin(vm.pool.model)};
    if (it.policy.refuses) {
        for (const auto number : select_refusals(vm.queue, vm.paces, expected, it.now)) {
            refuse(it, vm, number);
        }
    }
    for (const auto number : requests_to_refuse(vm.queue, likely_time(expected), it.now)) {
        refuse(it, vm, number);
    }
}

void arrive(emulation& it, std::size_t index, emulated_request request) {
    auto& vm = it.vms[index];
    request.arrived = it.now;
    waiting_request entry;
    entry.request = ++it.last_number;
    entry.arrived = entry.queued_at = it.now;
    entry.prior_attempts_time = it.now - request.first_sent;
    entry.latency_target = it.callers.target;
    entry.deadline = request.first_sent + it.callers.deadline;
    vm.requests.emplace(entry.request, request);
    vm.queue.push_back(entry);
    refuse_some(it, vm);
    auto* waiting = find_waiting(vm, entry.request);
    if (waiting == nullptr) {
        return;
    }
    if (vm.queue.front().probing_done) {
        waiting->probing_done = true;
    } else {
        probe(it, index, entry.request, initial_probes);
    }
}

void send_requests(emulation& it) {
    const bool burst = it.now >= begin + it.callers.burst_begin;
    const double rate = it.callers.per_second * (burst ? it.callers.burst_factor : 1.0);
    it.after(from_milliseconds(-std::log(1.0 - random_unit(it.random)) * 1000.0 / rate), [&it] {
        if (it.now < begin + it.callers.end) {
            emulated_request request;
            request.first_sent = it.now;
            it.outcome.offered += is_counted(it, request) ? 1 : 0;
            arrive(it, random_below(it.random, static_cast<std::uint32_t>(it.vms.size())), request);
            send_requests(it);
        }
    });
}

void review(emulation& it, std::size_t index) {
    auto& vm = it.vms[index];
    refuse_some(it, vm);
    if (!vm.queue.empty() && vm.queue.front().probing_done && take_review_probe(vm.pacing, it.now)) {
        probe(it, index, vm.queue.front().request, probes_per_review);
    }
    it.after(review_interval, [&it, index] { review(it, index); });
}

void refit_all(emulation& it) {
    for (auto& vm : it.vms) {
        vm.pool.model.domain_log_time = {};
        for (const auto& peer : it.vms) {
            add(vm.pool.model.domain_log_time, peer.pool.model.log_time);
        }
        refit(vm.pool.model);
    }
    it.after(refit_interval, [&it] { refit_all(it); });
}

void change_speed(emulation& it, std::size_t server) {
    it.servers[server].slowdown = random_unit(it.random) < it.conf.slow_share ? it.conf.slowdown : 1.0;
    it.after(it.conf.speed_period, [&it, server] { change_speed(it, server); });
}

emulated_vm make_vm(const emulation& it, std::size_t index) {
    emulated_vm vm;
    vm.pool.own_vm = vm_id("vm-" + std::to_string(index));
    std::vector<listed_server> listed(it.conf.count);
    for (std::size_t i = 0; i < listed.size(); ++i) {
        listed[i].id = server_id("server-" + std::to_string(i));
        listed[i].address = socket_address(listed[i].id.text);
        listed[i].slots = it.conf.slots;
        listed[i].connections = 1000;
    }
    update_servers(vm.pool, listed, {}, 1, begin);
    for (auto& view : vm.pool.servers) {
        view.state = server_state::serving;
    }
    assume_time(vm.pool.model, it.callers.target * 2 / 5);
    return vm;
}

} // namespace

emulated_outcome play_overload(const emulated_servers& servers, const emulated_callers& callers,
                               const emulated_policy& policy, std::size_t vms, std::uint64_t seed) {
    emulation it{servers, callers, policy, random_source(seed, 1), {}, {}, {}, begin, 0, {}};
    it.servers.resize(servers.count);
    for (std::size_t i = 0; i < vms; ++i) {
        it.vms.push_back(make_vm(it, i));
    }
    for (std::size_t i = 0; i < servers.count; ++i) {
        it.after(servers.speed_period * static_cast<duration::rep>(i) /
                     static_cast<duration::rep>(servers.count),
                 [&it, i] { change_speed(it, i); });
    }
    for (std::size_t i = 0; i < vms; ++i) {
        it.after(review_interval * static_cast<duration::rep>(i) / static_cast<duration::rep>(vms),
                 [&it, i] { review(it, i); });
    }
    it.after(refit_interval, [&it] { refit_all(it); });
    send_requests(it);
    while (!it.events.empty() && it.now < begin + callers.end + callers.deadline) {
        auto next = it.events.extract(it.events.begin());
        it.now = next.key();
        next.mapped()();
    }
    return it.outcome;
}

} // namespace endivelever
