#include "endivelever/control/exchange.hpp"

#include "endivelever/base/log.hpp"
#include "endivelever/control/feed.hpp"
#include "endivelever/control/links.hpp"

#include <algorithm>

namespace endivelever {
namespace detail {

// The loop turns at least every 100 ms; a longer gap means that the process or the VM was paused.
constexpr auto pause_limit = std::chrono::seconds(1);

heartbeat_message own_heartbeat(const control_board& board, time_point now) {
    const bool never = board.currency.last_store_read == time_point{};
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - board.currency.last_store_read);
    heartbeat_message beat{board.members.self, digests_of(board.documents), UINT32_MAX};
    if (!never) {
        beat.store_age_ms = static_cast<std::uint32_t>(std::min<std::int64_t>(age.count(), UINT32_MAX));
    }
    return beat;
}

document_version digest_of(const heartbeat_message& beat, const document_key& key) {
    for (const auto& digest : beat.digests) {
        if (digest.key == key) {
            return digest.version;
        }
    }
    return {};
}

// A member with a newer preset proves that the own one is no longer in force, so its heartbeat is no proof of
// currency. It gets a heartbeat at once and sends the document.
void note_currency(control& it, connection& from, const heartbeat_message& beat, time_point now) {
    if (digest_of(beat, in_force_key) > version_of(it.board.documents, in_force_key)) {
        from.link->send(own_heartbeat(it.board, now));
        return;
    }
    it.board.currency.last_heartbeats[beat.self.vm] = now;
}

void handle_heartbeat(control& it, connection& from, const heartbeat_message& beat, time_point now) {
    auto& board = it.board;
    if (beat.self.vm != from.peer->vm && beat.self.vm != board.config.vm) {
        return;
    }
    const auto effect = merge_heartbeat(board.members, beat.self, now);
    if (effect == heartbeat_effect::own_incarnation_raised) {
        LOG(WARNING) << "[control] a later life of " << board.config.vm << " was known, took the next one";
        return;
    }
    if (effect == heartbeat_effect::outdated) {
        from.link->send(heartbeat_message{board.members.others.at(beat.self.vm).record, {}, 0});
    }
    if (effect != heartbeat_effect::newer) {
        return;
    }
    note_currency(it, from, beat, now);
    for (const auto& digest : beat.digests) {
        from.known[digest.key] = digest.version;
    }
    for (const auto& document : documents_newer_than(board.documents, beat.digests)) {
        from.known[document.key] = {};
        send_document(from, document);
    }
}

// Of two links with one member, both sides keep the one that the lower id dialled. A link from a new life, or
// in the same direction, replaces the earlier one.
bool replaces(const control_board& board, const connection& later, const connection& earlier) {
    const bool same_direction = later.dialed.empty() == earlier.dialed.empty();
    if (same_direction || later.peer->life != earlier.peer->life) {
        return true;
    }
    const bool own_is_lower = board.config.vm < later.peer->vm;
    return own_is_lower != later.dialed.empty();
}

void keep_one_link(control& it, connection& later) {
    for (auto& link : it.board.connections) {
        if (link.get() == &later || !is_linked_control(*link) || link->peer->vm != later.peer->vm) {
            continue;
        }
        close_link(replaces(it.board, later, *link) ? *link : later);
    }
}

void handle_hello(control& it, connection& from, const hello_message& hello, time_point now) {
    from.peer = hello;
    if (hello.role == process_role::entry) {
        feed_entry(it, from, now);
        return;
    }
    if (hello.vm == it.board.config.vm) {
        auto& dial = it.board.dials[from.dialed];
        dial.next = now + std::chrono::minutes(1);
        close_link(from);
        return;
    }
    if (const auto dial = it.board.dials.find(from.dialed); dial != it.board.dials.end()) {
        dial->second.delay.failures = 0;
    }
    keep_one_link(it, from);
    if (!from.closed) {
        ++it.board.members.self.sequence;
        from.link->send(own_heartbeat(it.board, now));
    }
}

void handle_report(control& it, connection& from, const entry_report_message& report, time_point now) {
    from.report = report;
    if (from.peer->vm != it.board.config.vm) {
        return;
    }
    const auto before = it.board.members.self;
    update_own_record(it.board);
    send_changed_members(it, now);
    const auto& self = it.board.members.self;
    if (self.state != before.state || self.entry_life != before.entry_life) {
        // Other VMs must not name an entry that leaves, or an earlier life of it, until the next heartbeat.
        send_heartbeats(it, now);
    }
}

void take_over_in_force(control_board& board, const document_message& document) {
    auto record = parse_in_force(document.payload);
    if (!record) {
        // The newer version is in force although it cannot be read here, so the earlier one must not be used.
        LOG(ERROR) << "[control] preset in force, version " << document.version << ": "
                   << record.error().message;
        board.in_force.reset();
        return;
    }
    board.in_force = std::move(*record);
    LOG(INFO) << "[control] preset " << board.in_force->content.name << " version " << document.version
              << " is in force";
}

void take_over_vm_list(control_board& board, const document_message& document, time_point now) {
    auto list = parse_vm_list(document.payload);
    if (!list) {
        LOG(ERROR) << "[control] VM list, version " << document.version << ": " << list.error().message;
        return;
    }
    board.listed = std::move(*list);
    board.listed_live.clear();
    for (const auto& entry : board.listed.entries) {
        if (!entry.leaving) {
            board.listed_live.push_back(entry.id);
        }
    }
    merge_vm_list(board.members, board.listed, now);
}

void take_over(control_board& board, const document_message& document) {
    if (document.key == in_force_key) {
        take_over_in_force(board, document);
    } else if (document.key == vm_list_key) {
        take_over_vm_list(board, document, boot_clock::now());
    } else if (document.key == drains_key) {
        auto list = parse_drains(document.payload);
        if (!list) {
            LOG(ERROR) << "[control] drains, version " << document.version << ": " << list.error().message;
            return;
        }
        board.drains = std::move(*list);
    }
}

bool entries_need(const document_key& key) {
    return key == in_force_key || key == drains_key || key == vm_list_key;
}

} // namespace detail

