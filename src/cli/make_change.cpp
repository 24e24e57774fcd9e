#include "endivelever/base/random.hpp"
#include "endivelever/cli/run_command.hpp"
#include "endivelever/cli/text_output.hpp"
#include "endivelever/config/preset.hpp"

#include "session.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace endivelever {
namespace {

using nlohmann::json;

constexpr duration wait_limit = std::chrono::seconds(10);
constexpr duration wait_interval = std::chrono::milliseconds(100);
constexpr int operation_digits = 32;

/// One change as it is sent.
struct change {
    std::string method = "POST";
    std::string target;
    std::string body;
    std::string operation; ///< empty if the change has no operation id
    std::string success;   ///< what to print when it is done
};

result<change> create_preset(const cli_options& options) {
    const auto& path = options.files.front();
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in || !text) {
        return fail("cli", 3, path + ": file cannot be read");
    }
    const auto parsed = parse_preset(text.str(), path);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    const auto version = std::to_string(options.expect.value_or(document_version{}).value);
    const auto& name = parsed->name.text;
    return change{"PUT",
                  "/v1/presets/" + name + "?expect_version=" + version,
                  to_json(*parsed),
                  {},
                  "preset " + name + " is stored"};
}

change change_in_force(const cli_options& options, const std::string& what) {
    change out;
    auto random = make_random_source();
    out.operation = random_hex(random, operation_digits);
    json body{{"operation_id", out.operation}};
    if (options.expect) {
        body["expect_version"] = options.expect->value;
    }
    if (options.command == cli_command::preset_switch) {
        body["name"] = options.name;
        body["pin"] = options.pin;
    }
    out.target = "/v1/preset/" + what;
    out.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return out;
}

result<change> change_of(const cli_options& options) {
    switch (options.command) {
    case cli_command::preset_create:
        return create_preset(options);
    case cli_command::preset_switch:
        return change_in_force(options, "switch");
    case cli_command::preset_pin:
        return change_in_force(options, "pin");
    case cli_command::preset_release:
        return change_in_force(options, "release");
    default: {
        const json body{{"server", options.name}, {"draining", !options.undo}};
        return change{"POST",
                      "/v1/drains",
                      body.dump(-1, ' ', false, json::error_handler_t::replace),
                      {},
                      options.name + (options.undo ? " is back in service" : " is draining")};
    }
    }
}

/// Looks for the operation among the accepted changes: proof that it took effect although its response was
/// lost. Its absence proves nothing, because the change may still be on its way.
bool took_effect(operator_client& client, const std::string& operation) {
    const auto body = operation.empty() ? json() : detail::body_of(client.call("GET", "/v1/audit"));
    if (!body.is_object() || !body.contains("changes") || !body["changes"].is_array()) {
        return false;
    }
    const auto& changes = body["changes"];
    return std::any_of(changes.begin(), changes.end(), [&operation](const json& it) {
        return it.is_object() && it.value("operation_id", json()) == operation;
    });
}

std::string refusal_text(const http_reply& reply, const cli_options& options) {
    auto text = detail::failure_text(reply, options);
    const auto body = detail::body_of(reply);
    if (body.is_object() && body.contains("won_by")) {
        text += "; " + cell_text(body, "won_by") + " won";
    }
    if (body.is_object() && body.contains("in_force")) {
        text += "; in force is " + detail::in_force_text(body["in_force"]);
    }
    return text;
}

void report_failure(exit_code code, const http_reply& reply, const cli_options& options, std::ostream& out,
                    std::ostream& err) {
    const auto* label = code == exit_code::unknown       ? "unknown: "
                        : code == exit_code::unreachable ? "not done: "
                                                         : "refused: ";
    err << label << refusal_text(reply, options) << '\n';
    if (options.json && detail::body_of(reply).is_object()) {
        out << reply.body << '\n';
    }
}

/// How far the change has spread.
struct spread {
    bool known = false;
    std::uint64_t version = 0;
    std::string operation;
    std::uint64_t entries = 0;
    std::uint64_t in_force_on = 0;
    json status;
};

std::uint64_t number_of(const json& body, const char* key) {
    const auto it = body.find(key);
    return it != body.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

spread read_spread(operator_client& client) {
    const auto reply = client.call("GET", "/v1/status");
    spread out;
    out.status = detail::body_of(reply);
    out.known = exit_code_of(reply, false) == exit_code::done && out.status.is_object();
    if (!out.known) {
        return out;
    }
    const auto record = out.status.value("preset", json());
    if (record.is_object()) {
        out.version = number_of(record, "version");
        out.operation = record.value("operation_id", "");
    }
    out.entries = number_of(out.status, "entries");
    out.in_force_on = number_of(out.status, "in_force_on");
    return out;
}

void print_spread(const spread& at, std::ostream& out) {
    out << "in force on " << at.in_force_on << " of " << at.entries << " entries\n";
    for (const auto& it : at.status.value("lagging", json::array())) {
        out << "missing on " << cell_text(it, "vm") << ": " << cell_text(it, "reason") << ", applies version "
            << cell_text(it, "preset_version") << '\n';
    }
}

/// Waits until the preset is in force on all entries.
/// @return done; unknown when the wait ended first; refused when a later change replaced this one
exit_code wait_for_entries(operator_client& client, const change& made, std::ostream& out,
                           std::ostream& err) {
    const auto limit = boot_clock::now() + wait_limit;
    std::uint64_t own_version = 0;
    spread at;
    do {
        at = read_spread(client);
        if (at.known && at.operation == made.operation) {
            own_version = at.version;
        } else if (at.known && own_version != 0 && at.version > own_version) {
            err << "replaced: in force is " << detail::in_force_text(at.status["preset"]) << '\n';
            return exit_code::refused;
        }
        if (own_version != 0 && at.entries > 0 && at.in_force_on == at.entries) {
            print_spread(at, out);
            return exit_code::done;
        }
        client.pause(wait_interval);
    } while (boot_clock::now() < limit);
    err << "not in force on all entries after 10 s\n";
    if (at.known) {
        print_spread(at, err);
    }
    return exit_code::unknown;
}

void report_done(const change& made, const http_reply& reply, const cli_options& options, std::ostream& out) {
    const auto body = detail::body_of(reply);
    if (options.json) {
        out << (body.is_object() ? body : json{{"outcome", "done"}}).dump() << '\n';
        return;
    }
    if (!made.success.empty()) {
        out << "done: " << made.success << '\n';
        return;
    }
    const auto known = body.is_object() && body.contains("in_force") && body.value("outcome", "") == "done";
    out << "done" << (known ? ": in force is " + detail::in_force_text(body["in_force"]) : "") << '\n';
}

} // namespace

exit_code make_change(const cli_options& options, std::ostream& out, std::ostream& err) {
    const auto made = change_of(options);
    if (!made) {
        err << made.error().message << '\n';
        return exit_code::invalid;
    }
    const auto client = detail::open_client(options, err);
    if (!client) {
        return exit_code::invalid;
    }
    const auto reply = client->call(made->method, made->target, made->body);
    auto code = exit_code_of(reply, true);
    if (code == exit_code::unknown && took_effect(*client, made->operation)) {
        code = exit_code::done;
    }
    if (code != exit_code::done) {
        report_failure(code, reply, options, out, err);
        return code;
    }
    report_done(*made, reply, options, out);
    // With --json the result alone goes to standard output.
    return options.wait ? wait_for_entries(*client, *made, options.json ? err : out, err) : code;
}

} // namespace endivelever
