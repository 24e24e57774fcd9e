#pragma once

#include <cstdint>

namespace endivelever {

/// Why an incarnation of a server takes no further requests, whatever its entry in the store says.
enum class incarnation_end : std::uint8_t {
    none,
    leaving,  ///< it says itself that it leaves
    replaced, ///< another instance answers at its address
    removed   ///< its entry was removed, and came back only with an older copy of the store
};

/// What is known of one incarnation of a server, from all sources.
struct incarnation_evidence {
    bool entry_draining = false; ///< by its entry in the store
    incarnation_end end =
        incarnation_end::none;    ///< by what it, or another instance at its address, has answered
    bool newer_is_listed = false; ///< the store lists a later start at its address
};

/// What an incarnation of a server may be used for.
enum class incarnation_standing : std::uint8_t {
    usable,
    draining, ///< takes no new requests, but may still answer those that it has
    replaced  ///< its address belongs to another instance
};

/// Weighs what is known of an incarnation. What servers show at an address outranks what the store said of
/// it.
incarnation_standing standing_of(const incarnation_evidence& evidence);

} // namespace endivelever
