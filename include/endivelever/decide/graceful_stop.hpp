#pragma once

#include "endivelever/base/time.hpp"

namespace endivelever {

/// Times of a planned stop.
struct graceful_stop {
    time_point started;
    time_point requests_limited_at; ///< requests that may last until after answers_due_at are refused
    time_point drained_at;          ///< connections are neither accepted nor kept
    time_point answers_due_at;      ///< every request has its response
    time_point exit_at;             ///< the process exits at the latest
};

/// Plans a stop. Callers still connect while they cache this VM's address; after half of the grace period a
/// request without a limit of its own could be cut by the end of the process.
/// @param address_cached  how long callers cache an address response
/// @param grace_period    time until the platform kills the process
graceful_stop plan_stop(time_point now, duration address_cached, duration grace_period);

/// @param deadline  when the request ends at the latest, with or without a response of its server
/// @return true if a request may be sent to a server; otherwise it must be refused
bool accepts_request(const graceful_stop& stop, time_point now, time_point deadline);

} // namespace endivelever
