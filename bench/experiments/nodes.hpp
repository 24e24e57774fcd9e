#pragma once

#include "experiments/experiment.hpp"

namespace endivelever::experiments {

/// Time from an accepted switch to the last entry that applies it (I7), with 4 to 64 entry VMs, and with the
/// store up, down right after the switch, and slow.
experiment_result run_preset_spread(const experiment_options& options);

/// Calls a second that the store sees from all members: quiet, while presets are switched, after an outage.
experiment_result run_store_load(const experiment_options& options);

/// Time to the last new call on a server after each source said that it leaves (I5).
experiment_result run_drain(const experiment_options& options);

/// All entries are stopped and started one after another under load (I6).
experiment_result run_rolling_replace(const experiment_options& options);

/// An entry is killed under load: calls not answered, and time until callers use other entries.
experiment_result run_entry_death(const experiment_options& options);

/// Kills, pauses and repeated calls under load, judged by the servers' ledger (I3, I4).
experiment_result run_at_most_once(const experiment_options& options);

} // namespace endivelever::experiments
