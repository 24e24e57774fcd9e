#include "endivelever/control/feed.hpp"

#include "endivelever/control/exchange.hpp"
#include "endivelever/control/links.hpp"

#include <algorithm>

namespace endivelever {
namespace detail {

// The newest entry process of this VM that has reported.
const connection* own_entry(const control_board& board) {
    const connection* found = nullptr;
    for (const auto& link : board.connections) {
        const bool own = is_linked_entry(*link) && link->report && link->peer->vm == board.config.vm;
        if (own && (found == nullptr || found->report->life < link->report->life)) {
            found = link.get();
        }
    }
    return found;
}

std::string summary_of(const std::vector<member_record>& members) {
    std::string text;
    for (const auto& record : members) {
        text += record.vm.text + ' ' + std::to_string(record.entry_life.value) + ' ' +
                std::to_string(record.generation) + ' ' + record.caller_address + '\n';
    }
    return text;
}

} // namespace detail

void update_own_record(control_board& board) {
    auto& self = board.members.self;
    const auto* entry = detail::own_entry(board);
    const bool leaving =
        board.stopping || (entry != nullptr && entry->report->state == member_state::leaving);
    self.state = leaving ? member_state::leaving : member_state::live;
    self.entry_life = entry == nullptr ? incarnation{} : entry->report->life;
    self.generation = entry == nullptr ? 0 : entry->report->generation;
    self.applied = entry == nullptr ? document_version{} : entry->report->applied;
    self.demand = entry == nullptr ? std::vector<std::uint32_t>{} : entry->report->demand;
}

duration lease_of(const control_board& board, time_point now) {
    if (!board.in_force) {
        return duration::zero();
    }
    return remaining_preset_lease(board.currency, board.config.vm, board.listed_live, now);
}

void feed_entry(control& it, connection& entry, time_point now) {
    auto& board = it.board;
    for (const auto* key : {&in_force_key, &drains_key, &vm_list_key}) {
        if (const auto found = board.documents.documents.find(*key);
            found != board.documents.documents.end()) {
            send_document(entry, found->second);
        }
    }
    entry.link->send(member_table_message{serving_members(board.members, now)});
    const auto valid = std::chrono::duration_cast<std::chrono::milliseconds>(lease_of(board, now));
    entry.link->send(lease_message{static_cast<std::uint32_t>(valid.count())});
}

void feed_entries(control& it, time_point now) {
    for (auto& link : it.board.connections) {
        if (is_linked_entry(*link)) {
            feed_entry(it, *link, now);
        }
    }
}

void send_changed_members(control& it, time_point now) {
    const auto serving = serving_members(it.board.members, now);
    auto summary = detail::summary_of(serving);
    if (summary == it.board.last_table) {
        return;
    }
    it.board.last_table = std::move(summary);
    for (auto& link : it.board.connections) {
        if (is_linked_entry(*link)) {
            link->link->send(member_table_message{serving});
        }
    }
}

} // namespace endivelever
