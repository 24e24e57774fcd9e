#pragma once

#include "endivelever/decide/admission.hpp"

namespace endivelever::detail {

/// @return smoothed latency of the kind, or a first guess before any call ended; never 0
duration expected_latency(const kind_admission& kind);

/// @return calls of this kind that may be in progress: the window, but not less than the guaranteed share
double effective_window(const service_admission& admission, const kind_admission& kind);

/// True if the window lets one more call of this kind be sent now.
bool has_room(const service_admission& admission, const kind_admission& kind);

/// Brings the window's credit up to date. Call it before in_progress changes and before has_room().
void update_credit(const service_admission& admission, kind_admission& kind, time_point now);

/// Sets the windows when the number of slots becomes known.
void start_windows(service_admission& admission);

/// Adjusts all windows of the service to what an ended call tells about the servers' queues.
void adjust_windows(service_admission& admission, const admission_feedback& feedback, time_point now);

/// Starts afresh when no call has been in progress for some time.
void forget_old_signals(service_admission& admission, time_point now);

} // namespace endivelever::detail
