#include "endivelever/store/call_budget.hpp"

#include <algorithm>

namespace endivelever {

bool try_take_call(call_budget& budget, time_point now) {
    constexpr auto window = std::chrono::seconds(1);
    while (!budget.recent.empty() && now - budget.recent.front() >= window) {
        budget.recent.pop_front();
    }
    if (budget.recent.size() >= budget.calls_per_second) {
        ++budget.refused;
        return false;
    }
    budget.recent.push_back(now);
    return true;
}

duration next_delay(back_off& state, random_source& random) {
    constexpr std::uint32_t max_doublings = 16;
    const auto doublings = std::min(state.failures, max_doublings);
    ++state.failures;
    const auto step = std::min(state.min_delay * (1U << doublings), state.max_delay);
    return step / 2 + from_milliseconds(random_unit(random) * to_milliseconds(step / 2));
}

duration with_jitter(duration value, random_source& random) {
    return from_milliseconds(to_milliseconds(value) * (0.9 + 0.2 * random_unit(random)));
}

} // namespace endivelever
