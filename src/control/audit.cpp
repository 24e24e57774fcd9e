#include "endivelever/control/audit.hpp"

#include "endivelever/base/log.hpp"

namespace endivelever {

void record_audit(control_board& board, const operator_name& who, const std::string& what,
                  const std::string& outcome) {
    static log_limit limit;
    board.audit.push_front({wall_clock_us(), who, what, outcome});
    if (board.audit.size() > max_audit_records) {
        board.audit.pop_back();
    }
    if (allow_line(limit, boot_clock::now())) {
        LOG(INFO) << "[control] " << (who.empty() ? "unknown key" : who.text) << ": " << what << ": "
                  << outcome;
    }
}

} // namespace endivelever
