#include "endivelever/decide/observe.hpp"
#include "endivelever/gateway/controllers.hpp"
#include "endivelever/net/datagram_socket.hpp"

#include <algorithm>
#include <xxhash.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

// Keeps a status within one packet of 1,500 bytes.
constexpr std::size_t max_loads_per_status = 80;
// A report this old says nothing about the present load.
constexpr duration max_report_age = 1s;

std::uint16_t bounded(double value) {
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, 65'535.0));
}

std::uint32_t key_of(const server_id& id) {
    return static_cast<std::uint32_t>(XXH3_64bits(id.text.data(), id.text.size()));
}

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

void apply_load(gateway_board& board, const server_load& load, time_point now) {
    const auto age = std::chrono::milliseconds(load.age_ms);
    if (age > max_report_age) {
        return;
    }
    for (auto& service : board.services) {
        auto& pool = service.second.pool;
        for (auto& view : pool.servers) {
            if (key_of(view.listed.id) != load.server_key || view.reported_at >= now - age) {
                continue;
            }
            load_report report;
            report.running = load.running;
            report.queued = load.queued;
            report.slowdown = load.slowdown_percent / 100.0;
            note_report(view, report, now - age);
            return;
        }
    }
}

} // namespace

void note_load(gateway_board& board, const server_view& view, const load_report& report) {
    server_load load;
    load.server_key = key_of(view.listed.id);
    load.running = bounded(report.running);
    load.queued = bounded(report.queued);
    load.slowdown_percent = bounded(report.slowdown * 100.0);
    board.fresh_loads[load.server_key] = {load, boot_clock::now()};
}

void send_status(gateway_board& board) {
    const auto now = boot_clock::now();
    const auto due = due_peers(board.peers, board.pacing, now);
    if (due.empty()) {
        return;
    }
    auto status = own_status(board);
    const auto interval = status_interval(board.peers, board.pacing);
    for (const auto& it : board.fresh_loads) {
        const auto age = now - it.second.at;
        if (age <= interval && status.loads.size() < max_loads_per_status) {
            auto load = it.second.load;
            load.age_ms = bounded(to_milliseconds(age));
            status.loads.push_back(load);
        }
    }
    std::erase_if(board.fresh_loads, [&](const auto& it) { return now - it.second.at > interval; });
    const auto payload = encode(status);
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
    for (const auto& it : status->loads) {
        apply_load(board, it, now);
    }
}

} // namespace endivelever
