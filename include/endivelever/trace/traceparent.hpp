#pragma once

#include "endivelever/base/random.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivelever {

/// 16-byte id of a trace; all zero is invalid.
struct trace_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const trace_id&) const = default;
};

/// Position in a trace as the W3C header "traceparent" carries it.
struct trace_context {
    trace_id trace;
    std::uint64_t span = 0; ///< span of the sender; 0 is invalid
    std::uint8_t flags = 0;
};

/// Parses "00-<32 hex>-<16 hex>-<2 hex>". Later versions are read by the fields of version 00.
/// @return the context, or nothing if the text is not a valid traceparent
std::optional<trace_context> parse_traceparent(std::string_view text);

/// @return the header value
std::string to_traceparent(const trace_context& context);

/// @return a new trace that is not sampled, with a new span
trace_context start_trace(random_source& random);

/// @return a span id that is not 0
std::uint64_t make_span_id(random_source& random);

/// Parses 32 hexadecimal digits.
std::optional<trace_id> parse_trace_id(std::string_view text);

/// @return 32 hexadecimal digits
std::string to_text(const trace_id& id);

} // namespace endivelever
