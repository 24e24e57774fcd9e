#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/decide/server_view.hpp"

#include <optional>

namespace endivelever {

/// Outcome of one attempt at a server, as recorded in its view.
enum class attempt_end {
    answered,  ///< response from the application
    shed,      ///< the server reports that it did not run the call
    failed,    ///< server error, broken connection or connect failure
    timed_out, ///< no response in time
    cancelled  ///< abandoned by the caller; not evidence about the server
};

/// Records that a call was sent to a server.
void note_dispatch(server_view& view, time_point now);

/// Records the outcome of a call and removes it from the calls in flight.
/// @param started  time passed to note_dispatch()
/// @param report   load report in the response, if any
void note_end(server_pool& pool, server_view& view, time_point started, time_point now, attempt_end end,
              const std::optional<load_report>& report);

/// Records a load report from a probe or a response.
void note_report(server_view& view, const load_report& report, time_point now);

/// Selects the next server to probe for a load report: ejected servers first, then those with the oldest
/// report. Servers whose responses carry reports often enough are not probed. Call it until it returns no
/// value.
/// @param probes_per_server_per_second  budget of all entries together, shared equally; 0 disables probes
/// @return the server, with last_probe set to `now`, or no value if no probe is due
std::optional<server_index> next_probe(server_pool& pool, double probes_per_server_per_second, time_point now,
                                       random_source& random);

/// Ejects failing servers and stragglers, whose calls are overdue, and ends ejections and warm-ups. Call it
/// every few milliseconds.
void review_servers(server_pool& pool, time_point now);

} // namespace endivelever
