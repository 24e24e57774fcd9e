#include "endivelever/decide/peer_table.hpp"

#include <algorithm>
#include <set>

namespace endivelever {
namespace {

// A status may be lost; the next two still arrive within the limit.
constexpr int silent_intervals = 5;
constexpr std::size_t max_answer_addresses = 64;
constexpr std::size_t max_peers = 4096;

void note_known(peer_table& table) {
    table.most_known = std::max(table.most_known, table.peers.size() + 1);
}

duration silence_limit(const peer_table& table, const peer_pacing& pacing) {
    return std::max(pacing.suspect_after, silent_intervals * status_interval(table, pacing));
}

bool is_newer(const gateway_status_message& status, const gateway_status_message& known) {
    return status.life > known.life || (status.life == known.life && status.sequence > known.sequence);
}

template <typename T>
void shuffle(std::vector<T>& items, random_source& random) {
    for (std::size_t i = items.size(); i > 1; --i) {
        std::swap(items[i - 1], items[random_below(random, static_cast<std::uint32_t>(i))]);
    }
}

} // namespace

void apply_registered(peer_table& table, const std::vector<registered_vm>& listed, const vm_id& own) {
    std::set<vm_id> named;
    for (const auto& it : listed) {
        if (it.vm == own || table.peers.size() >= max_peers) {
            continue;
        }
        named.insert(it.vm);
        auto& known = table.peers[it.vm];
        known.registered = true;
        if (known.last_heard == time_point{}) {
            known.status.vm = it.vm;
            known.status.failure_domain = it.failure_domain;
            known.status.caller_address = it.caller_address;
            known.status.peer_address = it.peer_address;
        }
    }
    for (auto& it : table.peers) {
        it.second.registered = named.contains(it.first);
    }
    std::erase_if(table.peers, [](const auto& it) {
        return !it.second.registered && it.second.last_heard == time_point{};
    });
    table.loaded = true;
    note_known(table);
}

bool merge_status(peer_table& table, const gateway_status_message& status, const peer_pacing& pacing,
                  time_point now) {
    const auto found = table.peers.find(status.vm);
    if (found == table.peers.end() && table.peers.size() >= max_peers) {
        return false;
    }
    auto& known = table.peers[status.vm];
    const bool silent =
        known.last_heard == time_point{} || now - known.last_heard > silence_limit(table, pacing);
    if (!silent && !is_newer(status, known.status)) {
        return false;
    }
    known.status = status;
    known.last_heard = now;
    note_known(table);
    return true;
}

duration status_interval(const peer_table& table, const peer_pacing& pacing) {
    const auto stretched =
        std::chrono::seconds(1) * static_cast<std::int64_t>(table.peers.size()) / pacing.sends_per_second;
    return std::max(pacing.interval, duration(stretched));
}

bool is_reachable(const peer_table& table, const peer& it, const peer_pacing& pacing, time_point now) {
    return it.last_heard != time_point{} && now - it.last_heard <= silence_limit(table, pacing);
}

bool is_serving(const peer_table& table, const peer& it, const peer_pacing& pacing, time_point now) {
    return it.status.state == member_state::live && it.status.routing_version != 0 &&
           is_reachable(table, it, pacing, now);
}

std::vector<socket_address> due_peers(peer_table& table, const peer_pacing& pacing, time_point now) {
    const auto interval = status_interval(table, pacing);
    std::vector<peer*> due;
    for (auto& it : table.peers) {
        if (now - it.second.last_sent >= interval) {
            due.push_back(&it.second);
        }
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const peer* left, const peer* right) { return left->last_sent < right->last_sent; });
    std::vector<socket_address> addresses;
    for (auto* it : due) {
        it->last_sent = now;
        addresses.emplace_back(it->status.peer_address);
    }
    return addresses;
}

std::uint32_t serving_vms(const peer_table& table, const peer_pacing& pacing, time_point now) {
    std::uint32_t n = 1;
    for (const auto& it : table.peers) {
        n += is_serving(table, it.second, pacing, now) ? 1 : 0;
    }
    return n;
}

std::vector<std::string> caller_addresses(const peer_table& table, const own_address& own,
                                          const failure_domain& asked, std::size_t enough,
                                          const peer_pacing& pacing, time_point now, random_source& random) {
    std::vector<std::string> near;
    std::vector<std::string> far;
    if (own.serving) {
        (own.failure_domain == asked ? near : far).push_back(own.caller_address);
    }
    for (const auto& it : table.peers) {
        if (is_serving(table, it.second, pacing, now)) {
            const bool same = it.second.status.failure_domain == asked;
            (same ? near : far).push_back(it.second.status.caller_address);
        }
    }
    shuffle(near, random);
    shuffle(far, random);
    while (near.size() < enough && !far.empty()) {
        near.push_back(std::move(far.back()));
        far.pop_back();
    }
    near.resize(std::min(near.size(), max_answer_addresses));
    return near;
}

} // namespace endivelever
