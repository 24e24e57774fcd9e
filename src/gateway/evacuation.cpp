#include "endivelever/decide/server_use.hpp"
#include "endivelever/gateway/controllers.hpp"

#include <algorithm>

namespace endivelever {
namespace {

void log_evacuation(gateway_board& board, const failure_domain& domain, bool evacuated,
                    std::string_view source) {
    write_event(board.log, evacuated ? "domain_evacuated" : "domain_readmitted",
                {{"domain", domain.text},
                 {"source", source},
                 {"era", static_cast<std::int64_t>(board.evacuations.revision.era.value)},
                 {"revision", static_cast<std::int64_t>(board.evacuations.revision.value)}});
}

std::vector<warm_up_member> other_members(const gateway_board& board) {
    std::vector<warm_up_member> members;
    members.reserve(board.peers.peers.size());
    for (const auto& it : board.peers.peers) {
        members.push_back({it.first, it.second.record.failure_domain});
    }
    return members;
}

/// True if this VM is one of those that use the server while it is cold. Members count whether they are heard
/// or not: which of them are heard differs from VM to VM.
bool uses_cold_server(const gateway_board& board, const server_view& view, double warm_up_rate) {
    if (!board.peers.loaded) {
        return false;
    }
    const double limit =
        warm_up_rate * board.conf.warm_up_overage.value_or(1.0) + board.conf.warm_up_tolerance;
    return is_warm_up_sender(view.listed.id, view.listed.failure_domain,
                             {board.conf.vm, board.conf.failure_domain}, other_members(board),
                             warm_up_senders(limit));
}

/// True if an entry states anew how long its server stays cold. The time alone does not tell: each start of a
/// server states the same one.
bool is_new_statement(const listed_server& before, const listed_server& it) {
    return before.address != it.address || before.start_ms != it.start_ms ||
           before.statement != it.statement || before.warm_up_left != it.warm_up_left;
}

std::set<failure_domain> evacuated_domains(const evacuation_state& state) {
    auto domains = state.domains;
    for (const auto& it : state.unconfirmed) {
        domains.insert(it.first);
    }
    return domains;
}

/// Logs and applies what has changed since `before`, and reports it to peers.
void apply_evacuation_changes(gateway_board& board, const std::set<failure_domain>& before,
                              std::string_view source) {
    const auto domains = evacuated_domains(board.evacuations);
    std::vector<failure_domain> readmitted;
    std::set_difference(before.begin(), before.end(), domains.begin(), domains.end(),
                        std::back_inserter(readmitted));
    for (const auto& it : readmitted) {
        log_evacuation(board, it, false, source);
    }
    for (const auto& it : domains) {
        if (!before.contains(it)) {
            log_evacuation(board, it, true, source);
        }
    }
    update_pools(board);
    for (auto& [id, service] : board.services) {
        for (auto& view : service.pool.servers) {
            const auto& domain = view.listed.failure_domain;
            if (std::find(readmitted.begin(), readmitted.end(), domain) != readmitted.end()) {
                // Idle servers may have become cold, and their entries may be older than that.
                assume_cold(board, service, view);
            }
        }
    }
    send_status(board, true);
}

} // namespace

bool tracks_evacuations(const gateway_board& board) {
    return board.conf.evacuation_limit > duration::zero();
}

void apply_evacuations(gateway_board& board, std::set<failure_domain> domains, object_revision revision,
                       std::string_view source) {
    auto& state = board.evacuations;
    if (!tracks_evacuations(board) || revision <= state.revision) {
        return;
    }
    const bool was_known = is_known(state);
    const auto before = evacuated_domains(state);
    if (was_known && revision.era > state.revision.era) {
        const auto until = boot_clock::now() + reregistration_time;
        for (const auto& it : state.domains) {
            state.unconfirmed[it] = until;
        }
    }
    state.revision = revision;
    state.domains = std::move(domains);
    std::erase_if(state.unconfirmed, [&state](const auto& it) { return state.domains.contains(it.first); });
    if (was_known && before == evacuated_domains(state)) {
        return;
    }
    apply_evacuation_changes(board, before, source);
}

void drop_unconfirmed_evacuations(gateway_board& board, time_point now) {
    const auto before = evacuated_domains(board.evacuations);
    if (std::erase_if(board.evacuations.unconfirmed, [now](const auto& it) { return now >= it.second; }) >
        0) {
        apply_evacuation_changes(board, before, "copy");
    }
}

bool is_evacuated(const gateway_board& board, const failure_domain& domain) {
    return board.evacuations.domains.contains(domain) || board.evacuations.unconfirmed.contains(domain);
}

void note_cold_server(gateway_board& board, const gateway_service& service, server_view& view,
                      duration left) {
    if (service.warm_up_rate <= 0.0 || !board.conf.warm_up_overage) {
        return;
    }
    const auto now = boot_clock::now();
    const bool was_cold = is_cold(view.warm_up_use, now);
    if (left <= duration::zero() && !was_cold) {
        return;
    }
    note_cold(view.warm_up_use, now + left, uses_cold_server(board, view, service.warm_up_rate), now);
    if (was_cold != is_cold(view.warm_up_use, now)) {
        write_event(board.log, was_cold ? "server_warm" : "server_cold",
                    {{"server", view.listed.id.text},
                     {"left_ms", to_milliseconds(left)},
                     {"used_by_this_vm", view.warm_up_use.is_sender}});
    }
}

void assume_cold(gateway_board& board, const gateway_service& service, server_view& view) {
    // The server may have stated a longer time.
    const auto stated = view.warm_up_use.cold_until - boot_clock::now();
    note_cold_server(board, service, view, std::max(service.warm_up, stated));
}

void update_server_uses(gateway_board& board, gateway_service& service,
                        const std::map<server_id, listed_server>& known) {
    const auto now = boot_clock::now();
    for (auto& view : service.pool.servers) {
        view.evacuated = is_evacuated(board, view.listed.failure_domain);
        const auto before = known.find(view.listed.id);
        if (before == known.end() || is_new_statement(before->second, view.listed)) {
            note_cold_server(board, service, view, view.listed.warm_up_left);
        }
        if (is_cold(view.warm_up_use, now)) {
            // The members that are known may have changed.
            view.warm_up_use.is_sender = uses_cold_server(board, view, service.warm_up_rate);
        }
    }
}

} // namespace endivelever
