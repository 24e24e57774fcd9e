#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/decide/server_view.hpp"

#include <optional>

namespace endivelever {

/// Picks the server for one call by the service's policy.
/// Never picks a draining server or one in `excluded`; picks an ejected one only under the panic threshold.
/// @param excluded  servers already tried for this call
/// @return the server, or nothing if none may take a call now
/// @complexity linear in the number of servers of the entry's subset
std::optional<server_index> choose_server(server_pool& pool, const std::vector<server_id>& excluded,
                                          time_point now, random_source& random);

/// Expected time until a call sent now would be answered, from own calls, report and their ages.
duration estimated_wait(const server_pool& pool, const server_view& view, time_point now);

} // namespace endivelever
