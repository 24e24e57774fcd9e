#pragma once

#include "endivelever/net/http_header.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace endivelever::detail {

/// Maximum size of a request body that is read and discarded once the response is known. Closing during the
/// upload would reset the connection and the caller could lose the response. For larger bodies the response
/// is sent early and the connection closed.
inline constexpr std::uint64_t max_discarded_bytes = 4U << 20U;

inline constexpr unsigned status_bad_request = 400;
inline constexpr unsigned status_header_too_large = 431;

/// @return true for headers that only the server itself generates: Content-Length, Transfer-Encoding,
/// Connection
bool is_framing_header(std::string_view name);

/// @return length of the request body in bytes, 0 without a body; empty if it is chunked
std::optional<std::uint64_t> find_body_length(const http_headers& headers);

/// Rejects ambiguous body lengths, which allow request smuggling, and oversized request heads.
/// @return status of the error response, or 0 if the request is valid
unsigned validate_request_head(const http_headers& headers, std::size_t target_size,
                               std::size_t max_head_size);

/// @return true if the response may be sent before the request body is complete
bool may_respond_early(const http_headers& headers, std::optional<std::uint64_t> body_length);

/// Parses a header line of a response (RFC 9112, section 5). Whitespace around the value is removed. A line
/// with whitespace around the name is malformed: libcurl does not read it as that header, so that the two
/// parsers would disagree on the length of the body.
/// @param line  without the line break
/// @return the header; empty if the line is malformed
std::optional<http_header> parse_header_line(std::string_view line);

/// @return status of a status line (RFC 9112, section 4); 0 if the line is malformed or the status is not
/// within 100 to 599 (RFC 9110, section 15)
unsigned parse_status_line(std::string_view line);

/// @return false if the Content-Length headers of a response do not name one length in 63 bits
bool has_valid_length(const http_headers& headers);

/// @return false if a response has another transfer encoding than "chunked", or several. Nothing asks servers
/// for one, and a body without chunks ends with the connection, so that a truncated one looks complete.
bool has_valid_encoding(const http_headers& headers);

/// Resets the connection. A normal close would make a close-delimited body look complete.
void reset_connection(int fd);

} // namespace endivelever::detail
