#include "endivelever/base/log.hpp"
#include "endivelever/config/drains.hpp"
#include "endivelever/config/vm_list.hpp"
#include "endivelever/entry/controllers.hpp"

#include <algorithm>

namespace endivelever {
namespace {

const document_message* document(const entry_board& board, const document_key& key) {
    const auto found = board.documents.documents.find(key);
    return found == board.documents.documents.end() ? nullptr : &found->second;
}

std::uint32_t serving_slots(const server_pool& pool) {
    std::uint32_t sum = 0;
    for (const auto& it : pool.servers) {
        sum += is_draining(it) ? 0 : it.slots;
    }
    return sum;
}

/// Share of each kind of a service that this entry is offered.
std::vector<double> demand_fractions(const entry_board& board, std::size_t service) {
    std::vector<double> fractions;
    for (std::size_t i = 0; i < board.routes.size(); ++i) {
        if (board.routes[i].service != service) {
            continue;
        }
        double own = 1.0;
        double all = 1.0;
        own += board.routes[i].demand;
        all += board.routes[i].demand;
        for (const auto& it : board.members) {
            if (it.vm != board.conf.vm && it.state == member_state::live) {
                all += 1.0 + (i < it.demand.size() ? it.demand[i] : 0);
            }
        }
        fractions.push_back(own / all);
    }
    return fractions;
}

void apply_servers(entry_board& board) {
    const auto* listed = document(board, vm_list_key);
    if (listed == nullptr) {
        return;
    }
    const auto vms = parse_vm_list(listed->payload);
    if (!vms) {
        LOG(ERROR) << "[entry] VM list is not valid: " << vms.error().message;
        return;
    }
    std::vector<server_id> drained;
    if (const auto* drains = document(board, drains_key)) {
        if (const auto parsed = parse_drains(drains->payload)) {
            drained = parsed->servers;
        }
    }
    const auto now = boot_clock::now();
    for (auto& service : board.services) {
        std::vector<listed_server> own;
        std::copy_if(vms->servers.begin(), vms->servers.end(), std::back_inserter(own),
                     [&](const listed_server& it) { return it.service == service.pool.service.id; });
        update_servers(service.pool, own, drained, live_entries(board), now);
    }
}

void apply_in_force(entry_board& board, const document_message& incoming) {
    auto record = parse_in_force(incoming.payload);
    if (!record) {
        LOG(ERROR) << "[entry] preset in force is not valid: " << record.error().message;
        return;
    }
    board.in_force = std::move(*record);
    board.applied = incoming.version;
    for (auto& service : board.services) {
        apply_preset(service.admission, board.in_force->content);
    }
    LOG(INFO) << "[entry] preset \"" << board.in_force->content.name << "\" version " << incoming.version
              << " is in force";
}

void apply_all_capacity(entry_board& board) {
    for (std::size_t i = 0; i < board.services.size(); ++i) {
        auto& service = board.services[i];
        apply_capacity(service.admission, serving_slots(service.pool), live_entries(board),
                       demand_fractions(board, i));
    }
}

} // namespace

void apply_document(entry_board& board, const document_message& incoming) {
    if (!merge_document(board.documents, incoming)) {
        return;
    }
    if (incoming.key == in_force_key) {
        apply_in_force(board, incoming);
    } else if (incoming.key == vm_list_key || incoming.key == drains_key) {
        apply_servers(board);
        apply_all_capacity(board);
    }
    for (std::size_t i = 0; i < board.services.size(); ++i) {
        pump(board, i);
    }
}

void apply_members(entry_board& board, const member_table_message& table) {
    const auto before = live_entries(board);
    board.members = table.members;
    if (live_entries(board) != before) {
        apply_servers(board);
    }
    apply_all_capacity(board);
}

bool may_serve(const entry_board& board, time_point now) {
    if (!board.in_force) {
        return false;
    }
    return now < board.lease_until || board.conf.when_isolated == isolation_policy::serve;
}

void update_demand(entry_board& board, duration interval) {
    constexpr double weight = 0.5;
    for (auto& it : board.routes) {
        const double rate = static_cast<double>(it.arrived_since_report) / to_seconds(interval);
        it.demand = static_cast<std::uint32_t>(weight * rate + (1 - weight) * it.demand);
        it.arrived_since_report = 0;
    }
    apply_all_capacity(board);
}

entry_report_message make_report(const entry_board& board) {
    entry_report_message report;
    report.life = board.life;
    report.generation = board.registry.generation;
    report.applied = board.applied;
    report.state = board.stop ? member_state::leaving : member_state::live;
    report.open_calls = static_cast<std::uint32_t>(board.calls.size());
    for (const auto& it : board.routes) {
        report.demand.push_back(it.demand);
    }
    constexpr auto bit = static_cast<std::uint8_t>(drain_source::load_report);
    for (const auto& service : board.services) {
        for (const auto& it : service.pool.servers) {
            if ((it.drain_sources & bit) != 0) {
                report.draining.push_back(it.listed.id);
            }
        }
    }
    return report;
}

} // namespace endivelever
