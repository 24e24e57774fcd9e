#include "endivelever/decide/currency.hpp"

#include "fuzz/fixed_seed.hpp"

#include <algorithm>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t vm_count = 7;

vm_id vm_name(std::uint32_t n) {
    return vm_id("vm-" + std::to_string(n));
}

/// Reference model: true if there is evidence at `at`, provided that nothing is received until then.
bool has_evidence(const preset_lease_state& state, const std::vector<vm_id>& listed, time_point at) {
    if (state.last_store_read != time_point{} && at - state.last_store_read < 4s) {
        return true;
    }
    const auto heard = std::count_if(listed.begin(), listed.end(), [&](const vm_id& vm) {
        const auto it = state.last_heartbeats.find(vm);
        return vm == vm_name(0) || (it != state.last_heartbeats.end() && at - it->second < 4s);
    });
    return static_cast<std::size_t>(heard) * 2 > listed.size();
}

// Guards against a member that treats its preset as current for longer than 4 s after its last evidence, and
// against one that stops doing so although it has evidence.
TEST(currency_fuzz, lease_ends_exactly_with_its_evidence) {
    check_with_seed(503, 500, [] {
        preset_lease_state state;
        std::vector<vm_id> listed;
        time_point now{100s};
        for (auto step : *arbitrary_steps()) {
            const auto action = take_choice(step, 6);
            const auto member = take_choice(step, vm_count);
            if (action == 0) {
                state.last_store_read = now - std::chrono::milliseconds(take_choice(step, 1500));
            } else if (action <= 2) {
                state.last_heartbeats[vm_name(member)] = now;
            } else if (action == 3) {
                listed.clear();
                for (std::uint32_t n = 0; n <= member; ++n) {
                    listed.push_back(vm_name(n));
                }
            } else {
                now += std::chrono::milliseconds(take_choice(step, 3000));
            }
            const auto remaining = remaining_preset_lease(state, vm_name(0), listed, now);
            RC_ASSERT(remaining <= 4s);
            RC_ASSERT((remaining > 0ns) == has_evidence(state, listed, now));
            const bool alone = listed.size() == 1;
            RC_ASSERT((alone || !has_evidence(state, listed, now + remaining)));
            RC_ASSERT((remaining == 0ns || has_evidence(state, listed, now + remaining - 1ns)));
        }
    });
}

} // namespace
} // namespace endivelever
