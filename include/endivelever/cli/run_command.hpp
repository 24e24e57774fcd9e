#pragma once

#include "endivelever/cli/options.hpp"

#include <ostream>

namespace endivelever {

/// Runs one command.
/// @param out  results
/// @param err  messages on failures
exit_code run_command(const cli_options& options, std::ostream& out, std::ostream& err);

/// Checks settings files, presets and VM lists; presets are checked against every settings file given, too.
/// @return done, or invalid if a file has a fault
exit_code check_files(const cli_options& options, std::ostream& out, std::ostream& err);

/// Asks all entries for the spans of a trace and prints them as a tree.
exit_code show_trace(const cli_options& options, std::ostream& out, std::ostream& err);

/// Runs a preset or drain change and reports its outcome.
exit_code make_change(const cli_options& options, std::ostream& out, std::ostream& err);

} // namespace endivelever
