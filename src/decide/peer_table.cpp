#include "endivelever/decide/peer_table.hpp"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_caller_addresses = 64;
constexpr std::size_t max_peers = 16'384;
// Low bits of a rank that hold the hash; the capacity occupies the bits above.
constexpr unsigned hash_bits = 48;
constexpr std::uint32_t max_capacity = 0xffff;
// A head that timed out is considered again after this time, which is about the duration of a restart, and
// after twice as long each further time that it sends nothing.
constexpr duration min_head_exclusion = 3s;
constexpr duration max_head_exclusion = 60s;
// Validity of a head's report that the store answers; one datagram from another domain may be lost.
constexpr duration store_report_timeout = 2 * cross_domain_status_interval + 250ms;
// While no head has access to the store, one more VM of a failure domain calls it after each such interval.
constexpr duration takeover_interval = 400ms;

std::uint64_t text_hash(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

bool is_recently_heard(const peer& it, time_point now) {
    return it.last_heard != time_point{} && now - it.last_heard <= peer_timeout;
}

bool is_newer(const gateway_status_message& status, const gateway_status_message& known) {
    return status.life > known.life || (status.life == known.life && status.sequence > known.sequence);
}

/// True if a peer may act as a head. A peer without a recent status is accepted until peer_timeout has
/// passed, then excluded for head_exclusion_time.
bool is_usable_head(peer& it, time_point now) {
    if (is_recently_heard(it, now) && it.status.state == member_state::live) {
        it.head_expected_since = {};
        it.head_exclusion = {};
        return true;
    }
    if (now < it.head_excluded_until) {
        return false;
    }
    if (it.head_expected_since == time_point{}) {
        it.head_expected_since = now;
    }
    if (now - it.head_expected_since <= peer_timeout) {
        return true;
    }
    it.head_expected_since = {};
    it.head_exclusion = std::clamp(2 * it.head_exclusion, min_head_exclusion, max_head_exclusion);
    it.head_excluded_until = now + it.head_exclusion;
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

std::uint64_t rank_in(const peer_table& table, const vm_id& vm) {
    return vm == table.own.vm ? rank_of(vm, table.own.capacity) : table.peers.at(vm).rank;
}

/// VMs of a failure domain in descending order of rank, this one included.
std::vector<ranked_vm> vms_by_rank(const peer_table& table, const failure_domain& domain) {
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

/// True if the revision that a peer names is the own one or an earlier one of the same era. A peer that knows
/// another era has not read what this VM holds, or the other way round.
bool is_covered(const object_revision& named, const object_revision& own) {
    return named.era == own.era && named <= own;
}

/// Number of VMs of the own failure domain that take over the watch of the store before this one: the heads,
/// and then the other VMs that serve callers. VMs that were removed or have failed serve nobody and delay
/// nobody.
/// @param heads  of the own failure domain
std::ptrdiff_t takeover_position(const peer_table& table, const std::vector<vm_id>& heads) {
    const auto own_head = std::find(heads.begin(), heads.end(), table.own.vm);
    if (own_head != heads.end()) {
        return own_head - heads.begin();
    }
    std::set<std::string_view> head_addresses;
    for (const auto& it : heads) {
        head_addresses.insert(table.peers.at(it).status.caller_address);
    }
    const auto own_hash = text_hash(table.own_caller_address);
    const auto earlier = std::count_if(
        table.domain_addresses.begin(), table.domain_addresses.end(),
        [&](const std::string& it) { return !head_addresses.contains(it) && text_hash(it) < own_hash; });
    return 1 + earlier;
}

} // namespace

std::uint64_t hash_of(const vm_id& vm) {
    return text_hash(vm.text);
}

std::uint64_t rank_of(const vm_id& vm, std::uint32_t capacity) {
    const std::uint64_t weight = std::min(capacity, max_capacity);
    return (weight << hash_bits) | (hash_of(vm) >> (64U - hash_bits));
}

void apply_registered(peer_table& table, const std::vector<registered_vm>& listed) {
    std::set<vm_id> listed_ids;
    for (const auto& it : listed) {
        if (it.vm == table.own.vm || listed_ids.size() >= max_peers) {
            continue;
        }
        listed_ids.insert(it.vm);
        auto& known = table.peers[it.vm];
        if (known.last_heard == time_point{}) {
            known.record = it;
            known.rank = rank_of(it.vm, it.capacity);
        }
    }
    std::erase_if(table.peers, [&listed_ids](const auto& it) {
        return !listed_ids.contains(it.first) && it.second.last_heard == time_point{};
    });
    table.loaded = true;
}

bool merge_status(peer_table& table, const gateway_status_message& status, time_point now) {
    if (!table.peers.contains(status.vm) && table.peers.size() >= max_peers) {
        return false;
    }
    auto& known = table.peers[status.vm];
    if (is_recently_heard(known, now) && !is_newer(status, known.status)) {
        return false;
    }
    known.rank = rank_of(status.vm, status.capacity);
    known.record = {status.vm, status.failure_domain, status.peer_address, status.capacity};
    known.status = status;
    known.last_heard = now;
    known.head_excluded_until = {};
    // A VM that is no head relies on its own heads for the state of the store in other domains as well.
    const bool own_domain = status.failure_domain == table.own.failure_domain;
    const bool reports_store = status.store_answers || (own_domain && !table.is_head && status.store_heard);
    if (status.is_head && reports_store && status.state == member_state::live) {
        table.heads_with_store[status.vm] = now;
    } else {
        table.heads_with_store.erase(status.vm);
    }
    if (own_domain && !status.is_head) {
        table.member_heard_at = now;
    }
    return true;
}

std::vector<vm_id> find_heads(peer_table& table, const failure_domain& domain, time_point now) {
    std::vector<vm_id> heads;
    for (const auto& it : vms_by_rank(table, domain)) {
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
            heads.push_back({rank_in(table, it), std::move(it)});
        }
    }
    sort_by_rank(heads);
    std::vector<vm_id> watchers;
    for (std::size_t i = 0; i < std::min(watchers_per_fleet, heads.size()); ++i) {
        watchers.push_back(std::move(heads[i].vm));
    }
    return watchers;
}

bool head_reaches_store(const peer_table& table, bool watches, time_point now) {
    if (now - table.started <= store_report_timeout) {
        return true;
    }
    const auto own_rank = rank_in(table, table.own.vm);
    return std::any_of(table.heads_with_store.begin(), table.heads_with_store.end(), [&](const auto& it) {
        return now - it.second <= store_report_timeout && (!watches || rank_in(table, it.first) > own_rank);
    });
}

const char* to_string(watch_reason reason) {
    switch (reason) {
    case watch_reason::rank:
        return "rank";
    case watch_reason::unconfirmed:
        return "unconfirmed";
    case watch_reason::store_unreachable:
        return "store_unreachable";
    case watch_reason::none:
        break;
    }
    return "none";
}

void update_confirmations(peer_table& table, const peer& from, const known_versions& own) {
    const auto& status = from.status;
    const bool is_known = status.state == member_state::live && status.routing_version != 0 &&
                          status.routing_version <= own.routing_version &&
                          is_covered(status.servers_revision, own.servers_revision) &&
                          is_covered(status.evacuations_revision, own.evacuations_revision);
    if (from.last_heard == time_point{} || !is_known) {
        return;
    }
    const auto at = from.last_heard - std::chrono::milliseconds(status.knowledge_age_ms);
    table.confirmed_at = std::max(table.confirmed_at, at);
    if (status.store_answers && from.rank > rank_in(table, table.own.vm)) {
        table.confirmed_by_reader_at = std::max(table.confirmed_by_reader_at, at);
    }
}

void update_confirmations(peer_table& table, const known_versions& own) {
    for (const auto& it : table.peers) {
        update_confirmations(table, it.second, own);
    }
}

peer_duties find_duties(peer_table& table, bool watches, time_point store_unreachable_since, time_point now) {
    const auto is_own = [&table](const vm_id& it) { return it == table.own.vm; };
    const auto heads = find_heads(table, table.own.failure_domain, now);
    const bool is_head = table.loaded && std::any_of(heads.begin(), heads.end(), is_own);
    const auto confirmed =
        std::max(table.started, watches ? table.confirmed_by_reader_at : table.confirmed_at);
    const bool is_unconfirmed = now - confirmed > (is_head ? head_confirmation_limit : confirmation_limit);
    const bool takes_over =
        store_unreachable_since != time_point{} &&
        (watches || now - store_unreachable_since >= takeover_position(table, heads) * takeover_interval);
    auto reason = watch_reason::none;
    if (is_head) {
        const auto watchers = find_watchers(table, now);
        const bool is_watcher = std::any_of(watchers.begin(), watchers.end(), is_own);
        reason = is_watcher ? watch_reason::rank : watch_reason::none;
    }
    if (reason == watch_reason::none && store_unreachable_since != time_point{}) {
        reason = takes_over ? watch_reason::store_unreachable : watch_reason::none;
    } else if (reason == watch_reason::none && is_unconfirmed) {
        reason = watch_reason::unconfirmed;
    }
    const bool reads_store = reason != watch_reason::none;
    table.is_head = is_head;
    // VMs of the domain that send their status here consider this VM a head and expect an answer.
    const bool is_expected_as_head =
        table.member_heard_at != time_point{} && now - table.member_heard_at <= peer_timeout;
    return {is_head || reads_store || is_expected_as_head, reads_store, reason};
}

bool is_serving(const peer& it, time_point now) {
    return is_recently_heard(it, now) && it.status.state == member_state::live &&
           it.status.routing_version != 0;
}

std::vector<std::string> heard_addresses(const peer_table& table, bool is_serving_itself, time_point now) {
    std::vector<std::string> addresses;
    if (is_serving_itself) {
        addresses.push_back(table.own_caller_address);
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

std::vector<std::string> caller_addresses(std::vector<std::string> same_domain,
                                          std::vector<std::string> other_domains, std::size_t min_count,
                                          random_source& random) {
    shuffle(same_domain, random);
    shuffle(other_domains, random);
    while (same_domain.size() < min_count && !other_domains.empty()) {
        same_domain.push_back(std::move(other_domains.back()));
        other_domains.pop_back();
    }
    same_domain.resize(std::min(same_domain.size(), max_caller_addresses));
    return same_domain;
}

} // namespace endivelever
