#pragma once

#include "endivelever/control/control_board.hpp"

namespace endivelever {

/// Sets up the documents to watch or poll.
void init_store_watch(control_board& board);

/// Starts the reads, watches and polls that are due. The watcher of a failure domain watches, the others poll
/// every 20 to 30 s; every member reads at start.
void run_store_watch(control& it, time_point now);

} // namespace endivelever
