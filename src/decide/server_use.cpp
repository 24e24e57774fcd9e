#include "endivelever/decide/server_use.hpp"

#include <algorithm>

namespace endivelever {

const char* to_string(use_denial denial) {
    switch (denial) {
    case use_denial::none:
        return "none";
    case use_denial::draining:
        return "draining";
    case use_denial::evacuated:
        return "evacuated";
    case use_denial::cold:
        return "cold";
    case use_denial::paused:
        return "paused";
    case use_denial::limited:
        return "limited";
    }
    return "none";
}

use_denial find_use_denial(const server_view& view, time_point now) {
    if (is_draining(view)) {
        return use_denial::draining;
    }
    if (view.evacuated) {
        return use_denial::evacuated;
    }
    if (next_request_at(view.warm_up_use, now) > now) {
        return use_denial::cold;
    }
    if (is_paused(view.allowance, now)) {
        return use_denial::paused;
    }
    return may_send(view.allowance, now) ? use_denial::none : use_denial::limited;
}

time_point next_use_at(const server_view& view, time_point now) {
    if (is_draining(view) || view.evacuated) {
        return time_point::max();
    }
    return std::max(next_request_at(view.allowance, now), next_request_at(view.warm_up_use, now));
}

} // namespace endivelever
