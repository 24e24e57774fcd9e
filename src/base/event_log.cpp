#include "endivelever/base/event_log.hpp"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace endivelever {
namespace {

// A pipe that polls as writable takes this many bytes without blocking (PIPE_BUF).
constexpr std::size_t max_line = 4096;
constexpr std::size_t max_limited_kinds = 64;
constexpr duration limited_interval = std::chrono::seconds(1);

void append_number(std::string& out, const char* format, double value) {
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), format, value);
    out.append(buf.data(), static_cast<std::size_t>(std::max(0, n)));
}

struct value_writer {
    std::string& out;
    void operator()(std::string_view value) const { out += json_quoted(value); }
    void operator()(std::int64_t value) const { out += std::to_string(value); }
    void operator()(double value) const { append_number(out, "%.6g", value); }
    void operator()(bool value) const { out += value ? "true" : "false"; }
};

bool is_writable(int fd) {
    pollfd it{fd, POLLOUT, 0};
    return poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

bool within_budget(event_log& log, std::size_t size) {
    const auto now = boot_clock::now();
    if (now - log.window_start >= std::chrono::seconds(1)) {
        log.window_start = now;
        log.bytes_in_window = 0;
    }
    if (log.bytes_in_window + size > log.bytes_per_second) {
        return false;
    }
    log.bytes_in_window += size;
    return true;
}

} // namespace

std::string json_quoted(std::string_view text) {
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::int64_t> admit_line(event_log& log, std::string_view kind, time_point now) {
    auto found = log.limited.find(kind);
    if (found == log.limited.end()) {
        const bool is_full = log.limited.size() >= max_limited_kinds;
        found = log.limited.try_emplace(is_full ? std::string("other") : std::string(kind)).first;
    }
    auto& it = found->second;
    if (it.written_at != time_point{} && now - it.written_at < limited_interval) {
        ++it.omitted;
        ++log.omitted;
        return std::nullopt;
    }
    it.written_at = now;
    return std::exchange(it.omitted, 0);
}

void write_event(event_log& log, std::string_view event, std::initializer_list<log_field> fields) {
    std::string line = "{\"t\":";
    append_number(line, "%.3f", static_cast<double>(wall_clock_us()) / 1e6);
    line += ",\"vm\":" + json_quoted(log.vm) + ",\"event\":" + json_quoted(event);
    for (const auto& it : fields) {
        line += ",\"";
        line += it.name;
        line += "\":";
        std::visit(value_writer{line}, it.value);
    }
    if (log.dropped != log.reported_dropped) {
        line += ",\"dropped_lines\":" + std::to_string(log.dropped);
    }
    line += "}\n";
    if (line.size() > max_line || !within_budget(log, line.size()) || !is_writable(log.fd) ||
        write(log.fd, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        ++log.dropped;
        return;
    }
    ++log.lines;
    log.reported_dropped = log.dropped;
}

} // namespace endivelever
