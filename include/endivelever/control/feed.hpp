#pragma once

#include "endivelever/control/control_board.hpp"

namespace endivelever {

/// Brings an entry up to date: documents, member table, lease, in this order, so that a lease never arrives
/// before the preset it covers.
void feed_entry(control& it, connection& entry, time_point now);

/// Feeds all entries; called every 500 ms.
void feed_entries(control& it, time_point now);

/// Sends the member table to all entries if serving members have changed since it was last sent.
void send_changed_members(control& it, time_point now);

/// Takes over what the entry of this VM reported into this member's record.
void update_own_record(control_board& board);

/// How long entries may treat the preset as current; zero without a preset.
duration lease_of(const control_board& board, time_point now);

} // namespace endivelever
