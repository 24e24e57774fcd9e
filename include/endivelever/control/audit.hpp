#pragma once

#include "endivelever/control/control_board.hpp"

namespace endivelever {

/// Keeps one change or refusal and logs it. Requests with an unknown key are kept apart and their log lines
/// are limited, so that a flood of them removes no change.
void record_audit(control_board& board, const operator_name& who, const std::string& what,
                  const std::string& outcome);

} // namespace endivelever
