#pragma once

#include "endivelever/base/time.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace endivelever {

/// One named value of a log line.
struct log_field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// Kind of line that is written at most once a second.
struct limited_kind {
    time_point written_at{};
    std::int64_t omitted = 0; ///< lines since then
};

/// Structured log of one process: JSON objects, one a line. A line that the descriptor cannot take at once or
/// that exceeds the budget is dropped and counted; writing never blocks.
struct event_log {
    int fd = 1;                              ///< standard output
    std::uint64_t bytes_per_second = 32'768; ///< budget of the operators' log pipeline for one process
    std::string vm;                          ///< written with each line
    std::uint64_t lines = 0;
    std::uint64_t dropped = 0;
    std::uint64_t reported_dropped = 0;
    time_point window_start{};
    std::uint64_t bytes_in_window = 0;
    std::map<std::string, limited_kind, std::less<>> limited;
    std::uint64_t omitted = 0; ///< lines of limited kinds that were not written
};

/// Limits a kind of line to one a second. At most 64 kinds are told apart.
/// @return the number of lines of this kind that were omitted since the last one; nullopt if this one is, too
std::optional<std::int64_t> admit_line(event_log& log, std::string_view kind, time_point now);

/// Writes one line: `{"t":...,"vm":...,"event":...,<fields>}`; `t` is the Unix time in seconds.
/// @param event  stable name, listed in docs/OPERATIONS.md
void write_event(event_log& log, std::string_view event, std::initializer_list<log_field> fields);

/// @return the text as a JSON string with quotes; invalid UTF-8 is replaced
std::string json_quoted(std::string_view text);

} // namespace endivelever
