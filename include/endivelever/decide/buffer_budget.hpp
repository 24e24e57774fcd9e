#pragma once

#include "endivelever/base/ids.hpp"

namespace endivelever {

/// Memory for responses that are held until they are complete, shared by all requests of the process.
struct buffer_budget {
    byte_count limit;
    byte_count used;
};

/// What to do with a response that is held and of which another part has arrived.
enum class buffer_action {
    hold,
    stream, ///< pass on what is held and the rest as it arrives
    fail    ///< end the request: its response can be neither held nor streamed
};

/// Decides whether a response stays in memory. A response that is held can still be replaced by that of
/// another server; one that breaks off while it is streamed ends the connection of its caller. Short
/// responses are always held, so that long ones cannot push them out.
/// @param held        bytes of this response
/// @param may_stream  false while later requests of the connection are in progress, which a broken stream
/// would cut
buffer_action decide_buffering(const buffer_budget& budget, byte_count held, bool may_stream);

/// Replaces the memory that one response is charged for.
void charge(buffer_budget& budget, byte_count& charged, byte_count now);

} // namespace endivelever
