#include "endivelever/config/settings.hpp"

#include "json_reader.hpp"

namespace endivelever {
namespace {

using detail::ordered_json;

ordered_json to_value(const operator_settings& it) {
    return {{"name", it.name.text}, {"key", it.key}, {"founder", it.founder}};
}

ordered_json to_value(const service_settings& it) {
    return {{"id", it.id.text},
            {"slots_per_server", it.slots_per_server},
            {"connections_per_server", it.connections_per_server},
            {"choice", detail::name_of(detail::choice_names, it.choice)},
            {"admission", detail::name_of(detail::admission_names, it.admission)}};
}

ordered_json to_value(const kind_settings& it) {
    return {{"id", it.id.text},
            {"service", it.service.text},
            {"path_prefix", it.path_prefix},
            {"idempotent", it.idempotent},
            {"latency_target_ms", to_milliseconds(it.latency_target)},
            {"default_deadline_ms", to_milliseconds(it.default_deadline)},
            {"max_deadline_ms", to_milliseconds(it.max_deadline)},
            {"max_request_body_bytes", it.max_request_body.value}};
}

ordered_json to_value(const listener_limits& it) {
    return {{"max_connections", it.max_connections},
            {"max_header_bytes", it.max_header_size.value},
            {"idle_timeout_ms", to_milliseconds(it.idle_timeout)}};
}

template <typename Item>
ordered_json to_array(const std::vector<Item>& items) {
    auto out = ordered_json::array();
    for (const auto& it : items) {
        out.push_back(to_value(it));
    }
    return out;
}

ordered_json to_array(const std::vector<socket_address>& items) {
    auto out = ordered_json::array();
    for (const auto& it : items) {
        out.push_back(it.text);
    }
    return out;
}

} // namespace

std::string to_json(const settings& value) {
    ordered_json out = {{"vm", value.vm.text},
                        {"failure_domain", value.failure_domain.text},
                        {"caller_address", value.caller_address.text},
                        {"admin_address", value.admin_address.text},
                        {"feed_address", value.feed_address.text},
                        {"operator_address", value.operator_address.text},
                        {"platform_address", value.platform_address.text},
                        {"cluster_key", value.cluster_key},
                        {"when_isolated", detail::name_of(detail::isolation_names, value.when_isolated)},
                        {"graceful_stop_limit_ms", to_milliseconds(value.graceful_stop_limit)},
                        {"address_keep_ms", to_milliseconds(value.address_keep)},
                        {"log_level", value.log_level}};
    out["seeds"] = to_array(value.seeds);
    out["limits"] = to_value(value.limits);
    out["operators"] = to_array(value.operators);
    out["services"] = to_array(value.services);
    out["kinds"] = to_array(value.kinds);
    return detail::dump_json(out);
}

} // namespace endivelever
