#include "http_framing.hpp"

#include <charconv>
#include <sys/socket.h>

namespace endivelever::detail {

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
