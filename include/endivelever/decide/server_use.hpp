#pragma once

#include "endivelever/decide/server_view.hpp"

namespace endivelever {

/// Why a server gets no request now.
enum class use_denial {
    none,
    draining,  ///< it drains, has left, or another instance has taken its address
    evacuated, ///< its failure domain is evacuated
    cold,      ///< it is cold and this VM may not send to it now
    paused,    ///< it wants no request for a while
    limited    ///< the share of this VM in its limit is used up
};

/// @return the name of a denial, for logs and operators
const char* to_string(use_denial denial);

/// Decides whether a server may get a request now. Every path that chooses a server uses this function.
use_denial find_use_denial(const server_view& view, time_point now);

inline bool may_use(const server_view& view, time_point now) {
    return find_use_denial(view, now) == use_denial::none;
}

/// @return when the server may get its next request: not later than `now` if it may get one now;
/// time_point::max() if that is not foreseeable
time_point next_use_at(const server_view& view, time_point now);

/// True if health checks may be sent to the server: not while its failure domain is evacuated.
inline bool may_probe(const server_view& view) {
    return !is_draining(view) && !view.evacuated;
}

} // namespace endivelever
