#include "testbed/server_model.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <sstream>

namespace endivelever::testbed {
namespace detail {

constexpr double mean_weight = 0.1; ///< weight of the newest service time in the reported mean

const work_time* find_work(const server_behaviour& behaviour, const std::string& kind) {
    const work_time* any = nullptr;
    for (const auto& it : behaviour.work) {
        if (it.kind == kind) {
            return &it;
        }
        if (it.kind.empty()) {
            any = &it;
        }
    }
    return any;
}

/// Standard normal number by the Box-Muller method.
double random_normal(random_source& random) {
    const double radius = std::sqrt(-2.0 * std::log(1.0 - random_unit(random)));
    return radius * std::cos(2.0 * std::numbers::pi * random_unit(random));
}

duration draw_service(const server_behaviour& behaviour, const std::string& kind, time_point now,
                      random_source& random) {
    static const work_time fallback;
    const auto* found = find_work(behaviour, kind);
    const auto& work = found == nullptr ? fallback : *found;
    const double spread = work.sigma > 0.0 ? std::exp(work.sigma * random_normal(random)) : 1.0;
    const double factor = spread * service_factor(behaviour, now);
    return from_milliseconds(to_milliseconds(work.median) * factor);
}

bool expired(const server_behaviour& behaviour, const offered_call& call, time_point now) {
    return behaviour.honours_deadline && call.deadline && *call.deadline <= now;
}

call_step start(server_model& server, const offered_call& call, time_point now, random_source& random) {
    const auto service = draw_service(server.behaviour, call.kind, now, random);
    server.running.emplace(call.number, service);
    ++server.counts.started;
    return {call.number, arrival::started, service};
}

bool happens(double ratio, random_source& random) {
    return ratio > 0.0 && random_unit(random) < ratio;
}

std::string render_report(const server_model& server) {
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(server.mean_service).count();
    std::ostringstream out;
    out << "running=" << server.running.size() << ";queued=" << server.queue.size()
        << ";service_us=" << micros << ";draining=" << (server.behaviour.draining ? 1 : 0);
    return out.str();
}

double script_factor(const server_behaviour& behaviour, time_point now) {
    auto at = now - behaviour.script_start;
    if (behaviour.script_period > duration::zero()) {
        at %= behaviour.script_period;
    }
    double factor = 1.0;
    for (const auto& it : behaviour.steps) {
        if (it.at <= at) {
            factor = it.factor;
        }
    }
    return factor;
}

} // namespace detail

double service_factor(const server_behaviour& behaviour, time_point now) {
    const double scripted = detail::script_factor(behaviour, now);
    const auto age = now - behaviour.cold_start;
    if (age >= behaviour.cold_period) {
        return scripted;
    }
    const double left = 1.0 - to_seconds(age) / to_seconds(behaviour.cold_period);
    return scripted * (1.0 + (behaviour.cold_factor - 1.0) * left);
}

call_step submit(server_model& server, const offered_call& call, time_point now, random_source& random) {
    ++server.counts.received;
    const auto& behaviour = server.behaviour;
    if (behaviour.draining || detail::happens(behaviour.shed_ratio, random)) {
        ++server.counts.shed;
        return {call.number, arrival::shed, {}};
    }
    if (detail::happens(behaviour.fail_ratio, random)) {
        ++server.counts.failed;
        return {call.number, arrival::failed, {}};
    }
    if (detail::expired(behaviour, call, now)) {
        ++server.counts.expired;
        return {call.number, arrival::expired, {}};
    }
    if (server.running.size() < behaviour.slots) {
        return detail::start(server, call, now, random);
    }
    if (server.queue.size() >= behaviour.queue_limit) {
        ++server.counts.shed;
        return {call.number, arrival::shed, {}};
    }
    server.queue.push_back(call);
    return {call.number, arrival::queued, {}};
}

std::vector<call_step> finish(server_model& server, std::uint64_t number, time_point now,
                              random_source& random) {
    const auto ended = server.running.find(number);
    if (ended == server.running.end()) {
        return {};
    }
    const double mean = (1.0 - detail::mean_weight) * to_milliseconds(server.mean_service) +
                        detail::mean_weight * to_milliseconds(ended->second);
    server.mean_service = from_milliseconds(mean);
    server.running.erase(ended);
    ++server.counts.finished;
    std::vector<call_step> steps;
    while (!server.queue.empty() && server.running.size() < server.behaviour.slots) {
        const auto call = std::move(server.queue.front());
        server.queue.pop_front();
        if (detail::expired(server.behaviour, call, now)) {
            ++server.counts.expired;
            steps.push_back({call.number, arrival::expired, {}});
        } else {
            steps.push_back(detail::start(server, call, now, random));
        }
    }
    return steps;
}

bool cancel(server_model& server, std::uint64_t number) {
    if (!server.behaviour.honours_cancel) {
        return false;
    }
    const auto removed =
        std::erase_if(server.queue, [number](const auto& it) { return it.number == number; });
    server.counts.cancelled += removed;
    return removed > 0;
}

std::string load_report(server_model& server, time_point now) {
    switch (server.behaviour.report) {
    case report_mode::absent:
        return {};
    case report_mode::fixed:
        return server.behaviour.fixed_report;
    case report_mode::stale:
        if (!server.last_report.empty() && now - server.last_report_at < server.behaviour.report_age) {
            return server.last_report;
        }
        break;
    case report_mode::fresh:
        break;
    }
    server.last_report = detail::render_report(server);
    server.last_report_at = now;
    return server.last_report;
}

} // namespace endivelever::testbed
