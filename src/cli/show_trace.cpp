#include "endivelever/cli/run_command.hpp"
#include "endivelever/cli/text_output.hpp"

#include "session.hpp"

#include <algorithm>

namespace endivelever {
namespace {

using nlohmann::json;

constexpr std::size_t trace_digits = 32;

bool is_trace_id(const std::string& text) {
    const auto is_digit = [](char it) { return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f'); };
    return text.size() == trace_digits && std::all_of(text.begin(), text.end(), is_digit);
}

/// Accepts a trace id or a whole traceparent value, as logs of callers show it.
std::string trace_id_of(const std::string& text) {
    constexpr std::size_t version_part = 3;
    return text.starts_with("00-") ? text.substr(version_part, trace_digits) : text;
}

/// Spans of all entries that responded.
struct collected {
    json spans = json::array();
    json unreachable = json::array();
    std::size_t asked = 0;
};

void collect_from(operator_client& client, const json& entry, const std::string& trace, collected& all) {
    const auto vm = cell_text(entry, "vm");
    const auto address = entry.is_object() ? entry.value("admin_address", "") : std::string();
    ++all.asked;
    const auto reply = client.get(socket_address(address), "/traces/" + trace);
    const auto spans = detail::body_of(reply);
    constexpr unsigned not_found = 404;
    if (reply.result.status == not_found) {
        return;
    }
    if (exit_code_of(reply, false) != exit_code::done || !spans.is_array()) {
        all.unreachable.push_back(vm);
        return;
    }
    for (auto it : spans) {
        it["vm"] = vm;
        all.spans.push_back(std::move(it));
    }
}

exit_code report(const collected& all, const std::string& trace, const cli_options& options,
                 std::ostream& out, std::ostream& err) {
    if (options.json) {
        out << json{{"trace", trace}, {"spans", all.spans}, {"unreachable", all.unreachable}}.dump() << '\n';
    } else if (!all.spans.empty()) {
        out << span_tree_text(all.spans);
    }
    for (const auto& it : all.unreachable) {
        err << "no spans from " << it.get<std::string>() << ": its admin address did not respond\n";
    }
    if (!all.spans.empty()) {
        return exit_code::done;
    }
    if (all.unreachable.size() == all.asked) {
        return exit_code::unreachable;
    }
    err << "no entry holds spans of trace " << trace << '\n';
    return exit_code::refused;
}

} // namespace

exit_code show_trace(const cli_options& options, std::ostream& out, std::ostream& err) {
    const auto trace = trace_id_of(options.name);
    if (!is_trace_id(trace)) {
        err << "trace id \"" << options.name
            << "\" is invalid; allowed are 32 lower-case hexadecimal digits\n";
        return exit_code::invalid;
    }
    const auto client = detail::open_client(options, err);
    if (!client) {
        return exit_code::invalid;
    }
    auto code = exit_code::done;
    const auto body = detail::read_resource(*client, options, "/v1/entries", err, code);
    if (code != exit_code::done) {
        return code;
    }
    collected all;
    for (const auto& it : body.value("entries", json::array())) {
        collect_from(*client, it, trace, all);
    }
    return report(all, trace, options, out, err);
}

} // namespace endivelever
