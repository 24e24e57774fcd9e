#include "endivelever/decide/membership.hpp"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace endivelever {
namespace detail {

bool is_newer(const member_record& incoming, const member_record& known) {
    return std::tie(incoming.life, incoming.sequence) > std::tie(known.life, known.sequence);
}

// Peers echo records of this VM. A record with a higher incarnation, or with the current incarnation and a
// sequence that was never sent, comes from another process: an earlier one if the clock was set back, or a
// second one that runs with the same id.
heartbeat_effect merge_own_record(membership& members, const member_record& record) {
    if (!is_newer(record, members.self)) {
        return heartbeat_effect::ignored;
    }
    members.self.life.value = record.life.value + 1;
    members.self.sequence = 0;
    return heartbeat_effect::own_incarnation_raised;
}

bool is_silent(const membership& members, const member_entry& member, time_point now) {
    const auto last_seen = std::max(member.last_heard, member.listed_at);
    return now - last_seen > members.limits.remove_after;
}

void update_from_listing(member_entry& member, const listed_entry& item, bool reachable) {
    if (reachable) {
        return;
    }
    member.record.vm = item.id;
    member.record.failure_domain = item.failure_domain;
    member.record.caller_address = item.caller_address.text;
    member.record.feed_address = item.feed_address.text;
    member.record.admin_address = item.admin_address.text;
}

bool is_serving(const member_record& record) {
    return record.state == member_state::live && record.entry_life.value != 0;
}

std::uint64_t watcher_hash(const failure_domain& domain, const vm_id& vm) {
    const std::string text = domain.text + '\n' + vm.text;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace detail

void merge_vm_list(membership& members, const vm_list& list, time_point now) {
    members.self_listed_leaving = false;
    for (auto& [id, member] : members.others) {
        member.listed = false;
    }
    for (const auto& item : list.entries) {
        if (item.id == members.self.vm) {
            members.self_listed_leaving = item.leaving;
            continue;
        }
        if (!members.others.contains(item.id) && members.others.size() >= members.limits.max_members) {
            continue;
        }
        auto& member = members.others[item.id];
        member.listed_at = member.listed_at == time_point{} ? now : member.listed_at;
        member.listed = true;
        member.listed_leaving = item.leaving;
        detail::update_from_listing(member, item, is_reachable(members, member, now));
    }
}

heartbeat_effect merge_heartbeat(membership& members, const member_record& record, time_point now) {
    if (record.vm == members.self.vm) {
        return detail::merge_own_record(members, record);
    }
    const auto it = members.others.find(record.vm);
    if (it == members.others.end() && members.others.size() >= members.limits.max_members) {
        return heartbeat_effect::ignored;
    }
    if (it != members.others.end() && !detail::is_newer(record, it->second.record)) {
        const bool older = detail::is_newer(it->second.record, record);
        return older ? heartbeat_effect::outdated : heartbeat_effect::ignored;
    }
    auto& member = members.others[record.vm];
    member.record = record;
    member.last_heard = now;
    return heartbeat_effect::newer;
}

std::vector<vm_id> remove_silent(membership& members, time_point now) {
    std::vector<vm_id> forgotten;
    for (auto it = members.others.begin(); it != members.others.end();) {
        if (it->second.listed || !detail::is_silent(members, it->second, now)) {
            ++it;
            continue;
        }
        forgotten.push_back(it->first);
        it = members.others.erase(it);
    }
    return forgotten;
}

bool is_reachable(const membership& members, const member_entry& member, time_point now) {
    return member.last_heard != time_point{} && now - member.last_heard <= members.limits.suspect_after;
}

std::vector<member_record> serving_members(const membership& members, time_point now) {
    std::vector<member_record> serving;
    if (detail::is_serving(members.self) && !members.self_listed_leaving) {
        serving.push_back(members.self);
    }
    for (const auto& [id, member] : members.others) {
        if (detail::is_serving(member.record) && !member.listed_leaving &&
            is_reachable(members, member, now)) {
            serving.push_back(member.record);
        }
    }
    return serving;
}

bool is_watcher(const membership& members, time_point now) {
    const auto& self = members.self;
    const auto own_hash = detail::watcher_hash(self.failure_domain, self.vm);
    return std::none_of(members.others.begin(), members.others.end(), [&](const auto& it) {
        const auto& [id, member] = it;
        if (member.record.failure_domain != self.failure_domain || !is_reachable(members, member, now)) {
            return false;
        }
        const auto hash = detail::watcher_hash(self.failure_domain, id);
        return std::tie(hash, id) > std::tie(own_hash, self.vm);
    });
}

std::vector<member_record> link_targets(const membership& members, time_point now) {
    std::vector<member_record> targets;
    for (const auto& [id, member] : members.others) {
        const bool leaving = member.listed_leaving || member.record.state == member_state::leaving;
        const bool gone = leaving && !is_reachable(members, member, now);
        if (!gone && !member.record.feed_address.empty()) {
            targets.push_back(member.record);
        }
    }
    return targets;
}

} // namespace endivelever
