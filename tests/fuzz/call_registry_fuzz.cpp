#include "endivelever/decide/call_registry.hpp"

#include "fuzz/fixed_seed.hpp"

#include <unordered_set>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

const vm_id own_vm("vm-1");
constexpr incarnation life{10};

/// Picks one of a few ids, so that ids repeat: mostly of the current incarnation, and of generations around
/// the current one.
call_id pick_id(std::uint32_t& step, std::uint64_t generation) {
    const auto vm = take_choice(step, 8) == 0 ? vm_id("vm-2") : own_vm;
    const incarnation of{take_choice(step, 8) == 0 ? life.value + 1 : life.value};
    const auto shifted = generation + take_choice(step, 4);
    const auto number = shifted > 2 ? shifted - 2 : 1;
    return call_id(call_id_prefix(vm, of, number) + "." + std::to_string(take_choice(step, 4)));
}

/// Reference model: all calls that are running or may have run, without expiry.
struct reference_model {
    std::unordered_set<call_id> ran;
    std::unordered_set<call_id> running;
    time_point start{100s};
    time_point now{start};

    [[nodiscard]] std::uint64_t generation() const {
        return 1 + static_cast<std::uint64_t>((now - start) / 5min);
    }

    void check_arrival(const call_registry& registry, const call_id& id, const arrival& got) {
        const auto parts = *parse_call_id(id);
        RC_ASSERT((got.action == arrival_action::forward) == (parts.vm != own_vm));
        if (got.action == arrival_action::run) {
            RC_ASSERT(ran.insert(id).second);
            RC_ASSERT(running.insert(id).second);
            RC_ASSERT(parts.life == life);
            RC_ASSERT((parts.generation == generation() || parts.generation + 1 == generation()));
        } else if (got.action == arrival_action::wait) {
            RC_ASSERT(running.contains(id));
        } else if (got.action == arrival_action::answer_done) {
            RC_ASSERT(ran.contains(id) && !running.contains(id));
        } else if (got.action == arrival_action::answer_not_run) {
            RC_ASSERT(!ran.contains(id) && registry.registered == registry.max_calls);
        }
    }

    void finish(const call_id& id, call_outcome outcome) {
        if (running.erase(id) > 0 && outcome == call_outcome::not_run) {
            ran.erase(id);
        }
    }
};

void check_bounds(const call_registry& registry) {
    std::size_t calls = registry.expired_running.size();
    std::uint64_t bytes = 0;
    for (const auto& [generation, table] : registry.by_generation) {
        calls += table.size();
        for (const auto& [id, call] : table) {
            bytes += call.response.body.size() + call.response.content_type.size();
            RC_ASSERT(call.waiters.size() <= registry.max_waiters);
        }
    }
    RC_ASSERT(calls == registry.registered);
    RC_ASSERT(calls <= registry.max_calls);
    RC_ASSERT(bytes == registry.cached_bytes.value);
    RC_ASSERT(bytes <= registry.max_cached_bytes.value);
}

// Guards against a call that runs twice, an unbounded registry, and running ids of other incarnations or
// expired generations.
TEST(call_registry_fuzz, no_id_runs_twice_and_memory_is_bounded) {
    check_with_seed(601, 3000, [] {
        reference_model model;
        call_registry registry;
        registry.vm = own_vm;
        registry.life = life;
        registry.generation_start = model.now;
        registry.max_calls = 6;
        registry.max_waiters = 2;
        registry.max_cached_bytes = byte_count{40};
        for (auto step : *arbitrary_steps()) {
            const auto action = take_choice(step, 8);
            if (action == 0) {
                model.now += std::chrono::seconds(take_choice(step, 400));
                advance_generation(registry, model.now);
            } else if (action <= 4) {
                const auto id = pick_id(step, model.generation());
                const auto got =
                    register_arrival(registry, id, take_choice(step, 8) == 0 ? 1 : 0, step, model.now);
                model.check_arrival(registry, id, got);
            } else {
                const auto id = pick_id(step, model.generation());
                const auto outcome = static_cast<call_outcome>(1 + take_choice(step, 3));
                finish_call(registry, id, outcome,
                            {200, "text", std::string(take_choice(step, 16), 'x'), true});
                model.finish(id, outcome);
            }
            check_bounds(registry);
        }
    });
}

} // namespace
} // namespace endivelever
