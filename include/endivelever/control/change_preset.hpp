#pragma once

#include "endivelever/control/control_board.hpp"
#include "endivelever/control/next_record.hpp"

#include <functional>

namespace endivelever {

enum class change_outcome { done, not_run, unknown };

/// How an operator's change ended.
struct change_result {
    change_outcome outcome = change_outcome::unknown;
    unsigned status = 0; ///< HTTP status for the operator
    std::string reason;  ///< empty if done
    bool lost_race = false;
};

/// Makes a change of the preset in force: reads the record, writes once under the expected version, and after
/// a lost answer reads back and looks for the operation. The result is never `done` or `not_run` without
/// proof. Calls `on_done` once, from the loop.
void change_preset(control& it, const change_request& request,
                   std::function<void(const change_result&)> on_done);

/// True if this control has heard from a majority of the listed entry VMs within the suspicion limit. Without
/// it, a change could be accepted on the small side of a partition while the others stay current.
bool has_majority(const control_board& board, time_point now);

} // namespace endivelever
