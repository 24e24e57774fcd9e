#include "endivelever/decide/peer_table.hpp"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_answer_addresses = 64;
constexpr std::size_t max_peers = 16'384;
// A rank holds the capacity above so many bits of the hash.
constexpr unsigned hash_bits = 48;
constexpr std::uint32_t max_capacity = 0xffff;
// A head that was silent is tried again after this time; a restart takes about as long.
constexpr duration dead_time = 3s;
// Without any status of a head for this long a VM takes itself as cut off and reads the store itself.
constexpr duration isolation_limit = 1500ms;
// Two status datagrams of a head in another domain may be lost.
constexpr duration store_silence_limit = 2 * domain_interval + 250ms;
// One more VM for each of these spans calls the store while no head has access to it.
constexpr duration takeover_step = 400ms;

bool was_heard(const peer& it, time_point now) {
    return it.last_heard != time_point{} && now - it.last_heard <= silence_limit;
}

bool is_newer(const gateway_status_message& status, const gateway_status_message& known) {
    return status.life > known.life || (status.life == known.life && status.sequence > known.sequence);
}

/// Decides whether a peer can be counted on as a head; one that was never heard gets a chance.
bool is_usable_head(peer& it, time_point now) {
    if (was_heard(it, now) && it.status.state == member_state::live) {
        it.tried_since = {};
        return true;
    }
    if (now < it.dead_until) {
        return false;
    }
    if (it.tried_since == time_point{}) {
        it.tried_since = now;
    }
    if (now - it.tried_since <= silence_limit) {
        return true;
    }
    it.tried_since = {};
    it.dead_until = now + dead_time;
    return false;
}

template <typename T>
void shuffle(std::vector<T>& items, random_source& random) {
    for (std::size_t i = items.size(); i > 1; --i) {
        std::swap(items[i - 1], items[random_below(random, static_cast<std::uint32_t>(i))]);
    }
}

struct ranked_vm {
    std::uint64_t rank = 0;
    vm_id vm;
};

void sort_by_rank(std::vector<ranked_vm>& vms) {
    std::sort(vms.begin(), vms.end(),
              [](const ranked_vm& left, const ranked_vm& right) { return left.rank > right.rank; });
}

std::uint64_t known_rank(const peer_table& table, const vm_id& vm) {
    return vm == table.own.vm ? rank_of(vm, table.own.capacity) : table.peers.at(vm).rank;
}

/// VMs of a domain by rank, this one included.
std::vector<ranked_vm> ranked(const peer_table& table, const failure_domain& domain) {
    std::vector<ranked_vm> found;
    for (const auto& it : table.peers) {
        if (it.second.record.failure_domain == domain) {
            found.push_back({it.second.rank, it.first});
        }
    }
    if (table.own.failure_domain == domain) {
        found.push_back({rank_of(table.own.vm, table.own.capacity), table.own.vm});
    }
    sort_by_rank(found);
    return found;
}

} // namespace

std::uint64_t hash_of(const vm_id& vm) {
    return XXH3_64bits(vm.text.data(), vm.text.size());
}

std::uint64_t rank_of(const vm_id& vm, std::uint32_t capacity) {
    const std::uint64_t weight = std::min(capacity, max_capacity);
    return (weight << hash_bits) | (hash_of(vm) >> (64U - hash_bits));
}

void apply_registered(peer_table& table, const std::vector<registered_vm>& listed) {
    std::set<vm_id> named;
    for (const auto& it : listed) {
        if (it.vm == table.own.vm || named.size() >= max_peers) {
            continue;
        }
        named.insert(it.vm);
        auto& known = table.peers[it.vm];
        if (known.last_heard == time_point{}) {
            known.record = it;
            known.rank = rank_of(it.vm, it.capacity);
        }
    }
    std::erase_if(table.peers, [&named](const auto& it) {
        return !named.contains(it.first) && it.second.last_heard == time_point{};
    });
    table.loaded = true;
}

