#include "testbed/load.hpp"

#include <fstream>
#include <nlohmann/json.hpp>

namespace endivelever::testbed {
namespace detail {

using nlohmann::json;

constexpr std::array<const char*, call_outcomes> outcome_names{"done",    "failed", "not_run", "refused",
                                                               "unknown", "broken", "wrong"};
constexpr std::array<const char*, 3> resend_names{"none", "safe", "same_id"};

json texts(const std::vector<socket_address>& addresses) {
    auto list = json::array();
    for (const auto& it : addresses) {
        list.push_back(it.text);
    }
    return list;
}

std::vector<socket_address> addresses(const json& from, const char* key) {
    std::vector<socket_address> list;
    for (const auto& it : from.value(key, json::array())) {
        list.emplace_back(it.get<std::string>());
    }
    return list;
}

duration milliseconds(const json& from, const char* key, duration fallback) {
    return from_milliseconds(from.value(key, to_milliseconds(fallback)));
}

resend_policy parse_resend(const std::string& text) {
    for (std::size_t i = 0; i < resend_names.size(); ++i) {
        if (text == resend_names.at(i)) {
            return static_cast<resend_policy>(i);
        }
    }
    throw std::invalid_argument("resend is \"" + text + "\"; allowed: none, safe, same_id");
}

load_kind parse_kind(const json& from) {
    load_kind kind;
    kind.kind = kind_id(from.at("kind").get<std::string>());
    kind.path_prefix = from.at("path_prefix").get<std::string>();
    kind.method = from.value("method", kind.method);
    kind.calls_per_second = from.value("calls_per_second", kind.calls_per_second);
    kind.response_size = from.value("response_size", kind.response_size);
    kind.request_size = from.value("request_size", kind.request_size);
    kind.idempotent = from.value("idempotent", kind.idempotent);
    kind.deadline = milliseconds(from, "deadline_ms", kind.deadline);
    kind.servers = addresses(from, "servers");
    return kind;
}

load_options parse_options(const json& from) {
    load_options options;
    options.entries = addresses(from, "entries");
    for (const auto& it : from.at("kinds")) {
        options.kinds.push_back(parse_kind(it));
    }
    options.run_time = milliseconds(from, "run_time_ms", options.run_time);
    options.warm_up = milliseconds(from, "warm_up_ms", options.warm_up);
    options.seed = from.value("seed", options.seed);
    options.callers = from.value("callers", options.callers);
    options.resend = parse_resend(from.value("resend", "none"));
    options.max_attempts = from.value("max_attempts", options.max_attempts);
    options.duplicate_ratio = from.value("duplicate_ratio", options.duplicate_ratio);
    options.calls_file = from.value("calls_file", "");
    return options;
}

json render(const load_kind& kind) {
    return {{"kind", kind.kind.text},
            {"path_prefix", kind.path_prefix},
            {"method", kind.method},
            {"calls_per_second", kind.calls_per_second},
            {"response_size", kind.response_size},
            {"request_size", kind.request_size},
            {"idempotent", kind.idempotent},
            {"deadline_ms", to_milliseconds(kind.deadline)},
            {"servers", texts(kind.servers)}};
}

json render(const outcome_counts& counts) {
    auto result = json::object();
    for (std::size_t i = 0; i < call_outcomes; ++i) {
        result[outcome_names.at(i)] = counts.at(i);
    }
    return result;
}

std::int64_t micros(duration value) {
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

json render(const histogram& values) {
    const auto mean = values.total == 0 ? duration{} : values.sum / static_cast<std::int64_t>(values.total);
    return {{"mean_us", micros(mean)},
            {"p50_us", micros(value_at(values, 0.5))},
            {"p99_us", micros(value_at(values, 0.99))},
            {"p999_us", micros(value_at(values, 0.999))},
            {"max_us", micros(values.max)}};
}

json render(const kind_report& report) {
    auto result = render(report.outcomes);
    result["calls"] = report.calls;
    result["resends"] = report.resends;
    result["duplicates"] = render(report.duplicate_outcomes);
    result["latency"] = render(report.latency);
    return result;
}

} // namespace detail

const char* to_text(call_outcome value) {
    return detail::outcome_names.at(static_cast<std::size_t>(value));
}

result<load_options> parse_load_options(const std::string& text) {
    try {
        return detail::parse_options(nlohmann::json::parse(text));
    } catch (const std::exception& problem) {
        return fail("load", 1, problem.what());
    }
}

std::string to_json(const load_options& options) {
    auto kinds = nlohmann::json::array();
    for (const auto& it : options.kinds) {
        kinds.push_back(detail::render(it));
    }
    const nlohmann::json result{{"entries", detail::texts(options.entries)},
                                {"kinds", kinds},
                                {"run_time_ms", to_milliseconds(options.run_time)},
                                {"warm_up_ms", to_milliseconds(options.warm_up)},
                                {"seed", options.seed},
                                {"callers", options.callers},
                                {"resend", detail::resend_names.at(static_cast<std::size_t>(options.resend))},
                                {"max_attempts", options.max_attempts},
                                {"duplicate_ratio", options.duplicate_ratio},
                                {"calls_file", options.calls_file}};
    return result.dump();
}

std::string to_json(const load_report& report) {
    auto kinds = nlohmann::json::object();
    for (const auto& [kind, it] : report.kinds) {
        kinds[kind.text] = detail::render(it);
    }
    const nlohmann::json result{{"kinds", kinds},
                                {"send_lag", detail::render(report.send_lag)},
                                {"address_requests", report.address_requests},
                                {"address_failures", report.address_failures}};
    return result.dump();
}

ledger_check check_ledger(const std::vector<call_record>& records,
                          const std::map<std::string, std::uint32_t>& ledger) {
    ledger_check check;
    for (const auto& it : records) {
        const auto found = ledger.find(it.key);
        const auto runs = found == ledger.end() ? 0U : found->second;
        ++check.checked;
        check.ran_after_not_run += it.done + it.unclear == 0 && runs > 0 ? 1 : 0;
        check.ran_twice += !it.idempotent && runs > 1 ? 1 : 0;
        check.done_without_run += it.done > 0 && runs == 0 ? 1 : 0;
    }
    return check;
}

std::vector<call_record> read_call_records(const std::string& path) {
    std::vector<call_record> records;
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);) {
        const auto json = nlohmann::json::parse(line);
        records.push_back({json.at("key").get<std::string>(), json.at("idempotent").get<bool>(),
                           json.at("done").get<std::uint32_t>(), json.at("not_run").get<std::uint32_t>(),
                           json.at("unclear").get<std::uint32_t>()});
    }
    return records;
}

} // namespace endivelever::testbed
