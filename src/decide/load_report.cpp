#include "endivelever/decide/load_report.hpp"

#include <algorithm>
#include <charconv>
#include <string>

namespace endivelever {
namespace detail {

constexpr std::uint64_t max_reported_calls = 1'000'000;
constexpr std::uint64_t max_service_us = 3'600'000'000;

result<std::uint64_t> parse_number(std::string_view name, std::string_view text, std::uint64_t limit) {
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size() || value > limit) {
        return fail("decide", 1,
                    "load report field \"" + std::string(name) + "\" is \"" +
                        std::string(text.substr(0, 32)) + "\", expected a number from 0 to " +
                        std::to_string(limit));
    }
    return value;
}

std::uint64_t max_value_of(std::string_view name) {
    if (name == "running" || name == "queued") {
        return max_reported_calls;
    }
    return name == "service_us" ? max_service_us : 1;
}

void set_field(load_report& report, std::string_view name, std::uint64_t value) {
    if (name == "running") {
        report.running = static_cast<std::uint32_t>(value);
    } else if (name == "queued") {
        report.queued = static_cast<std::uint32_t>(value);
    } else if (name == "service_us") {
        report.service_time = std::chrono::microseconds(value);
    } else {
        report.draining = value != 0;
    }
}

bool is_known_field(std::string_view name) {
    return name == "running" || name == "queued" || name == "service_us" || name == "draining";
}

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace detail

result<load_report> parse_load_report(std::string_view text) {
    load_report report;
    bool has_running = false;
    while (!text.empty()) {
        const auto length = std::min(text.find(';'), text.size());
        const auto item = detail::trimmed(text.substr(0, length));
        text.remove_prefix(std::min(length + 1, text.size()));
        const auto equals = item.find('=');
        const auto name = item.substr(0, equals);
        if (equals == std::string_view::npos || !detail::is_known_field(name)) {
            continue;
        }
        const auto value = detail::parse_number(name, item.substr(equals + 1), detail::max_value_of(name));
        if (!value) {
            return tl::unexpected<error>(value.error());
        }
        has_running = has_running || name == "running";
        detail::set_field(report, name, *value);
    }
    if (!has_running) {
        return fail("decide", 1, "load report has no field \"running\"");
    }
    return report;
}

} // namespace endivelever
