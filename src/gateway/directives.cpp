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

} // namespace

void apply_directives(gateway_board& board, server_view& view, const response_metadata& facts,
                      directive_source source) {
    if (facts.invalid_directive) {
        count(board, "server_directives_invalid_total");
        return;
    }
    if (!facts.directives.fleet_limit && !view.allowance.fleet_limit) {
        return;
    }
    const auto now = boot_clock::now();
    const auto position = position_for(view.listed.id, board.conf.vm, other_vms(board, now));
    const bool changed =
        apply_directives(view.allowance, facts.directives, source, position, random_unit(board.random), now);
    if (changed) {
        write_event(board.log, "server_limit",
                    {{"server", view.listed.id.text},
                     {"limited", view.allowance.fleet_limit.has_value()},
                     {"requests_per_second", view.allowance.fleet_limit.value_or(0.0)},
                     {"own_share", view.allowance.rate},
                     {"position", static_cast<std::int64_t>(position.position)},
                     {"source", source == directive_source::probe ? "probe" : "response"}});
    }
}

} // namespace endivelever
