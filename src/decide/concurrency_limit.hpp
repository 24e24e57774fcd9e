#pragma once

#include "endivelever/decide/admission.hpp"

namespace endivelever::detail {

/// @return smoothed latency of the kind, or an initial value before the first completed call; never 0
duration expected_latency(const kind_admission& kind);

/// @return limit on calls of this kind in progress: the window, but at least the guaranteed share
double effective_window(const service_admission& admission, const kind_admission& kind);

/// True if one more call of this kind may be dispatched now.
bool has_room(const service_admission& admission, const kind_admission& kind);

/// Updates window_credit to `now`. Call it before in_progress changes and before has_room().
void update_credit(const service_admission& admission, kind_admission& kind, time_point now);

/// Sets all windows to this entry's share of the slots.
void init_windows(service_admission& admission);

/// Adjusts all windows of the service to the server load reported by a completed call.
void adjust_windows(service_admission& admission, const admission_feedback& feedback, time_point now);

/// Resets the smoothed queue and the windows if there were no reports and no calls in progress for some time.
void reset_stale_signals(service_admission& admission, time_point now);

} // namespace endivelever::detail
