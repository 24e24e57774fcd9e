#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/rank.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace endivelever {

/// How a preset treats one kind of work.
struct preset_kind_rule {
    kind_id kind;
    rank served_as = rank::normal;
    double guaranteed_share = 0.0;     ///< part of the service's slots kept for this kind, 0 to 1
    std::uint32_t queue_items = 64;    ///< limit of the queue of one entry, 1 to 100,000
    byte_count queue_bytes{1U << 20U}; ///< limit of request bytes held in the queue of one entry
    duration max_queue_delay{};        ///< longest wait in the queue of an entry; 0 means the deadline only
};

/// Traffic rules that operators switch as a whole.
struct preset {
    preset_name name;
    std::string description;
    std::vector<preset_kind_rule> kinds;
    double retry_budget_ratio = 0.1;            ///< retries per first attempt, 0 to 1
    double probes_per_server_per_second = 10.0; ///< budget of all entries together
};

/// Parses one preset from JSON with comments.
/// @param text    JSON document
/// @param source  name used in error messages, for instance a file name
/// @return the preset, or error [config.N] naming source and line or JSON pointer, value and what is allowed
result<preset> parse_preset(const std::string& text, const std::string& source);

/// @return the preset as JSON text that parse_preset() reads back to an equal value
std::string to_json(const preset& value);

} // namespace endivelever