bool merge_status(peer_table& table, const gateway_status_message& status, time_point now) {
    if (!table.peers.contains(status.vm) && table.peers.size() >= max_peers) {
        return false;
    }
    auto& known = table.peers[status.vm];
    if (was_heard(known, now) && !is_newer(status, known.status)) {
        return false;
    }
    known.rank = rank_of(status.vm, status.capacity);
    known.record = {status.vm, status.failure_domain, status.peer_address, status.capacity};
    known.status = status;
    known.last_heard = now;
    known.dead_until = {};
    const bool own_domain = status.failure_domain == table.own.failure_domain;
    const bool tells_of_store = status.store_answers || (own_domain && !table.is_head && status.store_heard);
    if (status.is_head && tells_of_store && status.state == member_state::live) {
        table.reach_store[status.vm] = now;
    } else {
        table.reach_store.erase(status.vm);
    }
    if (own_domain && !status.is_head) {
        table.asked_as_head = now;
    }
    return true;
}

std::vector<vm_id> find_heads(peer_table& table, const failure_domain& domain, time_point now) {
    std::vector<vm_id> heads;
    for (const auto& it : ranked(table, domain)) {
        if (heads.size() < heads_per_domain &&
            (it.vm == table.own.vm || is_usable_head(table.peers.at(it.vm), now))) {
            heads.push_back(it.vm);
        }
    }
    return heads;
}

std::vector<vm_id> find_watchers(peer_table& table, time_point now) {
    std::set<failure_domain> domains{table.own.failure_domain};
    for (const auto& it : table.peers) {
        domains.insert(it.second.record.failure_domain);
    }
    std::vector<ranked_vm> heads;
    for (const auto& domain : domains) {
        for (auto& it : find_heads(table, domain, now)) {
            heads.push_back({known_rank(table, it), std::move(it)});
        }
    }
    sort_by_rank(heads);
    std::vector<vm_id> watchers;
    for (std::size_t i = 0; i < std::min(watchers_per_fleet, heads.size()); ++i) {
        watchers.push_back(std::move(heads[i].vm));
    }
    return watchers;
}

bool hears_of_store(const peer_table& table, bool watches, time_point now) {
    if (now - table.started <= store_silence_limit) {
        return true;
    }
    const auto own_rank = known_rank(table, table.own.vm);
    return std::any_of(table.reach_store.begin(), table.reach_store.end(), [&](const auto& it) {
        return now - it.second <= store_silence_limit && (!watches || known_rank(table, it.first) > own_rank);
    });
}

peer_duties find_duties(peer_table& table, time_point store_bad_since, time_point now) {
    const auto is_own = [&table](const vm_id& it) { return it == table.own.vm; };
    const auto heads = find_heads(table, table.own.failure_domain, now);
    const bool is_head = table.loaded && std::any_of(heads.begin(), heads.end(), is_own);
    const auto since = std::max(table.started, table.head_heard_at);
    const bool isolated = !is_head && now - since > isolation_limit;
    bool takes_over = false;
    if (store_bad_since != time_point{}) {
        const auto order = ranked(table, table.own.failure_domain);
        const auto position =
            std::find_if(order.begin(), order.end(), [&](const ranked_vm& it) { return is_own(it.vm); }) -
            order.begin();
        takes_over = now - store_bad_since >= position * takeover_step;
    }
    bool watches = isolated || takes_over;
    if (is_head && !watches) {
        const auto watchers = find_watchers(table, now);
        watches = std::any_of(watchers.begin(), watchers.end(), is_own);
    }
    table.is_head = is_head;
    const bool is_asked = table.asked_as_head != time_point{} && now - table.asked_as_head <= silence_limit;
    return {is_head || watches || is_asked, watches};
}

bool is_serving(const peer& it, time_point now) {
    return was_heard(it, now) && it.status.state == member_state::live && it.status.routing_version != 0;
}

std::vector<std::string> heard_addresses(const peer_table& table, const std::string& own_caller_address,
                                         bool own_serves, time_point now) {
    std::vector<std::string> addresses;
    if (own_serves) {
        addresses.push_back(own_caller_address);
    }
    for (const auto& it : table.peers) {
        if (it.second.record.failure_domain == table.own.failure_domain && is_serving(it.second, now)) {
            addresses.push_back(it.second.status.caller_address);
        }
    }
    return addresses;
}

void apply_head_status(peer_table& table, const gateway_status_message& status, time_point now) {
    table.head_heard_at = now;
    table.domain_addresses = status.domain_addresses;
    table.other_addresses = status.other_addresses;
    table.fleet_size = std::max(1U, status.fleet_size);
}

std::vector<std::string> caller_addresses(std::vector<std::string> near, std::vector<std::string> far,
                                          std::size_t enough, random_source& random) {
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
