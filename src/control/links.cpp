#include "endivelever/control/links.hpp"

#include "endivelever/base/log.hpp"
#include "endivelever/control/exchange.hpp"

#include <algorithm>
#include <unistd.h>

namespace endivelever {
namespace detail {

constexpr std::size_t max_connections = 128;

// The VM with the lower id dials at once. The other one waits, so that two VMs rarely dial each other at the
// same time, and dials all the same in case the first does not know of it.
constexpr auto second_dial_delay = std::chrono::seconds(1);

frame_link::handlers link_handlers(control& it, connection& link) {
    frame_link::handlers handlers;
    handlers.on_ready = [&it, &link] { link.link->send(own_hello(it.board)); };
    handlers.on_message = [&it, &link](const message& value) {
        if (!link.closed && !recover_from_pause(it, boot_clock::now())) {
            handle_message(it, link, value);
        }
    };
    handlers.on_closed = [&link](const std::string& reason) {
        link.closed = true;
        LOG(DEBUG) << "[control] link closed: " << reason;
    };
    return handlers;
}

void dial(control& it, const socket_address& address, dial_state& state, time_point now) {
    state.next = now + next_delay(state.delay, it.board.random);
    auto& link = *it.board.connections.emplace_back(std::make_unique<connection>());
    link.dialed = address;
    link.link = frame_link::connect(it.loop, address, it.board.config.cluster_key, link_handlers(it, link),
                                    it.board.links);
}

bool has_link(const control_board& board, const vm_id& vm, const socket_address& address) {
    return std::any_of(board.connections.begin(), board.connections.end(), [&](const auto& link) {
        if (link->closed) {
            return false;
        }
        const bool same_member = is_linked_control(*link) && !vm.empty() && link->peer->vm == vm;
        const bool same_address = is_linked_control(*link) && link->peer->feed_address == address.text;
        return same_member || same_address || link->dialed == address;
    });
}

void dial_if_due(control& it, const vm_id& vm, const socket_address& address, time_point now) {
    auto& board = it.board;
    if (address.empty() || address == board.config.feed_address || has_link(board, vm, address)) {
        return;
    }
    const auto [state, is_new] = board.dials.try_emplace(address);
    if (is_new) {
        const bool first = vm.empty() || board.config.vm < vm;
        state->second.next = first ? now : now + with_jitter(second_dial_delay, board.random);
    }
    if (now >= state->second.next && board.connections.size() < max_connections) {
        dial(it, address, state->second, now);
    }
}

void forget_dials(control_board& board, const std::vector<member_record>& targets) {
    std::erase_if(board.dials, [&](const auto& dialed) {
        const auto& seeds = board.config.seeds;
        const bool seed = std::find(seeds.begin(), seeds.end(), dialed.first) != seeds.end();
        return !seed && std::none_of(targets.begin(), targets.end(), [&dialed](const member_record& record) {
            return record.feed_address == dialed.first.text;
        });
    });
}

} // namespace detail

bool is_linked_control(const connection& link) {
    return !link.closed && link.peer && link.peer->role == process_role::control;
}

bool is_linked_entry(const connection& link) {
    return !link.closed && link.peer && link.peer->role == process_role::entry;
}

void close_link(connection& link) {
    link.closed = true;
    if (link.link) {
        link.link->close();
    }
}

void accept_link(control& it, int fd) {
    if (it.board.connections.size() >= detail::max_connections) {
        ++counter(it.board.counters, "links_refused_total");
        ::close(fd);
        return;
    }
    auto& link = *it.board.connections.emplace_back(std::make_unique<connection>());
    link.link = frame_link::accept(it.loop, fd, it.board.config.cluster_key, detail::link_handlers(it, link),
                                   it.board.links);
}

void maintain_links(control& it, time_point now) {
    std::erase_if(it.board.connections, [](const auto& link) { return link->closed; });
    const auto targets = link_targets(it.board.members, now);
    detail::forget_dials(it.board, targets);
    for (const auto& record : targets) {
        detail::dial_if_due(it, record.vm, socket_address(record.feed_address), now);
    }
    for (const auto& seed : it.board.config.seeds) {
        detail::dial_if_due(it, {}, seed, now);
    }
}

void send_to_controls(control& it, const message& value) {
    for (auto& link : it.board.connections) {
        if (is_linked_control(*link)) {
            link->link->send(value);
        }
    }
}

void reset_links(control& it) {
    for (auto& link : it.board.connections) {
        close_link(*link);
    }
}

} // namespace endivelever
