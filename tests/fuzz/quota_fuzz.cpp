#include "endivelever/decide/quota_bucket.hpp"
#include "endivelever/decide/quota_lease.hpp"
#include "endivelever/decide/quota_reserve.hpp"

#include "fuzz/fixed_seed.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t vm_count = 4;
constexpr time_point start{100s};
constexpr duration tick = 10ms;
constexpr duration call_timeout = 700ms;
constexpr std::uint64_t tenant = 42;
const quota_bounds bounds{5s, 0.1, 20.0};

struct limit_change {
    time_point at;
    quota_limit limit;
};

/// Object of one lease, with conditional writes, and a copy from which the store may come back.
struct fake_store {
    store_era era{1};
    std::uint64_t revision = 0; ///< 0 if the object does not exist
    std::uint64_t last_revision = 10;
    quota_lease_record record;
    std::uint64_t copied_revision = 0;
    std::uint64_t copied_last_revision = 10;
    quota_lease_record copied_record;

    void copy() {
        copied_revision = revision;
        copied_last_revision = last_revision;
        copied_record = record;
    }

    void restore() {
        ++era.value;
        revision = copied_revision;
        last_revision = copied_last_revision;
        record = copied_record;
    }

    /// @return the revision written, or no value if the condition does not hold
    std::optional<std::uint64_t> write(std::uint64_t expected, const quota_lease_record& to) {
        if (expected != revision) {
            return std::nullopt;
        }
        revision = ++last_revision;
        record = to;
        return revision;
    }
};

/// A write on its way to the store, and its answer on the way back.
struct store_call {
    std::size_t vm = 0;
    incarnation life;
    std::uint64_t expected = 0;
    quota_lease_record record;
    time_point sent{};       ///< default once the VM has noted the answer or given up
    time_point sent_local{}; ///< by the clock of the VM
    time_point takes_effect{};
    time_point answered{}; ///< time_point::max() if the answer is lost
    bool done = false;
    std::optional<std::uint64_t> written;
    object_revision seen_revision; ///< after the write
    quota_lease_record seen;
};

struct grant_message {
    std::size_t to = 0;
    incarnation life;
    time_point asked_at{};
    std::uint32_t tokens = 0;
    time_point arrives{};
};

struct ask_message {
    std::size_t from = 0;
    std::size_t to = 0;
    incarnation life;
    time_point asked_at{};
    time_point arrives{};
};

struct fake_vm {
    bool runs = true;
    bool paused = false;
    bool is_cut = false; ///< from the store and all VMs
    incarnation life{1};
    store_era era; ///< latest that it knows
    quota_lease lease;
    quota_bucket bucket;
    bool has_bucket = false;
    bool starts_full = false;
    quota_reserve reserve;
    quota_fleet fleet;
    quota_limit limit;
    double clock_rate = 1.0;
    unsigned demand = 0;         ///< requests in each tick
    std::deque<time_point> held; ///< requests that hold a token or floor and wait for a server
};

/// Several VMs, their store and their network on one fake clock.
struct quota_world {
    time_point now = start;
    fake_store store;
    std::array<fake_vm, vm_count> vms;
    std::vector<store_call> calls;
    std::vector<ask_message> asks;
    std::vector<grant_message> grants;
    std::vector<time_point> uses;
    std::vector<limit_change> limits;
    std::uint32_t noise = 1;
    bool holds_requests = false; ///< servers take requests only when their tokens are about to expire

    std::uint32_t next(std::uint32_t bound) {
        noise = noise * 1664525U + 1013904223U;
        return (noise >> 8U) % bound;
    }

    /// Time of the clock of a VM.
    [[nodiscard]] time_point local(std::size_t i) const {
        const auto passed = static_cast<double>((now - start).count()) * vms[i].clock_rate;
        return start + duration(static_cast<duration::rep>(passed));
    }

    explicit quota_world(const quota_limit& limit, std::uint32_t seed) : noise(seed) {
        limits.push_back({start - 1h, limit});
        for (std::size_t i = 0; i < vm_count; ++i) {
            // Far more than the rates of hardware clocks differ.
            vms[i].clock_rate = 0.996 + 0.004 * static_cast<double>(next(3));
            start_vm(i);
            vms[i].lease.may_have_former = false;
        }
    }

