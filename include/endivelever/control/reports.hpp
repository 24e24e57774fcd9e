#pragma once

#include "endivelever/control/control_board.hpp"

#include <optional>
#include <string>

namespace endivelever {

/// How far the preset in force has come, from what members report in heartbeats.
struct rollout {
    std::size_t entries = 0; ///< live entry VMs, listed or heard of
    std::size_t in_force_on = 0;
    struct lagging_entry {
        vm_id vm;
        document_version applied;
        std::string reason; ///< "silent", "no entry process" or "earlier preset"
    };
    std::vector<lagging_entry> lagging;
};
rollout rollout_of(const control_board& board, time_point now);

/// JSON bodies of the operators' interface (section 7.4 of docs/design.md).
std::string status_body(const control_board& board, time_point now);
std::string presets_body(const control_board& board);
/// @return empty if there is no such preset
std::optional<std::string> preset_body(const control_board& board, const preset_name& name);
std::string servers_body(const control_board& board);
std::string entries_body(const control_board& board, time_point now);
std::string kinds_body(const control_board& board, time_point now);
std::string audit_body(const control_board& board);
/// Counters and gauges in the text exposition format.
std::string metrics_body(const control& it, time_point now);

} // namespace endivelever
