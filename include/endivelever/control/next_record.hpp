#pragma once

#include "endivelever/config/in_force.hpp"
#include "endivelever/config/settings.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace endivelever {

enum class change_kind { switch_preset, pin, release };

/// A request to change what is in force.
struct change_request {
    change_kind kind = change_kind::switch_preset;
    preset_name name;        ///< switch only
    document_version expect; ///< version to replace; 0 if no preset is in force yet
    bool pin = false;        ///< switch only
    operation_id operation;
    operator_name who;
    bool founder = false;
};

/// @return "switch", "pin" or "release"
const char* to_text(change_kind kind);

/// Why a change is not allowed, as an HTTP status and a sentence.
struct change_refusal {
    unsigned status = 0; ///< 0 if the change is allowed
    std::string reason;
};

/// Checks pins and who asks. A pinned preset is changed with a founder's key only.
change_refusal check_change(const change_request& request, const std::optional<in_force_record>& present);

/// Builds the record that a change writes. A pin stays until it is released, also when a founder switches.
/// @param present  record that is replaced, if any
/// @param content  content of the new preset; for pin and release that of `present`
in_force_record next_record(const change_request& request, const std::optional<in_force_record>& present,
                            const preset& content, std::int64_t when_us);

/// Whether a record shows that an operation took effect.
enum class operation_trace {
    present, ///< written by the operation, or it is in the history
    absent,  ///< certainly not: the history reaches back to the record that the operation would have replaced
    unclear  ///< the history is too short to tell
};

/// @param before  operation of the record that the change meant to replace; empty if there was none
operation_trace trace_of(const in_force_record& record, const operation_id& operation,
                         const operation_id& before);

} // namespace endivelever
