#include "endivelever/gateway/controllers.hpp"

namespace endivelever {
namespace {

/// VMs that may send requests too, as far as this VM knows.
std::vector<vm_id> other_vms(const gateway_board& board, time_point now) {
    std::vector<vm_id> vms;
    vms.reserve(board.peers.peers.size());
    for (const auto& it : board.peers.peers) {
        const auto heard = it.second.last_heard;
        if (heard == time_point{} || now - heard <= peer_timeout) {
            vms.push_back(it.first);
        }
    }
    return vms;
}

void log_limit(gateway_board& board, const server_view& view, const fleet_position& position,
               directive_source source) {
    write_event(board.log, "server_limit",
                {{"server", view.listed.id.text},
                 {"limited", view.allowance.fleet_limit.has_value()},
                 {"requests_per_second", view.allowance.fleet_limit.value_or(0.0)},
                 {"own_share", view.allowance.rate},
                 {"position", static_cast<std::int64_t>(position.position)},
                 {"source", source == directive_source::probe ? "probe" : "response"}});
}

/// Stops the use of a server that says it leaves, at once and for as long as this incarnation lives.
void apply_leaving(gateway_board& board, server_view& view) {
    // The registry confirms this bit with each update of the pool; load reports reset their own.
    view.drain_sources |= static_cast<std::uint8_t>(drain_source::vm_list);
    if (note_leaving(board.registry, view.listed.id, {view.listed.address, view.listed.start_ms})) {
        write_event(board.log, "server_leaving", {{"server", view.listed.id.text}});
    }
}

/// Takes a server out of use at whose address another instance answers.
void apply_replaced(gateway_board& board, server_view& view, const server_id& answered_by,
                    directive_source source) {
    view.drain_sources |= static_cast<std::uint8_t>(drain_source::vm_list);
    if (note_replaced(board.registry, view.listed.id, {view.listed.address, view.listed.start_ms})) {
        count(board, "servers_replaced_total");
        write_event(board.log, "server_replaced",
                    {{"server", view.listed.id.text},
                     {"address", view.listed.address.text},
                     {"answered_by", answered_by.text},
                     {"source", source == directive_source::probe ? "probe" : "response"}});
        // The answer may have been false; the server's own answer shows that it is there.
        confirm_server(board, view);
    }
}

void apply_own_answer(gateway_board& board, server_view& view) {
    if (note_answered(board.registry, view.listed.id, {view.listed.address, view.listed.start_ms})) {
        view.drain_sources &= static_cast<std::uint8_t>(~static_cast<unsigned>(drain_source::vm_list));
        write_event(board.log, "server_confirmed", {{"server", view.listed.id.text}});
    }
}

} // namespace

bool apply_identity(gateway_board& board, server_view& view, const response_metadata& facts,
                    directive_source source) {
    if (!facts.server) {
        return true;
    }
    if (*facts.server != view.listed.id) {
        apply_replaced(board, view, *facts.server, source);
        return false;
    }
    apply_own_answer(board, view);
    return true;
}

void apply_directives(gateway_board& board, server_view& view, const response_metadata& facts,
                      directive_source source) {
    if (facts.server && *facts.server != view.listed.id) {
        return;
    }
    if (facts.invalid_directive) {
        count(board, "server_directives_invalid_total");
    }
    const auto& said = facts.directives;
    if (said.leaving) {
        apply_leaving(board, view);
    }
    const bool is_unreadable = facts.invalid_directive && !said.pause;
    if (is_unreadable || (!said.fleet_limit && !said.pause && !view.allowance.fleet_limit)) {
        return;
    }
    const auto now = boot_clock::now();
    const auto position = position_for(view.listed.id, board.conf.vm, other_vms(board, now));
    if (said.pause) {
        write_event(board.log, "server_pause",
                    {{"server", view.listed.id.text}, {"pause_ms", to_milliseconds(*said.pause)}});
    }
    if (apply_directives(view.allowance, said, source, position, random_unit(board.random), now)) {
        log_limit(board, view, position, source);
    }
}

} // namespace endivelever
