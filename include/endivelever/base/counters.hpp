#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace endivelever {

/// One process's counters and gauges, printed in the common text exposition format.
/// Keys are complete series names, for instance `calls_total{kind="order",outcome="done"}`.
struct counter_table {
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
};

/// Adds to a counter and creates it at 0 first. Keep the returned reference for hot paths; it stays valid.
inline std::uint64_t& counter(counter_table& table, const std::string& series) {
    return table.counters[series];
}

/// @return all series with the prefix "endivelever_", one a line, with a TYPE line for each metric name
std::string exposition_text(const counter_table& table);

} // namespace endivelever
