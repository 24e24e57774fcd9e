#include "endivelever/gateway/controllers.hpp"
#include "endivelever/net/datagram_socket.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

// Fallback addresses for callers whose own failure domain has no serving VM.
constexpr std::size_t max_other_addresses = 6;

bool in_own_domain(const gateway_board& board, const peer& it) {
    return it.record.failure_domain == board.conf.failure_domain;
}

std::set<failure_domain> known_failure_domains(const peer_table& table) {
    std::set<failure_domain> domains{table.own.failure_domain};
    for (const auto& it : table.peers) {
        domains.insert(it.second.record.failure_domain);
    }
    return domains;
}

/// @return the latest status of a head of each other failure domain
std::vector<const gateway_status_message*> latest_domain_statuses(const gateway_board& board,
                                                                  time_point now) {
    std::map<failure_domain, const gateway_status_message*> latest;
    for (const auto& it : board.peers.peers) {
        const auto& status = it.second.status;
        const bool recent = now - it.second.last_heard <= 2 * cross_domain_status_interval + peer_timeout;
        if (!in_own_domain(board, it.second) && status.is_head && recent) {
            auto& known = latest[it.second.record.failure_domain];
            known = known == nullptr || status.sequence > known->sequence ? &status : known;
        }
    }
    std::vector<const gateway_status_message*> found;
    found.reserve(latest.size());
    for (const auto& it : latest) {
        found.push_back(it.second);
    }
    return found;
}

/// Updates the addresses and the fleet size that this VM reports as a head.
void update_fleet_view(gateway_board& board, time_point now) {
    auto& table = board.peers;
    table.domain_addresses = heard_addresses(table, is_ready(board), now);
    table.other_addresses.clear();
    table.fleet_size = static_cast<std::uint32_t>(table.domain_addresses.size());
    for (const auto* it : latest_domain_statuses(board, now)) {
        table.fleet_size += static_cast<std::uint32_t>(it->domain_addresses.size());
        for (const auto& address : it->domain_addresses) {
            if (table.other_addresses.size() < max_other_addresses) {
                table.other_addresses.push_back(address);
            }
        }
    }
}

known_versions own_versions(const gateway_board& board) {
    return {board.routes == nullptr ? 0 : board.routes->config.version.value, board.servers_revision,
            board.evacuations.revision};
}

std::uint32_t knowledge_age_ms(const gateway_board& board) {
    const auto age = std::max(duration::zero(), boot_clock::now() - state_confirmed_at(board));
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint32_t>(std::min<std::int64_t>(ms, std::numeric_limits<std::uint32_t>::max()));
}

/// Statuses of VMs that were heard lately, so that they can tell when the status of this VM was created.
std::vector<status_echo> make_echoes(const gateway_board& board, time_point now) {
    std::vector<status_echo> echoes;
    for (const auto& it : board.peers.peers) {
        if (it.second.last_heard != time_point{} && now - it.second.last_heard <= peer_timeout) {
            echoes.push_back({hash_of(it.first), it.second.status.life, it.second.status.sequence});
        }
    }
    return echoes;
}

void update_currency(gateway_board& board) {
    if (board.routing_reflector != nullptr) {
        note_current_read(board.currency, board.routing_reflector->read_current_at());
    }
}

