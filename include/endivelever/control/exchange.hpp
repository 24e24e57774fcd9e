#pragma once

#include "endivelever/control/control_board.hpp"

namespace endivelever {

/// Handles one message of a link.
void handle_message(control& it, connection& from, const message& value);

/// Sends a heartbeat to all linked controls, and forgets members that are gone.
void send_heartbeats(control& it, time_point now);

/// Takes a document over if it is newer and passes it on at once to controls and entries.
void learn_document(control& it, const document_message& document);

/// Sends a document to one link unless the other side is known to have it.
void send_document(connection& to, const document_message& document);

/// Notices that the process was paused and drops what was buffered meanwhile. Call before handling input.
/// @return true if the process was paused
bool recover_from_pause(control& it, time_point now);

/// The hello message of this process.
hello_message own_hello(const control_board& board);

} // namespace endivelever
