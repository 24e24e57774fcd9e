#pragma once

#include "endivelever/decide/admission.hpp"

namespace endivelever::detail {

/// @return smoothed latency of the kind, or a first guess before any call ended; never 0
duration expected_latency(const kind_admission& kind);

/// @return calls of this kind that may be in progress: the window, but not less than the guaranteed share
double effective_window(const service_admission& admission, const kind_admission& kind);

/// True if the window lets one more call of this kind be sent now.
bool has_room(const service_admission& admission, const kind_admission& kind, time_point now);

/// Counts a call as sent.
void note_sent(const service_admission& admission, kind_admission& kind, time_point now);

/// Sets the windows when the number of slots becomes known.
void start_windows(service_admission& admission);

/// Adjusts all windows of the service to what an ended call tells about the servers' queues.
void adjust_windows(service_admission& admission, const admission_feedback& feedback);

} // namespace endivelever::detail