gateway_status_message own_status(gateway_board& board) {
    gateway_status_message status;
    status.vm = board.conf.vm;
    status.life = board.own_incarnation;
    status.sequence = ++board.status_sequence;
    status.state = board.stop ? member_state::leaving : member_state::live;
    status.failure_domain = board.conf.failure_domain;
    status.caller_address = board.conf.caller_address.text;
    status.peer_address = board.conf.peer_address.text;
    status.relay_address = board.conf.relay_address.text;
    status.routing_version = is_ready(board) ? board.routes->config.version.value : 0;
    status.store_era = board.store_access.era;
    status.servers_revision = board.servers_revision;
    status.evacuations_revision = board.evacuations.revision;
    status.evacuated_domains.assign(board.evacuations.domains.begin(), board.evacuations.domains.end());
    status.capacity = board.peers.own.capacity;
    status.knowledge_age_ms = knowledge_age_ms(board);
    status.is_head = board.duties.is_head;
    if (board.conf.revocation_limit > duration::zero()) {
        const auto now = boot_clock::now();
        update_currency(board);
        note_status_sent(board.currency, status.sequence, now);
        status.proof_age_ms = proof_age_ms(board.currency, now);
        if (status.is_head) {
            status.echoes = make_echoes(board, now);
        }
    }
    if (status.is_head) {
        status.store_answers = board.duties.watches && !board.registry.store_unavailable;
        status.store_heard =
            status.store_answers || head_reaches_store(board.peers, board.duties.watches, boot_clock::now());
        status.fleet_size = board.peers.fleet_size;
        status.domain_addresses = board.peers.domain_addresses;
        status.other_addresses = board.peers.other_addresses;
        status.quota_leases = known_quota_leases(board);
    }
    return status;
}

/// VMs that receive the status of this one. A head sends it to all VMs of its failure domain and to the heads
/// of the other domains; other VMs send it to the heads of their domain.
std::set<vm_id> status_receivers(gateway_board& board, time_point now) {
    if (!board.duties.is_head) {
        const auto heads = find_heads(board.peers, board.conf.failure_domain, now);
        std::set<vm_id> ids(heads.begin(), heads.end());
        ids.erase(board.conf.vm);
        return ids;
    }
    std::set<vm_id> ids;
    for (const auto& domain : known_failure_domains(board.peers)) {
        if (domain == board.conf.failure_domain) {
            for (const auto& it : board.peers.peers) {
                if (in_own_domain(board, it.second)) {
                    ids.insert(it.first);
                }
            }
            continue;
        }
        for (const auto& head : find_heads(board.peers, domain, now)) {
            ids.insert(head);
        }
    }
    ids.erase(board.conf.vm);
    return ids;
}

/// @return since when none of the heads that this VM hears can reach the store; default-constructed if one
/// can or if no head is heard
time_point update_store_unreachable_since(gateway_board& board, time_point now) {
    const auto& table = board.peers;
    const bool hears_heads = table.is_head || now - table.head_heard_at <= peer_timeout;
    if (!hears_heads || head_reaches_store(table, board.duties.watches, now)) {
        board.store_unreachable_since = {};
    } else if (board.store_unreachable_since == time_point{}) {
        board.store_unreachable_since = now;
    }
    return board.store_unreachable_since;
}

/// A VM that begins to read the store knows of an outage only what heads reported. One that other VMs have
/// met only for a moment is a partition of theirs, not an outage.
void adopt_store_state(gateway_board& board, const peer_duties& before, time_point now) {
    if (before.watches && !board.duties.watches) {
        forget_store_state(board.registry);
    }
    const bool takes_over = !before.watches && board.duties.reason == watch_reason::store_unreachable;
    if (takes_over && now - board.store_unreachable_since >= shortest_expiring_outage) {
        note_store_failure(board.registry, board.store_unreachable_since);
    }
}

/// Sends this head's status at once to a VM of the same failure domain that has no configuration yet, so that
/// it can fetch the state without waiting for the next regular datagram.
void send_status_to_restarted(gateway_board& board, const gateway_status_message& status) {
    const bool lacks_state = status.state == member_state::live && status.routing_version == 0;
    if (board.duties.is_head && is_ready(board) && lacks_state &&
        status.failure_domain == board.conf.failure_domain) {
        board.peer_socket->send(socket_address(status.peer_address), encode(own_status(board)));
    }
}

} // namespace