hello_message own_hello(const control_board& board) {
    const auto& self = board.members.self;
    return {self.vm,           process_role::control, self.life, self.failure_domain, self.caller_address,
            self.feed_address, self.admin_address};
}

bool recover_from_pause(control& it, time_point now) {
    auto& board = it.board;
    const bool paused = board.last_turn != time_point{} && now - board.last_turn > detail::pause_limit;
    board.last_turn = now;
    if (!paused) {
        return false;
    }
    LOG(WARNING) << "[control] the process was paused, all links are renewed";
    ++counter(board.counters, "pauses_total");
    board.currency.last_heartbeats.clear();
    reset_links(it);
    return true;
}

void send_document(connection& to, const document_message& document) {
    auto& known = to.known[document.key];
    if (known < document.version) {
        known = document.version;
        to.link->send(document);
    }
}

void learn_document(control& it, const document_message& document) {
    if (!merge_document(it.board.documents, document)) {
        return;
    }
    detail::take_over(it.board, document);
    for (auto& link : it.board.connections) {
        const bool wanted =
            is_linked_control(*link) || (is_linked_entry(*link) && detail::entries_need(document.key));
        if (wanted) {
            send_document(*link, document);
        }
    }
}

void send_heartbeats(control& it, time_point now) {
    update_own_record(it.board);
    ++it.board.members.self.sequence;
    send_to_controls(it, detail::own_heartbeat(it.board, now));
    for (const auto& vm : remove_silent(it.board.members, now)) {
        it.board.currency.last_heartbeats.erase(vm);
    }
}

void handle_message(control& it, connection& from, const message& value) {
    const auto now = boot_clock::now();
    if (const auto* hello = std::get_if<hello_message>(&value)) {
        detail::handle_hello(it, from, *hello, now);
        return;
    }
    if (!from.peer) {
        close_link(from);
        return;
    }
    if (const auto* beat = std::get_if<heartbeat_message>(&value);
        beat != nullptr && is_linked_control(from)) {
        detail::handle_heartbeat(it, from, *beat, now);
    } else if (const auto* document = std::get_if<document_message>(&value);
               document != nullptr && is_linked_control(from)) {
        auto& known = from.known[document->key];
        known = std::max(known, document->version);
        learn_document(it, *document);
    } else if (const auto* report = std::get_if<entry_report_message>(&value);
               report != nullptr && is_linked_entry(from)) {
        detail::handle_report(it, from, *report, now);
    }
}

} // namespace endivelever
