#include "json_reader.hpp"

#include <algorithm>
#include <cmath>

namespace endivelever::detail {
namespace {

constexpr std::size_t shown_value_length = 60;
constexpr std::size_t max_name_length = 64;

bool is_letter_or_digit(char it) {
    return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9');
}

bool consists_of(std::string_view text, std::string_view also) {
    const auto good = [also](char it) { return is_letter_or_digit(it) || also.find(it) != also.npos; };
    return !text.empty() && text.size() <= max_name_length && std::all_of(text.begin(), text.end(), good);
}

std::string cut(const std::string& text) {
    return text.size() <= shown_value_length ? text : text.substr(0, shown_value_length) + "...";
}

std::string shown(const json& value) {
    return cut(value.dump(-1, ' ', false, json::error_handler_t::replace));
}

/// Number as people write it, without trailing zeros.
std::string plain(double value) {
    return json(value).dump();
}

std::size_t line_of(const std::string& text, std::size_t byte) {
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
    return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
}

/// Part of the parser's message after its own position, for instance "unexpected end of input".
std::string syntax_text(const json::parse_error& failure) {
    const std::string text = failure.what();
    const auto start = text.find(": ");
    return start == std::string::npos ? text : text.substr(start + 2);
}

/// Finds keys that occur twice in one object; the parser alone would keep the last one silently.
struct duplicate_finder {
    std::vector<std::set<std::string>> open_objects;
    std::string duplicate;

