#include "endivelever/cli/options.hpp"

#include <array>
#include <charconv>
#include <docopt/docopt.h>

namespace endivelever {
namespace {

constexpr const char* help_text = R"(endivelever: command line for operators.

Usage:
  endivelever [options] preset list
  endivelever [options] preset show NAME
  endivelever [options] preset create FILE [--expect=VERSION]
  endivelever [options] preset switch NAME --expect=VERSION [--pin] [--wait]
  endivelever [options] preset pin [--expect=VERSION]
  endivelever [options] preset release [--expect=VERSION]
  endivelever [options] status
  endivelever [options] servers
  endivelever [options] entries
  endivelever [options] kinds
  endivelever [options] trace ID
  endivelever [options] drain SERVER [--undo]
  endivelever [options] check-settings FILE...
  endivelever [options] version
  endivelever (-h | --help)

Options:
  --operator-address=ADDR  Operator address of any VM. [default: 127.0.0.1:8083]
  --key-file=FILE          File with the operator's key. [default: /etc/endivelever/operator.key]
  --json                   Print JSON instead of text.
  --expect=VERSION         Version that the change replaces, as "status" or "preset list" shows it;
                           0 if there is none. Another version in force refuses the change.
  --pin                    Pin the preset; founders only.
  --wait                   Wait up to 10 s until the preset is in force on all entries.
  --undo                   Put the server back into service.
  -h --help                Show this text.

Exit codes:
  0  done
  1  refused, or lost the race against another change
  2  invalid arguments, files or values
  3  unknown: the change may have taken effect, or --wait ended before all entries had the preset
  4  no response from the operator address

Examples:
  endivelever status
  endivelever preset create examples/hanbit/preset-peak.json
  endivelever preset switch peak --expect=7 --wait
  endivelever --operator-address=127.1.1.5:8083 drain status-04
  endivelever trace 4bf92f3577b34da6a3ce929d0e0e4736
  endivelever check-settings examples/hanbit/*.json
)";

using arguments = std::map<std::string, docopt::value>;

bool is_set(const arguments& args, const char* name) {
    const auto it = args.find(name);
    return it != args.end() && it->second.isBool() && it->second.asBool();
}

std::string text_of(const arguments& args, const char* name) {
    const auto it = args.find(name);
    return it != args.end() && it->second.isString() ? it->second.asString() : std::string();
}

bool is_plain_name(const std::string& text) {
    constexpr std::size_t longest = 64;
    constexpr const char* allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
    return !text.empty() && text.size() <= longest && text.find_first_not_of(allowed) == std::string::npos;
}

struct command_words {
    const char* first;
    const char* second; ///< null if the command has one word
    cli_command command;
};

constexpr std::array commands{command_words{"preset", "list", cli_command::preset_list},
                              command_words{"preset", "show", cli_command::preset_show},
                              command_words{"preset", "create", cli_command::preset_create},
                              command_words{"preset", "switch", cli_command::preset_switch},
                              command_words{"preset", "pin", cli_command::preset_pin},
                              command_words{"preset", "release", cli_command::preset_release},
                              command_words{"status", nullptr, cli_command::status},
                              command_words{"servers", nullptr, cli_command::servers},
                              command_words{"entries", nullptr, cli_command::entries},
                              command_words{"kinds", nullptr, cli_command::kinds},
                              command_words{"trace", nullptr, cli_command::trace},
                              command_words{"drain", nullptr, cli_command::drain},
                              command_words{"check-settings", nullptr, cli_command::check_settings},
                              command_words{"version", nullptr, cli_command::version}};

cli_command command_of(const arguments& args) {
    for (const auto& it : commands) {
        if (is_set(args, it.first) && (it.second == nullptr || is_set(args, it.second))) {
            return it.command;
        }
    }
    return cli_command::help;
}

std::string name_of(const arguments& args, cli_command command) {
    switch (command) {
    case cli_command::trace:
        return text_of(args, "ID");
    case cli_command::drain:
        return text_of(args, "SERVER");
    default:
        return text_of(args, "NAME");
    }
}

std::vector<std::string> files_of(const arguments& args) {
    const auto it = args.find("FILE");
    if (it == args.end()) {
        return {};
    }
    if (it->second.isString()) {
        return {it->second.asString()};
    }
    return it->second.isStringList() ? it->second.asStringList() : std::vector<std::string>{};
}

result<cli_options> read_options(const arguments& args) {
    cli_options out;
    out.command = command_of(args);
    out.operator_address = socket_address(text_of(args, "--operator-address"));
    out.key_file = text_of(args, "--key-file");
    out.json = is_set(args, "--json");
    out.name = name_of(args, out.command);
    out.files = files_of(args);
    out.pin = is_set(args, "--pin");
    out.wait = is_set(args, "--wait");
    out.undo = is_set(args, "--undo");
    const bool named = out.command == cli_command::preset_show || out.command == cli_command::preset_switch;
    if (named && !is_plain_name(out.name)) {
        return fail("cli", 1,
                    "preset name \"" + out.name +
                        "\" is invalid; allowed are 1 to 64 letters, digits, '-' and '_'");
    }
    if (const auto valid = split_address(out.operator_address); !valid) {
        return tl::unexpected(valid.error());
    }
    const auto expect = text_of(args, "--expect");
    if (expect.empty()) {
        return out;
    }
    document_version version;
    const char* end = expect.data() + expect.size();
    const auto [stop, ec] = std::from_chars(expect.data(), end, version.value);
    if (ec != std::errc() || stop != end) {
        return fail("cli", 1, "--expect=" + expect + " is no version; allowed is a number from 0");
    }
    out.expect = version;
    return out;
}

std::string usage_part() {
    const std::string text = help_text;
    const auto start = text.find("Usage:");
    return text.substr(start, text.find("Options:") - start);
}

} // namespace

const char* cli_help() {
    return help_text;
}

result<cli_options> parse_cli_options(const std::vector<std::string>& args) {
    try {
        return read_options(docopt::docopt_parse(help_text, args, true, false));
    } catch (const docopt::DocoptExitHelp&) {
        return cli_options{};
    } catch (const docopt::DocoptArgumentError& failure) {
        const std::string cause = failure.what();
        return fail("cli", 1, (cause.empty() ? "invalid arguments" : cause) + "\n" + usage_part());
    }
}

} // namespace endivelever
