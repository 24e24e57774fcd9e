#include "endivelever/decide/incarnation_standing.hpp"

namespace endivelever {

incarnation_standing standing_of(const incarnation_evidence& evidence) {
    if (evidence.end == incarnation_end::replaced || evidence.newer_is_listed) {
        return incarnation_standing::replaced;
    }
    if (evidence.end == incarnation_end::leaving || evidence.end == incarnation_end::removed ||
        evidence.entry_draining) {
        return incarnation_standing::draining;
    }
    return incarnation_standing::usable;
}

} // namespace endivelever
