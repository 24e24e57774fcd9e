#pragma once

#include "endivelever/base/strong_id.hpp"

#include <cstdint>

namespace endivelever {

/// Counts how often an object store came back from an older copy of its content. 0 if the store names no era.
using store_era = strong_number<struct store_era_tag, std::uint64_t>;

/// Revision of a whole object store; increases with every change to any object. A store that comes back from
/// a copy gives numbers out again, so revisions are ordered by their era first.
struct object_revision {
    store_era era;           ///< in which the store gave the number
    std::uint64_t value = 0; ///< 0 means unknown

    bool operator==(const object_revision&) const = default;
    // Written out because clang-tidy 14 reports the defaulted operator.
    std::strong_ordering operator<=>(const object_revision& other) const {
        const auto by_era = era <=> other.era;
        return by_era != std::strong_ordering::equal ? by_era : value <=> other.value;
    }
};

inline std::ostream& operator<<(std::ostream& out, const object_revision& revision) {
    return out << revision.era << '.' << revision.value;
}

} // namespace endivelever
