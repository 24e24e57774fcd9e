#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/wire/messages.hpp"

#include <vector>

namespace endivelever {

constexpr std::size_t max_response_addresses = 4;

/// Selects the entries that a caller is told to use, in order of preference. Random selection spreads
/// callers, entries with fewer offered calls are preferred, and the first two entries are in different
/// failure domains if possible.
/// @param members  serving members
/// @return at most max_response_addresses members
std::vector<member_record> select_addresses(const std::vector<member_record>& members, random_source& random);

/// Computes how long a stopping entry must keep running. A caller may use an address, and the call id prefix
/// that came with it, until the address response expires. An entry that restarted earlier would not know the
/// calls of its previous incarnation.
/// @param address_keep  how long callers may keep an address response
/// @return time from the start of a planned stop until no caller uses the address any more
duration address_drain_time(duration address_keep);

} // namespace endivelever
