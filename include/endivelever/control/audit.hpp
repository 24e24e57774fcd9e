#pragma once

#include "endivelever/control/control_board.hpp"

namespace endivelever {

/// Keeps one change or refusal and logs it.
void record_audit(control_board& board, const operator_name& who, const std::string& what,
                  const std::string& outcome);

} // namespace endivelever
