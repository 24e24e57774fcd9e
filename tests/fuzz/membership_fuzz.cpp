#include "endivelever/decide/membership.hpp"

#include "fuzz/fixed_seed.hpp"

#include <array>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t count = 6;
constexpr std::uint32_t domains = 2;

vm_id name_of(std::uint32_t n) {
    return vm_id("vm-" + std::to_string(n));
}

/// Controls that send heartbeats over one-way links; each may restart with a clock that went back.
struct world {
    time_point now{100s};
    std::array<membership, count> views;
    std::array<std::array<bool, count>, count> cut{};

    world() {
        for (std::uint32_t n = 0; n < count; ++n) {
            restart(n, 10);
        }
    }
    void restart(std::uint32_t n, std::uint64_t clock) {
        views[n] = {};
        views[n].self.vm = name_of(n);
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
            merge_heartbeat(views[from], views[to].others.at(name_of(from)).record, now);
        }
    }
    [[nodiscard]] std::pair<incarnation, std::uint64_t> known(std::uint32_t at, std::uint32_t of) const {
        const auto it = views[at].others.find(name_of(of));
        return it == views[at].others.end() ? std::pair<incarnation, std::uint64_t>{}
                                            : std::pair{it->second.record.life, it->second.record.sequence};
    }
    void apply(std::uint32_t step) {
        const auto action = take(step, 8);
        const auto from = take(step, count);
        const auto to = take(step, count);
        if (action == 0) {
            cut[from][to] = !cut[from][to];
        } else if (action == 1) {
            restart(from, 5 + take(step, 20));
        } else if (action == 2) {
            now += std::chrono::milliseconds(take(step, 900));
        } else {
            send(from, to);
        }
    }
    [[nodiscard]] std::uint32_t watchers(std::uint32_t domain) const {
        std::uint32_t n = 0;
        for (std::uint32_t i = domain; i < count; i += domains) {
            n += is_watcher(views[i], now) ? 1 : 0;
        }
        return n;
    }
    void heal() {
        cut = {};
        for (int round = 0; round < 3; ++round) {
            now += 500ms;
            for (std::uint32_t i = 0; i < count * count; ++i) {
                send(i % count, i / count);
            }
        }
    }
};

// Guards against a record that goes back, a failure domain that nobody or everybody watches, and a process
// whose clock went back and that is ignored for ever.
TEST(membership_fuzz, records_only_advance_and_each_domain_has_its_watcher) {
    check_with_seed(502, 300, [] {
        world it;
        for (const auto step : *steps()) {
            it.apply(step);
            for (std::uint32_t domain = 0; domain < domains; ++domain) {
                RC_ASSERT(it.watchers(domain) >= 1U);
            }
        }
        it.heal();
        for (std::uint32_t domain = 0; domain < domains; ++domain) {
            RC_ASSERT(it.watchers(domain) == 1U);
        }
        for (std::uint32_t i = 0; i < count * count; ++i) {
            const auto [at, of] = std::pair{i % count, i / count};
            if (at != of) {
                RC_ASSERT(it.views[at].others.at(name_of(of)).last_heard == it.now);
            }
        }
    });
}

} // namespace
} // namespace endivelever
