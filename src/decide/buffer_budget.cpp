#include "endivelever/decide/buffer_budget.hpp"

namespace endivelever {
namespace {

constexpr byte_count max_short_response{64UL << 10U};
constexpr byte_count max_held_response{1UL << 20U};
constexpr byte_count max_held_before_others{8UL << 20U};

} // namespace

buffer_action decide_buffering(const buffer_budget& budget, byte_count held, bool may_stream) {
    const auto longest = may_stream ? max_held_response : max_held_before_others;
    const bool is_exhausted = budget.used.value > budget.limit.value;
    if (held.value <= max_short_response.value || (held.value <= longest.value && !is_exhausted)) {
        return buffer_action::hold;
    }
    return may_stream ? buffer_action::stream : buffer_action::fail;
}

void charge(buffer_budget& budget, byte_count& charged, byte_count now) {
    budget.used.value += now.value;
    budget.used.value -= charged.value;
    charged = now;
}

} // namespace endivelever