    void start_vm(std::size_t i) {
        auto& it = vms[i];
        const incarnation life{it.life.value + 1};
        const auto demand = it.demand;
        const auto clock_rate = it.clock_rate;
        it = {};
        it.life = life;
        it.demand = demand;
        it.clock_rate = clock_rate;
        it.limit = limits.back().limit;
        it.era = store.era; // named by the list of VMs, which comes first
        it.lease.write_started = local(i);
        it.fleet.started = local(i);
    }

    [[nodiscard]] vm_hash hash(std::size_t i) const { return 1000 + i; }

    void write_lease(std::size_t i, quota_lease_action action) {
        auto& it = vms[i];
        store_call call;
        call.vm = i;
        call.life = it.life;
        call.expected = action == quota_lease_action::create ? 0 : it.lease.revision.value;
        call.record = next_record(it.lease, hash(i), it.life, it.era, local(i));
        call.sent = now;
        call.sent_local = local(i);
        // A third of the writes is late, and most of these have lost their answer.
        const bool is_late = it.is_cut || next(3) == 0;
        call.takes_effect = now + (is_late ? 1ms * next(4000) : 4ms);
        const bool is_lost = it.is_cut || next(5) == 0;
        call.answered = is_lost ? time_point::max() : call.takes_effect + 1ms * next(40);
        if (it.is_cut && next(2) == 0) {
            call.takes_effect = time_point::max();
        }
        note_write_started(it.lease, local(i));
        calls.push_back(call);
    }

    void run_store() {
        for (auto& call : calls) {
            if (!call.done && call.takes_effect <= now) {
                call.done = true;
                call.written = store.write(call.expected, call.record);
                call.seen_revision = {store.era, store.revision};
                call.seen = store.record;
            }
        }
        for (auto& call : calls) {
            auto& it = vms[call.vm];
            if (!it.runs || it.paused || it.life != call.life || call.sent == time_point{}) {
                continue;
            }
            const bool is_answered =
                call.done && call.answered <= now && call.answered <= call.sent + call_timeout;
            if (is_answered) {
                handle_answer(it, call);
            } else if (now >= call.sent + call_timeout) {
                note_write_failed(it.lease);
                call.sent = {};
            }
        }
        std::erase_if(calls, [](const store_call& it) {
            return it.sent == time_point{} && (it.done || it.takes_effect == time_point::max());
        });
    }

    static void learn_era(fake_vm& it, store_era era) {
        if (era > it.era) {
            it.era = era;
            note_new_era(it.lease);
        }
    }

    void handle_answer(fake_vm& it, store_call& call) {
        const bool was_holder = it.lease.is_holder;
        const auto era = call.seen_revision.era;
        learn_era(it, era);
        if (call.written && era == call.record.era) {
            note_written(it.lease, call.seen_revision, call.record, call.sent_local);
            if (!was_holder && it.lease.is_holder) {
                it.has_bucket = false;
                it.starts_full = call.expected == 0 && !it.lease.may_have_former;
            }
        } else if (era < it.era) {
            note_write_failed(it.lease);
        } else if (call.seen_revision.value == 0) {
            note_lost(it.lease, era);
        } else {
            note_write_failed(it.lease);
            note_seen(it.lease, call.seen_revision, call.seen, hash(call.vm), it.life, local(call.vm));
        }
        call.sent = {};
    }

    /// @return true if a datagram from one VM reaches another
    bool reaches(std::size_t from, std::size_t to) {
        return !vms[from].is_cut && !vms[to].is_cut && next(10) != 0;
    }

