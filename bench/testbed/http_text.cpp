#include "testbed/http_text.hpp"

#include <charconv>

namespace endivelever::testbed {

std::optional<std::string> query_value(std::string_view target, std::string_view name) {
    auto at = target.find('?');
    while (at != std::string_view::npos) {
        const auto end = target.find('&', at + 1);
        const auto pair = target.substr(at + 1, end == std::string_view::npos ? end : end - at - 1);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return std::string(pair.substr(equals + 1));
        }
        at = end;
    }
    return std::nullopt;
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::uint64_t query_number(std::string_view target, std::string_view name, std::uint64_t fallback) {
    const auto text = query_value(target, name);
    return text ? parse_number(*text).value_or(fallback) : fallback;
}

} // namespace endivelever::testbed