time_point state_confirmed_at(const gateway_board& board) {
    if (board.routing_reflector == nullptr) {
        return board.peers.confirmed_at;
    }
    auto read_at = std::min(board.routing_reflector->confirmed_at(), board.server_reflector->confirmed_at());
    if (board.evacuation_reflector != nullptr) {
        read_at = std::min(read_at, board.evacuation_reflector->confirmed_at());
    }
    return std::max(board.peers.confirmed_at, read_at);
}

void update_duties(gateway_board& board, time_point now) {
    const auto before = board.duties;
    update_confirmations(board.peers, own_versions(board));
    board.duties = find_duties(board.peers, before.watches, update_store_unreachable_since(board, now), now);
    adopt_store_state(board, before, now);
    if (before.watches != board.duties.watches) {
        const auto reason = board.duties.watches ? board.duties.reason : before.reason;
        write_event(board.log, board.duties.watches ? "watch_taken_over" : "watch_handed_over",
                    {{"reason", to_string(reason)},
                     {"confirmed_ms_ago", to_milliseconds(now - state_confirmed_at(board))},
                     {"servers_revision", static_cast<std::int64_t>(board.servers_revision.value)}});
    }
    if (board.duties.is_head) {
        update_fleet_view(board, now);
    }
}

void send_status(gateway_board& board, bool at_once) {
    const auto now = boot_clock::now();
    update_duties(board, now);
    std::string payload;
    for (const auto& id : status_receivers(board, now)) {
        auto& it = board.peers.peers.at(id);
        const auto interval = in_own_domain(board, it) ? status_interval : cross_domain_status_interval;
        if (!at_once && now - it.last_sent < interval) {
            continue;
        }
        if (payload.empty()) {
            payload = encode(own_status(board));
        }
        it.last_sent = now;
        board.peer_socket->send(socket_address(it.record.peer_address), payload);
    }
}

void send_status_to_other_domains(gateway_board& board) {
    if (!board.duties.is_head) {
        return;
    }
    const auto now = boot_clock::now();
    const auto payload = encode(own_status(board));
    for (const auto& id : status_receivers(board, now)) {
        auto& it = board.peers.peers.at(id);
        if (!in_own_domain(board, it)) {
            it.last_sent = now;
            board.peer_socket->send(socket_address(it.record.peer_address), payload);
        }
    }
}

void receive_datagram(gateway_board& board, std::span<const std::uint8_t> payload) {
    const auto decoded = decode(payload);
    if (!decoded) {
        count(board, "peer_datagrams_rejected_total");
    } else if (const auto* request = std::get_if<quota_request_message>(&*decoded)) {
        receive_quota_request(board, *request);
    } else if (const auto* grant = std::get_if<quota_grant_message>(&*decoded)) {
        receive_quota_grant(board, *grant);
    } else {
        receive_status(board, std::get_if<gateway_status_message>(&*decoded));
    }
}

void receive_status(gateway_board& board, const gateway_status_message* status) {
    if (status == nullptr || status->vm == board.conf.vm) {
        count(board, "peer_datagrams_rejected_total");
        return;
    }
    const auto now = boot_clock::now();
    if (!merge_status(board.peers, *status, now)) {
        return;
    }
    note_era(board.store_access, status->store_era);
    apply_evacuations(board, {status->evacuated_domains.begin(), status->evacuated_domains.end()},
                      status->evacuations_revision, status->vm.text);
    update_confirmations(board.peers, board.peers.peers.at(status->vm), own_versions(board));
    apply_peer_proof(board.currency, *status, hash_of(board.conf.vm), board.own_incarnation,
                     own_versions(board).routing_version);
    apply_known_quota_leases(board, *status, now);
    const bool is_own_head = status->is_head && status->failure_domain == board.conf.failure_domain;
    if (is_own_head) {
        if (board.duties.is_head) {
            board.peers.head_heard_at = now;
        } else {
            apply_head_status(board.peers, *status, now);
        }
    }
    pull_if_newer(board, *status);
    send_status_to_restarted(board, *status);
}

} // namespace endivelever