    void exchange_statuses() {
        for (std::size_t from = 0; from < vm_count; ++from) {
            for (std::size_t to = 0; to < vm_count; ++to) {
                if (from == to || !is_active(from) || !is_active(to) || !reaches(from, to)) {
                    continue;
                }
                const auto& known = vms[from].lease;
                const auto era = vms[from].era;
                learn_era(vms[to], era);
                if (known.revision.value == 0 || known.revision.era != era || is_copied(known)) {
                    continue;
                }
                // A status names the holder, but not its incarnation.
                quota_lease_record named{known.record.holder, {}, known.record.term, known.record.released};
                named.era = era;
                note_seen(vms[to].lease, known.revision, named, hash(to), vms[to].life, local(to));
            }
        }
    }

    [[nodiscard]] bool is_active(std::size_t i) const { return vms[i].runs && !vms[i].paused; }

    std::uint32_t grant(std::size_t i) {
        auto& it = vms[i];
        if (!may_grant(it.lease, local(i))) {
            return 0;
        }
        if (!it.has_bucket) {
            it.bucket = make_quota_bucket(it.limit, bounds, it.starts_full, it.lease.grants_from);
            it.has_bucket = true;
        }
        if (it.bucket.limit != it.limit) {
            set_limit(it.bucket, it.limit, bounds, local(i));
        }
        return grant_tokens(it.bucket, 1, local(i)).tokens;
    }

    /// VMs whose lease may be used now.
    [[nodiscard]] std::size_t holders() const {
        std::size_t n = 0;
        for (std::size_t i = 0; i < vm_count; ++i) {
            n += vms[i].runs && may_grant(vms[i].lease, local(i)) ? 1 : 0;
        }
        return n;
    }

    void deliver_messages() {
        for (auto& ask : asks) {
            if (ask.arrives > now || !is_active(ask.to)) {
                continue;
            }
            ask.arrives = time_point::max();
            const auto tokens = grant(ask.to);
            if (tokens > 0 && (ask.from == ask.to || reaches(ask.to, ask.from))) {
                grants.push_back({ask.from, ask.life, ask.asked_at, tokens, now + 1ms * next(60)});
            }
        }
        std::erase_if(asks, [](const auto& it) { return it.arrives == time_point::max(); });
        for (auto& grant : grants) {
            auto& it = vms[grant.to];
            if (grant.arrives > now || !is_active(grant.to)) {
                continue;
            }
            if (it.life == grant.life) {
                add_tokens(it.reserve, grant.tokens, grant.asked_at + token_lifetime(bounds),
                           local(grant.to));
            }
            grant.arrives = time_point::max();
        }
        std::erase_if(grants, [](const auto& it) { return it.arrives == time_point::max(); });
    }

    void send_requests(std::size_t i) {
        auto& it = vms[i];
        const auto at = local(i);
        for (unsigned n = 0; n < it.demand; ++n) {
            auto expiry = take_token(it.reserve, at);
            if (expiry == time_point{} && next(4) == 0) {
                const auto floor = own_floor(it.fleet, hash(i), tenant, it.limit, bounds, at);
                expiry = take_floor(it.reserve, floor, bounds, at);
            }
            if (expiry != time_point{}) {
                it.held.push_back(expiry);
            } else {
                for (std::size_t to = 0; to < vm_count; ++to) {
                    if (hash(to) == it.lease.record.holder && (to == i || reaches(i, to))) {
                        asks.push_back({i, to, it.life, at, now + (to == i ? 0ms : 1ms * next(60))});
                    }
                }
            }
        }
        while (!it.held.empty()) {
            if (at >= it.held.front()) {
                it.held.pop_front(); // expired while it waited: it is not sent
            } else if (!holds_requests || it.held.front() - at <= tick) {
                uses.push_back(now);
                it.held.pop_front();
            } else {
                break;
            }
        }
    }

