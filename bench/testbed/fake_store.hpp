#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivelever::testbed {

constexpr std::size_t max_object_size = 1U << 20U;

struct stored_object {
    document_version version;
    std::string payload;
};

/// Objects by key. Each object counts its own versions from 1.
struct fake_store {
    std::map<std::string, stored_object> objects;
};

/// Condition of an update: the object must be absent, or must have this version.
struct put_condition {
    std::optional<document_version> expected; ///< nothing means that the object must be absent
};

struct put_outcome {
    bool accepted = false;
    document_version version; ///< new version, or the present one if refused; 0 if absent
};

/// Parses `"7"` as in ETag and If-Match. @return the version, or nothing
std::optional<document_version> parse_etag(std::string_view text);

/// @return the version in quotes
std::string etag_of(document_version version);

/// Changes an object if the condition holds.
put_outcome put(fake_store& store, const std::string& key, const put_condition& condition,
                std::string payload);

/// How the platform misbehaves.
enum class fault_mode {
    none,
    slow,        ///< each request is processed after `latency`
    silent,      ///< requests are accepted, have no effect and are never answered
    lost_answer, ///< updates take effect, then the connection is closed without an answer
    outage       ///< 503 without effect; pending watches end with 503 too
};

struct fault_rule {
    fault_mode mode = fault_mode::none;
    duration latency{};
    std::string path_prefix{};   ///< paths that start with this are affected
    std::uint64_t remaining = 0; ///< requests still affected; 0 means no limit
};

/// Faults in force, at most one per path prefix.
struct fault_table {
    std::vector<fault_rule> rules;
};

/// @return the rule in `text` (see section 7.3 of the design), or error [fake.N]
result<fault_rule> parse_fault(const std::string& text);

/// Puts a rule in force in place of the one with the same prefix. Mode `none` removes that rule, and all
/// rules if its prefix is empty.
void set_fault(fault_table& table, const fault_rule& rule);

/// Finds the rule with the longest prefix that affects a request, and uses up one of its requests.
/// @param is_update  true for PUT; rules with `lost_answer` affect updates only
fault_rule take_fault(fault_table& table, std::string_view path, bool is_update);

/// @return true if an outage covers the path; uses nothing up
bool in_outage(const fault_table& table, std::string_view path);

} // namespace endivelever::testbed
