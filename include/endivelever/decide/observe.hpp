#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/decide/server_view.hpp"

#include <optional>

namespace endivelever {

/// How one attempt at a server ended, for the server's view.
enum class attempt_end {
    answered,  ///< a response of the application
    shed,      ///< the server states that it did not run the call
    failed,    ///< server error, broken connection or connect failure
    timed_out, ///< no response in time
    cancelled  ///< given up by the caller; says nothing about the server
};

/// Notes that a call was sent to a server.
void note_dispatch(server_view& view, time_point now);

/// Notes how a call ended and removes it from the in-flight list.
/// @param started  time passed to note_dispatch()
/// @param report   load report of the response, if it carried one
void note_end(server_pool& pool, server_view& view, time_point started, time_point now, attempt_end end,
              const std::optional<load_report>& report);

/// Notes a load report from a probe.
void note_report(server_view& view, const load_report& report, time_point now);

/// Names the next server to probe for a load report, ejected servers first, then the oldest report. Servers
/// whose responses carry reports often enough are not probed. Call it again until it returns nothing.
/// @param probes_per_server_per_second  budget of all entries together; each entry uses its part
/// @return the server, counted as probed now, or nothing if no probe is due
std::optional<server_index> next_probe(server_pool& pool, double probes_per_server_per_second, time_point now,
                                       random_source& random);

/// Ejects stragglers by the age of their calls, ends ejections and warm-ups. Call every few milliseconds.
void review_servers(server_pool& pool, time_point now);

} // namespace endivelever
