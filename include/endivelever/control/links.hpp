#pragma once

#include "endivelever/control/control_board.hpp"

namespace endivelever {

/// Takes over an accepted socket; closes it if there are too many connections.
void accept_link(control& it, int fd);

/// Removes closed links and dials members and seeds that are not linked.
void maintain_links(control& it, time_point now);

/// Sends to all linked controls.
void send_to_controls(control& it, const message& value);

/// Closes every link. Used after a pause: buffered frames are older than they seem.
void reset_links(control& it);

/// Closes a link without waiting for the other side.
void close_link(connection& link);

bool is_linked_control(const connection& link);
bool is_linked_entry(const connection& link);

} // namespace endivelever
