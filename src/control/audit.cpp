#include "endivelever/control/audit.hpp"

#include "endivelever/base/log.hpp"

namespace endivelever {

void record_audit(control_board& board, const operator_name& who, const std::string& what,
                  const std::string& outcome) {
    static log_limit unknown_keys;
    auto& ring = who.empty() ? board.unknown_keys : board.audit;
    ring.push_front({wall_clock_us(), who, what, outcome});
    if (ring.size() > max_audit_records) {
        ring.pop_back();
    }
    if (!who.empty() || allow_line(unknown_keys, boot_clock::now())) {
        LOG(INFO) << "[control] " << (who.empty() ? "unknown key" : who.text) << ": " << what << ": "
                  << outcome;
    }
}

} // namespace endivelever