    void run_for(duration time) {
        for (const auto end = now + time; now < end; now += tick) {
            run_store();
            if ((now - start) % 250ms == 0ms) {
                exchange_statuses();
            }
            deliver_messages();
            std::vector<vm_hash> members;
            for (std::size_t i = 0; i < vm_count; ++i) {
                members.push_back(hash(i));
            }
            for (std::size_t i = 0; i < vm_count; ++i) {
                if (!is_active(i)) {
                    continue;
                }
                update_fleet(vms[i].fleet, members, bounds, local(i));
                const auto action = next_action(vms[i].lease, hash(i), i, local(i));
                const auto& lease = vms[i].lease;
                const bool is_early =
                    !lease.is_writing && !lease.is_holder && !lease.is_stopping && next(500) == 0;
                if (action != quota_lease_action::none) {
                    write_lease(i, action);
                } else if (is_early) {
                    // Too early by the rules of the candidates, which safety must not depend on.
                    write_lease(i, lease.revision.value == 0 ? quota_lease_action::create
                                                             : quota_lease_action::take);
                }
                send_requests(i);
            }
            RC_ASSERT(holders() <= 1U);
        }
    }

    /// Checks every window that ends with a request. A lowered limit applies a window after the last VM knows
    /// it, which these VMs do at once.
    void check_windows() const {
        std::size_t first = 0;
        for (std::size_t last = 0; last < uses.size(); ++last) {
            while (uses[last] - uses[first] > bounds.window) {
                ++first;
            }
            double highest = 0.0;
            for (std::size_t i = 0; i < limits.size(); ++i) {
                const auto until = i + 1 < limits.size() ? limits[i + 1].at : now;
                if (until + bounds.window >= uses[first] && limits[i].at <= uses[last]) {
                    const auto& it = limits[i].limit;
                    highest = std::max(highest, it.rate * to_seconds(bounds.window) + it.burst);
                }
            }
            RC_ASSERT(static_cast<double>(last - first + 1) <=
                      highest * (1.0 + bounds.overage) + bounds.tolerance);
        }
    }

    void set_demand(unsigned demand) {
        for (auto& it : vms) {
            it.demand = demand;
        }
    }

    void lower_limit() {
        const auto& last = limits.back().limit;
        limits.push_back({now, {std::max(1.0, last.rate * 0.3), last.burst * 0.3}});
        for (auto& it : vms) {
            it.limit = limits.back().limit;
        }
    }

    /// Lets buckets and floors fill up, so that the next steps start a burst.
    void rest() {
        set_demand(0);
        run_for(7s);
        set_demand(3);
    }

    void restart_all() {
        for (std::size_t i = 0; i < vm_count; ++i) {
            start_vm(i);
        }
    }

    void take_step(std::uint32_t step) {
        const auto action = take_choice(step, 15);
        const auto i = take_choice(step, vm_count);
        auto& it = vms[i];
        switch (action) {
        case 0:
            it.is_cut = !it.is_cut;
            break;
        case 1:
            it.paused = !it.paused;
            break;
        case 2:
            it.runs = false;
            break;
        case 3:
            start_vm(i);
            break;
        case 4:
            stop_granting(it.lease);
            break;
        case 5:
            restart_all();
            break;
        case 6:
            lower_limit();
            break;
        case 7:
            holds_requests = !holds_requests;
            break;
        case 8:
        case 9:
            rest();
            break;
        case 10:
            store.copy();
            break;
        case 11:
            store.restore();
            break;
        default:
            set_demand(take_choice(step, 4));
            break;
        }
        run_for(10ms * (1 + take_choice(step, 120)));
    }
};

// Guards against more requests in a sliding window than the quota allows, and against two allocators at a
// time, whatever is lost, late, cut, paused, killed, restarted, stopped or taken back to an older copy.
TEST(quota_fuzz, no_window_passes_the_bound) {
    std::size_t sent = 0;
    check_with_seed(907, 400, [&sent] {
        const auto seed = *rc::gen::inRange<std::uint32_t>(1, 1000000);
        const quota_limit limit{static_cast<double>(*rc::gen::element(2, 20, 100)),
                                static_cast<double>(*rc::gen::element(0, 10, 60))};
        quota_world world(limit, seed);
        world.holds_requests = seed % 2 == 0;
        world.set_demand(1 + seed % 3);
        world.run_for(3s);
        for (const auto step : *arbitrary_steps()) {
            world.take_step(step);
        }
        world.check_windows();
        sent += world.uses.size();
    });
    EXPECT_GT(sent, 10'000U); // the property is empty if nothing is sent
}

} // namespace
} // namespace endivelever
