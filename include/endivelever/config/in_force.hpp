#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/result.hpp"
#include "endivelever/config/preset.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace endivelever {

/// One accepted change of the preset in force.
struct preset_change {
    operation_id operation;
    operator_name who;
    std::string what; ///< "switch", "pin" or "release"
    preset_name name;
    std::int64_t when_us = 0; ///< microseconds since the Unix epoch, for people only
};

/// Payload of the document "preset/in-force".
struct in_force_record {
    operation_id operation; ///< the change that wrote this record
    preset content;
    operator_name who;
    std::int64_t when_us = 0;
    document_version replaced;          ///< version that this record replaced; 0 for the first
    operator_name pinned_by;            ///< empty if not pinned
    std::vector<preset_change> history; ///< newest first, at most 20
};

constexpr std::size_t max_history = 20;

/// Parses the payload. @return the record, or error [config.N]
result<in_force_record> parse_in_force(const std::string& text);

/// @return JSON text that parse_in_force() reads back to an equal value
std::string to_json(const in_force_record& record);

} // namespace endivelever
