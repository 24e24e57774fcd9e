#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/decide/server_view.hpp"

#include <optional>

namespace endivelever {

/// Chooses the server for one call by the service's policy.
/// Never chooses a draining server or one in `excluded`. Chooses an ejected server only if the share of
/// usable servers is below the panic threshold.
/// @param excluded  servers already tried for this call
/// @return the server, or no value if no server can accept a call now
/// @complexity linear in the number of servers of the entry's subset
std::optional<server_index> choose_server(server_pool& pool, const std::vector<server_id>& excluded,
                                          time_point now, random_source& random);

/// Estimates the time until a call sent now is answered, from this entry's calls in flight, the last load
/// report and their ages.
duration estimated_wait(const server_pool& pool, const server_view& view, time_point now);

} // namespace endivelever
