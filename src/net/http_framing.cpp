#include "http_framing.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <sys/socket.h>

namespace endivelever::detail {
namespace {

constexpr std::string_view whitespace = " \t";
constexpr unsigned first_status = 100;
constexpr unsigned last_status = 599;

bool is_token_character(char it) {
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
           others.find(it) != std::string_view::npos;
}

bool is_value_character(char it) {
    constexpr char first_visible = ' ';
    constexpr char del = '\x7f';
    const bool is_beyond_ascii = it < '\0';
    return it == '\t' || (it >= first_visible && it != del) || is_beyond_ascii;
}

std::string_view trimmed(std::string_view text) {
    text.remove_prefix(std::min(text.find_first_not_of(whitespace), text.size()));
    return text.substr(0, text.find_last_not_of(whitespace) + 1);
}

} // namespace

std::optional<http_header> parse_header_line(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto name = line.substr(0, colon);
    const auto value = trimmed(line.substr(colon + 1));
    if (name.empty() || !std::all_of(name.begin(), name.end(), is_token_character) ||
        !std::all_of(value.begin(), value.end(), is_value_character)) {
        return std::nullopt;
    }
    return http_header{std::string(name), std::string(value)};
}

unsigned parse_status_line(std::string_view line) {
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t status_at = 9;
    constexpr std::size_t status_end = 12;
    if (!line.starts_with(version) || line.size() < status_end || line[status_at - 1] != ' ' ||
        (line.size() > status_end && line[status_end] != ' ') ||
        !std::all_of(line.begin(), line.end(), is_value_character)) {
        return 0;
    }
    unsigned status = 0;
    const auto [end, ec] = std::from_chars(line.data() + status_at, line.data() + status_end, status);
    const bool is_number = ec == std::errc{} && end == line.data() + status_end;
    return is_number && status >= first_status && status <= last_status ? status : 0;
}

bool has_valid_length(const http_headers& headers) {
    std::optional<std::uint64_t> length;
    for (const auto& it : headers) {
        if (!header_names_equal(it.name, "Content-Length")) {
            continue;
        }
        std::uint64_t value = 0;
        const auto* last = it.value.data() + it.value.size();
        const auto [end, ec] = std::from_chars(it.value.data(), last, value);
        if (ec != std::errc{} || end != last || value > std::numeric_limits<std::int64_t>::max() ||
            length.value_or(value) != value) {
            return false;
        }
        length = value;
    }
    return true;
}

bool has_valid_encoding(const http_headers& headers) {
    std::size_t encodings = 0;
    for (const auto& it : headers) {
        if (header_names_equal(it.name, "Transfer-Encoding")) {
            ++encodings;
            if (encodings > 1 || !header_names_equal(it.value, "chunked")) {
                return false;
            }
        }
    }
    return true;
}

bool is_framing_header(std::string_view name) {
    return header_names_equal(name, "Content-Length") || header_names_equal(name, "Transfer-Encoding") ||
           header_names_equal(name, "Connection");
}

std::optional<std::uint64_t> find_body_length(const http_headers& headers) {
    if (find_header(headers, "Transfer-Encoding") != nullptr) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    if (const auto* text = find_header(headers, "Content-Length")) {
        std::from_chars(text->data(), text->data() + text->size(), value);
    }
    return value;
}

unsigned validate_request_head(const http_headers& headers, std::size_t target_size,
                               std::size_t max_head_size) {
    std::size_t head_size = target_size;
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    bool has_known_encoding = true;
    for (const auto& it : headers) {
        head_size += it.name.size() + it.value.size();
        lengths += header_names_equal(it.name, "Content-Length") ? 1 : 0;
        if (header_names_equal(it.name, "Transfer-Encoding")) {
            ++encodings;
            has_known_encoding = has_known_encoding && header_names_equal(it.value, "chunked");
        }
    }
    if (lengths + encodings > 1 || !has_known_encoding) {
        return status_bad_request;
    }
    return head_size > max_head_size ? status_header_too_large : 0;
}

bool may_respond_early(const http_headers& headers, std::optional<std::uint64_t> body_length) {
    const bool too_much = body_length.has_value() && *body_length > max_discarded_bytes;
    return too_much || find_header(headers, "Expect") != nullptr;
}

void reset_connection(int fd) {
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    if (connect(fd, &unspecified, sizeof unspecified) != 0) {
        shutdown(fd, SHUT_RDWR);
    }
}

} // namespace endivelever::detail
