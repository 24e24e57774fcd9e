#include "testbed/server_model.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace endivelever::testbed {
namespace detail {

using nlohmann::json;

struct report_name {
    const char* text;
    report_mode mode;
};

constexpr std::array<report_name, 4> report_names{{{"fresh", report_mode::fresh},
                                                   {"stale", report_mode::stale},
                                                   {"fixed", report_mode::fixed},
                                                   {"absent", report_mode::absent}}};

template <typename Value>
void read(const json& from, const char* key, Value& target) {
    if (from.contains(key)) {
        target = from.at(key).get<Value>();
    }
}

void read_ms(const json& from, const char* key, duration& target) {
    if (from.contains(key)) {
        target = from_milliseconds(from.at(key).get<double>());
    }
}

void read_work(const json& from, server_behaviour& target) {
    if (!from.contains("work")) {
        return;
    }
    target.work.clear();
    for (const auto& it : from.at("work")) {
        work_time work;
        read(it, "kind", work.kind);
        read_ms(it, "median_ms", work.median);
        read(it, "sigma", work.sigma);
        target.work.push_back(work);
    }
}

void read_script(const json& from, server_behaviour& target, time_point now) {
    if (!from.contains("steps")) {
        return;
    }
    target.steps.clear();
    target.script_start = now;
    for (const auto& it : from.at("steps")) {
        slow_step step;
        read_ms(it, "at_ms", step.at);
        read(it, "factor", step.factor);
        target.steps.push_back(step);
    }
    target.script_period = duration::zero();
    read_ms(from, "script_period_ms", target.script_period);
    duration phase{};
    read_ms(from, "script_phase_ms", phase);
    target.script_start -= phase;
}

void read_cold_start(const json& from, server_behaviour& target, time_point now) {
    if (from.contains("cold_factor")) {
        read(from, "cold_factor", target.cold_factor);
        read_ms(from, "cold_period_ms", target.cold_period);
        target.cold_start = now;
    }
}

void read_report(const json& from, server_behaviour& target) {
    if (from.contains("report")) {
        const auto name = from.at("report").get<std::string>();
        for (const auto& it : report_names) {
            if (name == it.text) {
                target.report = it.mode;
            }
        }
    }
    read_ms(from, "report_age_ms", target.report_age);
    read(from, "fixed_report", target.fixed_report);
}

void read_all(const json& from, server_behaviour& target, time_point now) {
    read(from, "slots", target.slots);
    read(from, "queue_limit", target.queue_limit);
    read(from, "draining", target.draining);
    read(from, "shed_ratio", target.shed_ratio);
    read(from, "fail_ratio", target.fail_ratio);
    read(from, "fail_status", target.fail_status);
    read(from, "honours_deadline", target.honours_deadline);
    read(from, "honours_cancel", target.honours_cancel);
    read_work(from, target);
    read_script(from, target, now);
    read_cold_start(from, target, now);
    read_report(from, target);
}

} // namespace detail

std::string apply_json(server_behaviour& behaviour, const std::string& text, time_point now) {
    try {
        auto changed = behaviour;
        detail::read_all(nlohmann::json::parse(text), changed, now);
        behaviour = changed;
        return {};
    } catch (const nlohmann::json::exception& problem) {
        return problem.what();
    }
}

} // namespace endivelever::testbed
