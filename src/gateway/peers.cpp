#include "endivelever/gateway/controllers.hpp"
#include "endivelever/net/datagram_socket.hpp"

namespace endivelever {
namespace {

gateway_status_message own_status(gateway_board& board) {
    gateway_status_message status;
    status.vm = board.conf.vm;
    status.life = board.life;
    status.sequence = ++board.status_sequence;
    status.state = board.stopping ? member_state::leaving : member_state::live;
    status.failure_domain = board.conf.failure_domain;
    status.caller_address = board.conf.caller_address.text;
    status.peer_address = board.conf.peer_address.text;
    status.routing_version = is_ready(board) ? board.routes->config.version.value : 0;
    status.routing_revision = board.routing_revision.value;
    status.servers_revision = board.servers_revision.value;
    return status;
}

} // namespace

void send_status(gateway_board& board) {
    const auto now = boot_clock::now();
    const auto due = due_peers(board.peers, board.pacing, now);
    if (due.empty()) {
        return;
    }
    const auto payload = encode(own_status(board));
    for (const auto& it : due) {
        board.peer_socket->send(it, payload);
    }
}

void receive_status(gateway_board& board, std::span<const std::uint8_t> payload) {
    const auto decoded = decode(payload);
    const auto* status = decoded ? std::get_if<gateway_status_message>(&*decoded) : nullptr;
    if (status == nullptr || status->vm == board.conf.vm) {
        count(board, "peer_datagrams_rejected_total");
        return;
    }
    const auto now = boot_clock::now();
    const auto known = board.peers.peers.find(status->vm);
    const bool was_serving =
        known != board.peers.peers.end() && is_serving(board.peers, known->second, board.pacing, now);
    if (!merge_status(board.peers, *status, board.pacing, now)) {
        return;
    }
    const bool serves = is_serving(board.peers, board.peers.peers[status->vm], board.pacing, now);
    if (serves != was_serving) {
        write_event(board.log, serves ? "peer_serving" : "peer_leaving", {{"peer", status->vm.text}});
    }
}

} // namespace endivelever
