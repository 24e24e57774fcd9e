#pragma once

#include "endivelever/base/time.hpp"

#include <optional>

namespace endivelever {

/// What one response says about the requests that its server wants. The adapter of a platform decodes it.
struct server_directives {
    /// Requests per second that the server takes from all VMs together; no value if it names no limit.
    std::optional<double> fleet_limit;
    /// Time for which the server wants no request from this VM, from a refusal.
    std::optional<duration> pause;
    bool leaving = false; ///< this incarnation of the server will take no requests any more
};

} // namespace endivelever
