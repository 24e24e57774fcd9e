#include "endivelever/config/settings.hpp"

#include "json_reader.hpp"
#include "settings_checks.hpp"

#include <fstream>
#include <sstream>

namespace endivelever {
namespace {

using detail::object_reader;

constexpr std::uint32_t max_slots = 10'000;
constexpr std::uint32_t max_connections = 1'000'000;
constexpr std::size_t max_kinds = 256;
constexpr std::size_t max_services = 1024;
constexpr std::size_t max_operators = 1000;
constexpr std::size_t max_seeds = 64;
constexpr std::size_t min_key_bytes = 16;
constexpr std::size_t max_key_bytes = 1024;
constexpr std::size_t max_prefix_bytes = 256;
constexpr std::int64_t max_body_bytes = 1'073'741'824;
constexpr double hour_ms = 3'600'000;
constexpr double shortest_latency_ms = 0.01;
/// An entry forgets call ids after two generations of 5 minutes; a call must end before that.
constexpr double longest_deadline_ms = 300'000;
/// A call id prefix from an address response is accepted for at least 5 minutes after it was issued.
constexpr double longest_address_keep_ms = 120'000;

operator_settings read_operator(object_reader& in) {
    operator_settings out;
    out.name = operator_name(in.dotted_name("name"));
    out.key = in.secret("key", {min_key_bytes, max_key_bytes});
    out.founder = in.flag("founder", false);
    return out;
}

service_settings read_service(object_reader& in) {
    service_settings out;
    out.id = service_id(in.name("id"));
    out.slots_per_server = in.count("slots_per_server", {1, max_slots});
    out.connections_per_server = in.count("connections_per_server", {1, max_connections});
    out.choice = in.choice("choice", detail::choice_names, std::optional(choice_policy::estimated_wait));
    out.admission = in.choice("admission", detail::admission_names, std::optional(admission_policy::ranked));
    return out;
}

kind_settings read_kind(object_reader& in) {
    kind_settings out;
    out.id = kind_id(in.name("id"));
    out.service = service_id(in.name("service"));
    out.path_prefix = in.text("path_prefix", {1, max_prefix_bytes});
    out.idempotent = in.flag("idempotent");
    out.latency_target = in.milliseconds("latency_target_ms", {shortest_latency_ms, longest_deadline_ms});
    out.default_deadline = in.milliseconds("default_deadline_ms", {shortest_latency_ms, longest_deadline_ms});
    out.max_deadline = in.milliseconds("max_deadline_ms", {shortest_latency_ms, longest_deadline_ms});
    const auto body = in.integer("max_request_body_bytes", {0, max_body_bytes});
    out.max_request_body = byte_count{static_cast<std::uint64_t>(body)};
    return out;
}

listener_limits read_limits(object_reader in) {
    listener_limits out;
    out.max_connections = in.count("max_connections", {1, max_connections}, out.max_connections);
    out.max_header_size = byte_count{in.count("max_header_bytes", {1024, 1'048'576}, 16'384)};
    out.idle_timeout = in.milliseconds("idle_timeout_ms", {100, hour_ms}, 60'000);
    in.finish();
    return out;
}

void read_addresses(object_reader& in, settings& out) {
    out.caller_address = in.address("caller_address");
    out.admin_address = in.address("admin_address");
    out.feed_address = in.address("feed_address");
    out.operator_address = in.address("operator_address");
    out.platform_address = in.address("platform_address");
    for (auto& it : in.texts("seeds", {0, max_seeds})) {
        out.seeds.emplace_back(std::move(it));
    }
}

settings read_settings(object_reader& in) {
    settings out;
    out.vm = vm_id(in.name("vm"));
    out.failure_domain = failure_domain(in.name("failure_domain"));
    read_addresses(in, out);
    out.cluster_key = in.secret("cluster_key", {min_key_bytes, max_key_bytes});
    out.when_isolated =
        in.choice("when_isolated", detail::isolation_names, std::optional(isolation_policy::refuse));
    out.graceful_stop_limit = in.milliseconds("graceful_stop_limit_ms", {0, hour_ms}, 30'000);
    out.address_keep = in.milliseconds("address_keep_ms", {100, longest_address_keep_ms}, 10'000);
    out.limits = read_limits(in.object("limits"));
    out.operators = in.list("operators", {1, max_operators}, read_operator);
    out.services = in.list("services", {1, max_services}, read_service);
    out.kinds = in.list("kinds", {1, max_kinds}, read_kind);
    static constexpr std::array levels{detail::enum_name{"debug", 0}, detail::enum_name{"info", 1},
                                       detail::enum_name{"warning", 2}, detail::enum_name{"error", 3}};
    out.log_level = detail::name_of(levels, in.choice("log_level", levels, std::optional(1)));
    in.finish();
    return out;
}

} // namespace

result<settings> parse_settings(const std::string& text, const std::string& source) {
    return detail::guarded([&] {
        const auto document = detail::parse_json(text, source);
        object_reader in(document, source, "");
        auto out = read_settings(in);
        detail::check_settings(in, out);
        return out;
    });
}

result<settings> load_settings(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || !text) {
        return fail("config", static_cast<int>(detail::fault::unreadable_file),
                    path + ": file cannot be read");
    }
    return parse_settings(text.str(), path);
}

} // namespace endivelever
