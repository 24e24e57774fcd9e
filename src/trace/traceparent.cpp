#include "endivelever/trace/traceparent.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace endivelever {
namespace {

constexpr std::size_t header_size = 55;

template <typename Number>
std::optional<Number> parse_hex(std::string_view text) {
    const bool lower_case = std::all_of(
        text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    Number value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (!lower_case || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

void put_hex(char* to, std::uint64_t value, int digits) {
    constexpr const char* digit = "0123456789abcdef";
    for (int i = digits - 1; i >= 0; --i) {
        to[i] = digit[value & 0xfU];
        value >>= 4U;
    }
}

} // namespace

std::optional<trace_id> parse_trace_id(std::string_view text) {
    if (text.size() != 32) {
        return std::nullopt;
    }
    const auto high = parse_hex<std::uint64_t>(text.substr(0, 16));
    const auto low = parse_hex<std::uint64_t>(text.substr(16));
    if (!high || !low || (*high == 0 && *low == 0)) {
        return std::nullopt;
    }
    return trace_id{*high, *low};
}

std::optional<trace_context> parse_traceparent(std::string_view text) {
    if (text.size() < header_size || text[2] != '-' || text[35] != '-' || text[52] != '-') {
        return std::nullopt;
    }
    const auto version = parse_hex<std::uint8_t>(text.substr(0, 2));
    const bool has_more = text.size() > header_size;
    if (!version || *version == 0xff || (has_more && (*version == 0 || text[header_size] != '-'))) {
        return std::nullopt;
    }
    const auto trace = parse_trace_id(text.substr(3, 32));
    const auto parent = parse_hex<std::uint64_t>(text.substr(36, 16));
    const auto flags = parse_hex<std::uint8_t>(text.substr(53, 2));
    if (!trace || !parent || *parent == 0 || !flags) {
        return std::nullopt;
    }
    return trace_context{*trace, *parent, *flags};
}

std::string to_text(const trace_id& id) {
    std::string text(32, '0');
    put_hex(text.data(), id.high, 16);
    put_hex(text.data() + 16, id.low, 16);
    return text;
}

std::string to_traceparent(const trace_context& context) {
    std::string text = "00-00000000000000000000000000000000-0000000000000000-00";
    put_hex(text.data() + 3, context.trace.high, 16);
    put_hex(text.data() + 19, context.trace.low, 16);
    put_hex(text.data() + 36, context.span, 16);
    put_hex(text.data() + 53, context.flags, 2);
    return text;
}

std::uint64_t make_span_id(random_source& random) {
    return std::max<std::uint64_t>(1, random());
}

trace_context start_trace(random_source& random) {
    return {{make_span_id(random), random()}, make_span_id(random), 0};
}

} // namespace endivelever
