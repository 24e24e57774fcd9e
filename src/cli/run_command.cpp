#include "endivelever/cli/run_command.hpp"

#include "endivelever/cli/text_output.hpp"

#include "session.hpp"

namespace endivelever {
namespace {

using nlohmann::json;

void print_lagging(const json& body, std::ostream& out) {
    if (!body.contains("lagging") || !body["lagging"].is_array()) {
        return;
    }
    for (const auto& it : body["lagging"]) {
        out << "missing on       " << cell_text(it, "vm") << ": " << cell_text(it, "reason")
            << ", applies version " << cell_text(it, "preset_version") << '\n';
    }
}

void print_status(const json& body, std::ostream& out) {
    const auto record = body.value("preset", json());
    const auto pinned = record.is_object() ? cell_text(record, "pinned_by") : "-";
    const auto store = body.value("store", json::object());
    out << "preset in force  " << detail::in_force_text(record) << '\n';
    out << "pinned by        " << pinned << '\n';
    out << "in force on      " << cell_text(body, "in_force_on") << " of " << cell_text(body, "entries")
        << " entries\n";
    print_lagging(body, out);
    out << "answered by      " << cell_text(body, "vm") << " in " << cell_text(body, "failure_domain") << ", "
        << cell_text(body, "state") << ", "
        << (cell_text(body, "current") == "yes" ? "current" : "not current") << " for "
        << cell_text(body, "lease_ms") << " ms\n";
    out << "store last read  " << (store.is_object() ? cell_text(store, "age_ms") : "-") << " ms ago\n";
}

/// A command that prints one list.
struct list_command {
    cli_command command;
    const char* target;
    const char* key; ///< of the list in the body
    std::vector<table_column> columns;
};

const std::vector<list_command>& list_commands() {
    static const std::vector<list_command> commands{{cli_command::preset_list,
                                                     "/v1/presets",
                                                     "presets",
                                                     {{"NAME", "name"},
                                                      {"VERSION", "version"},
                                                      {"IN FORCE", "in_force"},
                                                      {"DESCRIPTION", "description"}}},
                                                    {cli_command::servers,
                                                     "/v1/servers",
                                                     "servers",
                                                     {{"SERVER", "id"},
                                                      {"SERVICE", "service"},
                                                      {"DOMAIN", "failure_domain"},
                                                      {"ADDRESS", "address"},
                                                      {"DRAINING", "draining"},
                                                      {"DRAINED BY", "drained_by"}}},
                                                    {cli_command::entries,
                                                     "/v1/entries",
                                                     "entries",
                                                     {{"VM", "vm"},
                                                      {"DOMAIN", "failure_domain"},
                                                      {"STATE", "state"},
                                                      {"CALLERS", "caller_address"},
                                                      {"ADMIN", "admin_address"},
                                                      {"ENTRY", "entry_connected"},
                                                      {"PRESET", "preset_version"}}},
                                                    {cli_command::kinds,
                                                     "/v1/kinds",
                                                     "kinds",
                                                     {{"KIND", "id"},
                                                      {"SERVICE", "service"},
                                                      {"PATH", "path_prefix"},
                                                      {"RANK", "rank"},
                                                      {"SHARE", "guaranteed_share"},
                                                      {"IDEMPOTENT", "idempotent"},
                                                      {"OFFERED/S", "offered_per_second"}}}};
    return commands;
}

exit_code print_list(operator_client& client, const cli_options& options, const list_command& list,
                     std::ostream& out, std::ostream& err) {
    auto code = exit_code::done;
    const auto body = detail::read_resource(client, options, list.target, err, code);
    if (code == exit_code::done) {
        out << (options.json ? body.dump() + "\n"
                             : table_text(list.columns, body.value(list.key, json::array())));
    }
    return code;
}

exit_code show_preset(operator_client& client, const cli_options& options, std::ostream& out,
                      std::ostream& err) {
    constexpr int indent = 4;
    auto code = exit_code::done;
    const auto body = detail::read_resource(client, options, "/v1/presets/" + options.name, err, code);
    if (code != exit_code::done) {
        return code;
    }
    if (options.json) {
        out << body.dump() << '\n';
    } else {
        out << "// version " << cell_text(body, "version") << '\n'
            << body.value("preset", json()).dump(indent) << '\n';
    }
    return code;
}

exit_code show_status(operator_client& client, const cli_options& options, std::ostream& out,
                      std::ostream& err) {
    auto code = exit_code::done;
    const auto body = detail::read_resource(client, options, "/v1/status", err, code);
    if (code != exit_code::done) {
        return code;
    }
    if (options.json) {
        out << body.dump() << '\n';
    } else {
        print_status(body, out);
    }
    return code;
}

exit_code run_read(const cli_options& options, std::ostream& out, std::ostream& err) {
    const auto client = detail::open_client(options, err);
    if (!client) {
        return exit_code::invalid;
    }
    for (const auto& it : list_commands()) {
        if (it.command == options.command) {
            return print_list(*client, options, it, out, err);
        }
    }
    return options.command == cli_command::preset_show ? show_preset(*client, options, out, err)
                                                       : show_status(*client, options, out, err);
}

} // namespace

exit_code run_command(const cli_options& options, std::ostream& out, std::ostream& err) {
    switch (options.command) {
    case cli_command::help:
        out << cli_help();
        return exit_code::done;
    case cli_command::version:
        out << (options.json ? R"({"version":")" ENDIVELEVER_VERSION "\"}\n"
                             : "endivelever " ENDIVELEVER_VERSION "\n");
        return exit_code::done;
    case cli_command::check_settings:
        return check_files(options, out, err);
    case cli_command::trace:
        return show_trace(options, out, err);
    case cli_command::preset_create:
    case cli_command::preset_switch:
    case cli_command::preset_pin:
    case cli_command::preset_release:
    case cli_command::drain:
        return make_change(options, out, err);
    default:
        return run_read(options, out, err);
    }
}

} // namespace endivelever
