#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/result.hpp"
#include "endivelever/config/settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace endivelever {

/// Exit codes that scripts rely on; the help text describes them.
enum class exit_code : int { done = 0, refused = 1, invalid = 2, unknown = 3, unreachable = 4 };

enum class cli_command {
    help,
    version,
    preset_list,
    preset_show,
    preset_create,
    preset_switch,
    preset_pin,
    preset_release,
    status,
    servers,
    entries,
    kinds,
    trace,
    drain,
    check_settings
};

/// What the arguments ask for.
struct cli_options {
    cli_command command = cli_command::help;
    socket_address operator_address;
    std::string key_file;
    bool json = false;
    std::string name;                       ///< preset, server or trace
    std::vector<std::string> files;         ///< preset_create: one file; check_settings: at least one
    std::optional<document_version> expect; ///< version that the change replaces
    bool pin = false;
    bool wait = false;
    bool undo = false;
};

/// @return the help text
const char* cli_help();

/// Parses the arguments without the program's name.
/// @return the options, or error [cli.1] with a sentence and the usage
result<cli_options> parse_cli_options(const std::vector<std::string>& args);

} // namespace endivelever
