#include "endivelever/decide/membership.hpp"

#include "fuzz/fixed_seed.hpp"

#include <array>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t vm_count = 6;
constexpr std::uint32_t domains = 2;

vm_id vm_name(std::uint32_t n) {
    return vm_id("vm-" + std::to_string(n));
}

/// Controls that send heartbeats over one-way links. Each may restart with its clock set back.
struct simulated_network {
    time_point now{100s};
    std::array<membership, vm_count> views;
    std::array<std::array<bool, vm_count>, vm_count> cut{};

    simulated_network() {
        for (std::uint32_t n = 0; n < vm_count; ++n) {
            restart(n, 10);
        }
    }
    void restart(std::uint32_t n, std::uint64_t clock) {
        views[n] = {};
        views[n].self.vm = vm_name(n);
        views[n].self.life.value = clock;
        views[n].self.failure_domain = failure_domain("d" + std::to_string(n % domains));
        views[n].self.feed_address = "127.0.0.1:1";
    }
    void send(std::uint32_t from, std::uint32_t to) {
        ++views[from].self.sequence;
        if (from == to || cut[from][to]) {
            return;
        }
        const auto before = known(to, from);
        const auto effect = merge_heartbeat(views[to], views[from].self, now);
        RC_ASSERT(known(to, from) >= before);
        if (effect == heartbeat_effect::outdated && !cut[to][from]) {
            merge_heartbeat(views[from], views[to].others.at(vm_name(from)).record, now);
        }
    }
    [[nodiscard]] std::pair<incarnation, std::uint64_t> known(std::uint32_t at, std::uint32_t of) const {
        const auto it = views[at].others.find(vm_name(of));
        return it == views[at].others.end() ? std::pair<incarnation, std::uint64_t>{}
                                            : std::pair{it->second.record.life, it->second.record.sequence};
    }
    void apply(std::uint32_t step) {
        const auto action = take_choice(step, 8);
        const auto from = take_choice(step, vm_count);
        const auto to = take_choice(step, vm_count);
        if (action == 0) {
            cut[from][to] = !cut[from][to];
        } else if (action == 1) {
            restart(from, 5 + take_choice(step, 20));
        } else if (action == 2) {
            now += std::chrono::milliseconds(take_choice(step, 900));
        } else {
            send(from, to);
        }
    }
    [[nodiscard]] std::uint32_t watchers(std::uint32_t domain) const {
        std::uint32_t n = 0;
        for (std::uint32_t i = domain; i < vm_count; i += domains) {
            n += is_watcher(views[i], now) ? 1 : 0;
        }
        return n;
    }
    void heal() {
        cut = {};
        for (int round = 0; round < 3; ++round) {
            now += 500ms;
            for (std::uint32_t i = 0; i < vm_count * vm_count; ++i) {
                send(i % vm_count, i / vm_count);
            }
        }
    }
};

// Guards against a record that reverts, a failure domain with no or several watchers once its members see
// each other, and a process that is ignored permanently because its clock was set back.
TEST(membership_fuzz, records_only_advance_and_each_domain_has_its_watcher) {
    check_with_seed(502, 300, [] {
        simulated_network it;
        for (const auto step : *arbitrary_steps()) {
            it.apply(step);
            for (std::uint32_t domain = 0; domain < domains; ++domain) {
                RC_ASSERT(it.watchers(domain) >= 1U);
            }
        }
        it.heal();
        for (std::uint32_t domain = 0; domain < domains; ++domain) {
            RC_ASSERT(it.watchers(domain) == 1U);
        }
        for (std::uint32_t i = 0; i < vm_count * vm_count; ++i) {
            const auto [at, of] = std::pair{i % vm_count, i / vm_count};
            if (at != of) {
                RC_ASSERT(it.views[at].others.at(vm_name(of)).last_heard == it.now);
            }
        }
    });
}

} // namespace
} // namespace endivelever