    bool operator()(int, json::parse_event_t event, const json& value) {
        if (event == json::parse_event_t::object_start) {
            open_objects.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            open_objects.pop_back();
        } else if (event == json::parse_event_t::key &&
                   !open_objects.back().insert(value.get<std::string>()).second) {
            duplicate = value.get<std::string>();
        }
        return true;
    }
};

} // namespace

json parse_json(const std::string& text, const std::string& source) {
    duplicate_finder finder;
    try {
        auto value = json::parse(text, std::ref(finder), true, true);
        if (!finder.duplicate.empty()) {
            throw config_failure(fault::duplicate_key, source + ": key " + in_quotes(finder.duplicate) +
                                                           " occurs more than once in one object");
        }
        return value;
    } catch (const json::parse_error& failure) {
        const auto line = std::to_string(line_of(text, failure.byte == 0 ? 0 : failure.byte - 1));
        throw config_failure(fault::syntax, source + ": line " + line + ": " + syntax_text(failure));
    }
}

std::string dump_json(const ordered_json& value) {
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string in_quotes(std::string_view text) {
    return "\"" + cut(std::string(text)) + "\"";
}

bool is_name(std::string_view text) {
    return consists_of(text, "-_");
}

bool is_dotted_name(std::string_view text) {
    return consists_of(text, "-_.@");
}

object_reader::object_reader(const json& value, std::string source, std::string pointer)
    : m_value(&value), m_source(std::move(source)), m_pointer(std::move(pointer)) {
    if (!value.is_object()) {
        raise(fault::wrong_type, m_pointer,
              "value " + shown(value) + " is not allowed; allowed is an object");
    }
}

std::string object_reader::pointer_to(const std::string& key) const {
    return m_pointer + "/" + key;
}

void object_reader::raise(fault kind, const std::string& pointer, const std::string& text) const {
    throw config_failure(kind, m_source + ": " + (pointer.empty() ? "document" : pointer) + ": " + text);
}

void object_reader::refuse(const char* key, const std::string& allowed) const {
    const auto text = "value " + shown((*m_value)[key]) + " is not allowed; allowed is " + allowed;
    raise(fault::not_allowed, pointer_to(key), text);
}

void object_reader::contradict(const std::string& key, const std::string& text) const {
    raise(fault::inconsistent, pointer_to(key), text);
}

const json* object_reader::find(const char* key, bool mandatory) {
    m_known.insert(key);
    const auto it = m_value->find(key);
    if (it != m_value->end()) {
        return &*it;
    }
    if (mandatory) {
        raise(fault::missing_key, m_pointer, "key " + in_quotes(key) + " is missing");
    }
    return nullptr;
}

std::string object_reader::text(const char* key, range<std::size_t> length,
                                const std::optional<std::string>& fallback) {
    const json* it = find(key, !fallback);
    if (it == nullptr) {
        return *fallback;
    }
    if (!it->is_string() || it->get_ref<const std::string&>().size() < length.low ||
        it->get_ref<const std::string&>().size() > length.high) {
        refuse(key,
               "a string of " + std::to_string(length.low) + " to " + std::to_string(length.high) + " bytes");
    }
    return it->get<std::string>();
}

std::string object_reader::secret(const char* key, range<std::size_t> length) {
    const json* it = find(key, true);
    if (it->is_string()) {
        const auto& text = it->get_ref<const std::string&>();
        if (text.size() >= length.low && text.size() <= length.high) {
            return text;
        }
    }
    const auto found = it->is_string() ? std::to_string(it->get_ref<const std::string&>().size()) + " bytes"
                                       : std::string("no string");
    raise(fault::not_allowed, pointer_to(key),
          "secret value of " + found + " is not allowed; allowed is a string of " +
              std::to_string(length.low) + " to " + std::to_string(length.high) + " bytes");
}

std::string object_reader::name(const char* key, const std::optional<std::string>& fallback) {
    auto value = text(key, {0, std::numeric_limits<std::size_t>::max()}, fallback);
    if (!is_name(value) && !(fallback && value == *fallback)) {
        refuse(key, "1 to 64 letters, digits, '-' and '_'");
    }
    return value;
}

std::string object_reader::dotted_name(const char* key, const std::optional<std::string>& fallback) {
    auto value = text(key, {0, std::numeric_limits<std::size_t>::max()}, fallback);
    if (!is_dotted_name(value) && !(fallback && value == *fallback)) {
        refuse(key, "1 to 64 letters, digits, '-', '_', '.' and '@'");
    }
    return value;
}

std::int64_t object_reader::integer(const char* key, range<std::int64_t> allowed,
                                    std::optional<std::int64_t> fallback) {
    const json* it = find(key, !fallback);
    if (it == nullptr) {
        return *fallback;
    }
    constexpr std::uint64_t largest = std::numeric_limits<std::int64_t>::max();
    const bool fits =
        it->is_number_integer() && !(it->is_number_unsigned() && it->get<std::uint64_t>() > largest);
    if (!fits || it->get<std::int64_t>() < allowed.low || it->get<std::int64_t>() > allowed.high) {
        refuse(key, "an integer from " + std::to_string(allowed.low) + " to " + std::to_string(allowed.high));
    }
    return it->get<std::int64_t>();
}

std::uint32_t object_reader::count(const char* key, range<std::uint32_t> allowed,
                                   std::optional<std::uint32_t> fallback) {
    const std::optional<std::int64_t> wide = fallback ? std::optional<std::int64_t>(*fallback) : std::nullopt;
    return static_cast<std::uint32_t>(integer(key, {allowed.low, allowed.high}, wide));
}

double object_reader::number(const char* key, range<double> allowed, std::optional<double> fallback) {
    const json* it = find(key, !fallback);
    if (it == nullptr) {
        return *fallback;
    }
    if (!it->is_number() || it->get<double>() < allowed.low || it->get<double>() > allowed.high) {
        refuse(key, "a number from " + plain(allowed.low) + " to " + plain(allowed.high));
    }
    return it->get<double>();
}

duration object_reader::milliseconds(const char* key, range<double> allowed, std::optional<double> fallback) {
    constexpr double nanoseconds_per_millisecond = 1e6;
    return duration(std::llround(number(key, allowed, fallback) * nanoseconds_per_millisecond));
}

bool object_reader::flag(const char* key, std::optional<bool> fallback) {
    const json* it = find(key, !fallback);
    if (it == nullptr) {
        return *fallback;
    }
    if (!it->is_boolean()) {
        refuse(key, "true or false");
    }
    return it->get<bool>();
}

socket_address object_reader::address(const char* key) {
    socket_address value(text(key, {0, std::numeric_limits<std::size_t>::max()}));
    if (!split_address(value)) {
        refuse(key, "<IPv4>:<port> or [<IPv6>]:<port>, for instance \"127.0.0.1:8080\"");
    }
    return value;
}

const json& object_reader::array(const char* key, range<std::size_t> items) {
    const json* it = find(key, true);
    if (!it->is_array() || it->size() < items.low || it->size() > items.high) {
        refuse(key,
               "an array of " + std::to_string(items.low) + " to " + std::to_string(items.high) + " items");
    }
    return *it;
}

std::vector<std::string> object_reader::texts(const char* key, range<std::size_t> items) {
    std::vector<std::string> out;
    if (find(key, false) == nullptr) {
        return out;
    }
    for (const auto& it : array(key, items)) {
        if (!it.is_string()) {
            refuse(key, "an array of strings");
        }
        out.push_back(it.get<std::string>());
    }
    return out;
}

object_reader object_reader::object(const char* key) {
    static const json empty = json::object();
    const json* it = find(key, false);
    return {it == nullptr ? empty : *it, m_source, pointer_to(key)};
}

void object_reader::finish() const {
    for (const auto& [key, value] : m_value->items()) {
        if (m_known.contains(key)) {
            continue;
        }
        std::string allowed;
        for (const auto& it : m_known) {
            allowed += (allowed.empty() ? "" : ", ") + it;
        }
        raise(fault::unknown_key, m_pointer, "key " + in_quotes(key) + " is unknown; allowed are " + allowed);
    }
}

} // namespace endivelever::detail
