#include "endivelever/config/drains.hpp"
#include "endivelever/config/in_force.hpp"

#include "preset_json.hpp"

namespace endivelever {
namespace {

using detail::object_reader;
using detail::ordered_json;

constexpr std::int64_t largest = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t max_drains = 16'384;
constexpr std::array change_names{detail::enum_name{"switch", 0}, detail::enum_name{"pin", 1},
                                  detail::enum_name{"release", 2}};

preset_change read_change(object_reader& in) {
    preset_change out;
    out.operation = operation_id(in.name("operation_id"));
    out.who = operator_name(in.dotted_name("who"));
    out.what = detail::name_of(change_names, in.choice<int>("what", change_names));
    out.name = preset_name(in.name("name"));
    out.when_us = in.integer("when_us", {0, largest});
    return out;
}

in_force_record read_record(object_reader in) {
    in_force_record out;
    out.operation = operation_id(in.name("operation_id"));
    out.content = detail::read_preset(in.object("content"));
    out.who = operator_name(in.dotted_name("who"));
    out.when_us = in.integer("when_us", {0, largest});
    out.replaced = document_version{static_cast<std::uint64_t>(in.integer("replaced_version", {0, largest}))};
    out.pinned_by = operator_name(in.dotted_name("pinned_by", ""));
    out.history = in.list("history", {0, max_history}, read_change);
    in.finish();
    return out;
}

ordered_json to_value(const preset_change& it) {
    return {{"operation_id", it.operation.text},
            {"who", it.who.text},
            {"what", it.what},
            {"name", it.name.text},
            {"when_us", it.when_us}};
}

drain_list read_drains(object_reader in) {
    drain_list out;
    out.operation = operation_id(in.name("operation_id"));
    if (!in.has("servers")) {
        in.contradict("servers", "array of server ids is missing");
    }
    for (auto& it : in.texts("servers", {0, max_drains})) {
        if (!detail::is_dotted_name(it)) {
            in.contradict("servers", "value " + detail::in_quotes(it) + " is no server id");
        }
        out.servers.emplace_back(std::move(it));
    }
    in.finish();
    return out;
}

} // namespace

result<in_force_record> parse_in_force(const std::string& text) {
    constexpr const char* source = "preset/in-force";
    return detail::guarded([&] {
        const auto document = detail::parse_json(text, source);
        return read_record(object_reader(document, source, ""));
    });
}

std::string to_json(const in_force_record& record) {
    auto history = ordered_json::array();
    for (const auto& it : record.history) {
        history.push_back(to_value(it));
    }
    return detail::dump_json({{"operation_id", record.operation.text},
                              {"content", detail::to_value(record.content)},
                              {"who", record.who.text},
                              {"when_us", record.when_us},
                              {"replaced_version", record.replaced.value},
                              {"pinned_by", record.pinned_by.text},
                              {"history", std::move(history)}});
}

result<drain_list> parse_drains(const std::string& text) {
    constexpr const char* source = "drains";
    return detail::guarded([&] {
        const auto document = detail::parse_json(text, source);
        return read_drains(object_reader(document, source, ""));
    });
}

std::string to_json(const drain_list& list) {
    auto servers = ordered_json::array();
    for (const auto& it : list.servers) {
        servers.push_back(it.text);
    }
    return detail::dump_json({{"operation_id", list.operation.text}, {"servers", std::move(servers)}});
}

} // namespace endivelever
