#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace endivelever {

/// Limits on what callers may use of one process, over all its listeners.
struct intake_limits {
    /// Connections and request bodies together; 0 means no limit.
    byte_count memory;
    /// Open connections; 0 means no limit.
    std::size_t connections = 0;
    /// No further request of a connection is read while it holds more. 32 pipelined requests with headers of
    /// 16 KB and 256 KB of unsent responses stay below it.
    byte_count connection_memory{896UL << 10U};
    /// A connection that waits for its caller is closed unless it transfers `min_progress` bytes in this
    /// time. Longer than the 15 s for which a caller may be idle.
    duration progress_timeout = std::chrono::seconds(20);
    byte_count min_progress{4096};
};

/// What callers use.
struct intake_usage {
    byte_count
        connections_memory;   ///< buffers of connections: unread input, parsed requests, unsent responses
    byte_count bodies_memory; ///< request bodies
    std::size_t connections = 0;
};

/// One connection, for the choice of those that are closed.
struct connection_use {
    byte_count held;              ///< memory of its buffers
    bool waits_for_caller = true; ///< no request is in progress, or the caller does not read or send
    time_point last_transfer{};
    const void* listener = nullptr; ///< identifies the listener that accepted it
};

/// True if a request body of this size may be read. Large bodies leave a part of the memory to small ones, so
/// that a few large ones cannot shut out all others.
/// @param size  of the body; or the growth of a body of unknown length, with `held` bytes before
bool admits_body(const intake_limits& limits, const intake_usage& usage, byte_count size,
                 byte_count held = {});

/// True if further requests of a connection may be read.
bool reads_requests(const intake_limits& limits, byte_count held);

/// Chooses the connections to close when the process exceeds its memory: those that hold most, until the
/// excess and an eighth of the memory of all connections is free, so that the choice is not repeated for each
/// further byte. Admitted bodies are not given up: they end with the deadline of their request.
/// @return indices into `all`
std::vector<std::size_t> choose_to_free_memory(const intake_limits& limits, const intake_usage& usage,
                                               std::span<const connection_use> all);

/// Chooses up to `most` connections to close so that new ones can be accepted: among those that wait for
/// their callers, the ones that hold most, and of those that hold the same the ones that are idle the
/// longest. Connections with a transfer in the last second are kept.
/// @param listener  only connections of this listener; nullptr for those of all
/// @return indices into `all`
std::vector<std::size_t> choose_to_free_connections(std::span<const connection_use> all, std::size_t most,
                                                    time_point now, const void* listener = nullptr);

/// Transfer of a connection that waits for its caller.
struct progress_window {
    bool open = false; ///< the connection waits for its caller
    time_point begin{};
    std::uint64_t bytes = 0; ///< transferred since `begin`
};

/// Updates the window of a connection.
/// @param waits  a head or body is incomplete, or responses cannot be sent
/// @return true if the connection must be closed, as it has transferred too little
bool has_stalled(progress_window& window, const intake_limits& limits, bool waits, time_point now);

} // namespace endivelever
