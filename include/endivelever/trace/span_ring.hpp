#pragma once

#include "endivelever/base/time.hpp"
#include "endivelever/trace/traceparent.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace endivelever {

/// One hop of a call.
struct span {
    trace_id trace;
    std::uint64_t id = 0;
    std::uint64_t parent = 0; ///< 0 if this hop started the trace
    std::string name;         ///< kind of the call, or "attempt"
    std::string peer;         ///< server of an attempt
    const char* outcome = ""; ///< static text
    unsigned status = 0;
    std::int64_t start_us = 0; ///< microseconds since the Unix epoch
    duration length{};
};

/// The last spans of a process. Memory is bounded by the capacity.
struct span_ring {
    std::size_t capacity = 4096;
    std::size_t next = 0;
    std::vector<span> spans;
};

/// Adds a span in place of the oldest one when the ring is full.
void add_span(span_ring& ring, span value);

/// @return the spans of a trace, oldest first
/// @complexity linear in the capacity
std::vector<span> spans_of(const span_ring& ring, const trace_id& trace);

/// @return a JSON array
std::string to_json(const std::vector<span>& spans);

} // namespace endivelever
