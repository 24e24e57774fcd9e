#pragma once

#include "endivelever/base/time.hpp"

namespace endivelever {

/// Deadlines that callers send with the requests of one route. They differ between callers, and a request
/// that repeats a failed one has only the rest of its caller's deadline left.
struct deadline_profile {
    duration low{};     ///< few first attempts have less; 0 until a request arrived
    duration typical{}; ///< median
};

/// Learns a deadline and estimates from it how long the caller has been trying.
/// @param deadline  time that the caller still waits
/// @return time since the caller's first attempt; 0 if this may be the first one
duration estimate_prior_time(deadline_profile& profile, duration deadline);

} // namespace endivelever
