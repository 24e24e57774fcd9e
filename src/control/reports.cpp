#include "endivelever/control/reports.hpp"

#include "endivelever/control/feed.hpp"
#include "endivelever/control/links.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace endivelever {
namespace detail {

using json = nlohmann::json;

const char* state_text(const control_board& board, const member_entry& member, time_point now) {
    if (member.record.state == member_state::leaving || member.listed_leaving) {
        return "leaving";
    }
    return is_reachable(board.members, member, now) ? "live" : "suspect";
}

json record_json(const control_board& board) {
    if (!board.in_force) {
        return nullptr;
    }
    const auto& record = *board.in_force;
    return {{"name", record.content.name.text},
            {"version", version_of(board.documents, in_force_key).value},
            {"who", record.who.text},
            {"when_us", record.when_us},
            {"operation_id", record.operation.text},
            {"replaced", record.replaced.value},
            {"pinned_by", record.pinned_by.text}};
}

json member_json(const member_record& record, const char* state) {
    return {{"vm", record.vm.text},
            {"failure_domain", record.failure_domain.text},
            {"state", state},
            {"caller_address", record.caller_address},
            {"admin_address", record.admin_address},
            {"entry_connected", record.entry_life.value != 0},
            {"preset_version", record.applied.value},
            {"demand", record.demand}};
}

json lagging_json(const rollout& state) {
    auto list = json::array();
    for (const auto& entry : state.lagging) {
        list.push_back(
            {{"vm", entry.vm.text}, {"preset_version", entry.applied.value}, {"reason", entry.reason}});
    }
    return list;
}

json store_json(const control_board& board, time_point now) {
    const bool never = board.currency.last_store_read == time_point{};
    return {{"watcher", board.watcher},
            {"age_ms", never ? json(nullptr)
                             : json(std::llround(to_milliseconds(now - board.currency.last_store_read)))}};
}

json drained_by(const control_board& board, const listed_server& server) {
    auto sources = json::array();
    if (server.leaving) {
        sources.push_back("platform");
    }
    const auto& drains = board.drains.servers;
    if (std::find(drains.begin(), drains.end(), server.id) != drains.end()) {
        sources.push_back("operator");
    }
    const bool reported =
        std::any_of(board.connections.begin(), board.connections.end(), [&](const auto& link) {
            const auto& report = link->report;
            return report && std::find(report->draining.begin(), report->draining.end(), server.id) !=
                                 report->draining.end();
        });
    if (reported) {
        sources.push_back("server");
    }
    return sources;
}

json audit_json(const std::deque<audit_record>& ring) {
    auto records = json::array();
    for (const auto& it : ring) {
        records.push_back(
            {{"when_us", it.when_us}, {"who", it.who.text}, {"what", it.what}, {"outcome", it.outcome}});
    }
    return records;
}

std::uint64_t demand_of(const control_board& board, std::size_t kind, time_point now) {
    std::uint64_t sum = 0;
    for (const auto& record : serving_members(board.members, now)) {
        sum += kind < record.demand.size() ? record.demand[kind] : 0;
    }
    return sum;
}

void add_rule(json& item, const control_board& board, const kind_id& kind) {
    if (!board.in_force) {
        return;
    }
    for (const auto& rule : board.in_force->content.kinds) {
        if (rule.kind == kind) {
            item["rank"] = to_text(rule.served_as);
            item["guaranteed_share"] = rule.guaranteed_share;
        }
    }
}

void note_entry(rollout& state, const member_record& record, bool reachable, document_version wanted) {
    ++state.entries;
    if (reachable && record.entry_life.value != 0 && wanted.value != 0 && record.applied == wanted) {
        ++state.in_force_on;
        return;
    }
    const char* reason = !reachable                     ? "silent"
                         : record.entry_life.value == 0 ? "no entry process"
                                                        : "earlier preset";
    state.lagging.push_back({record.vm, record.applied, reason});
}

} // namespace detail

rollout rollout_of(const control_board& board, time_point now) {
    rollout state;
    const auto wanted = version_of(board.documents, in_force_key);
    if (board.members.self.state == member_state::live && !board.members.self_listed_leaving) {
        detail::note_entry(state, board.members.self, true, wanted);
    }
    for (const auto& [id, member] : board.members.others) {
        const bool reachable = is_reachable(board.members, member, now);
        const bool leaving = member.listed_leaving || member.record.state == member_state::leaving;
        if (!leaving && (reachable || member.listed)) {
            auto record = member.record;
            record.vm = id;
            detail::note_entry(state, record, reachable, wanted);
        }
    }
    return state;
}

std::string status_body(const control_board& board, time_point now) {
    const auto state = rollout_of(board, now);
    const auto lease = lease_of(board, now);
    const detail::json body{{"vm", board.config.vm.text},
                            {"failure_domain", board.config.failure_domain.text},
                            {"state", board.stopping ? "leaving" : "live"},
                            {"preset", detail::record_json(board)},
                            {"entries", state.entries},
                            {"in_force_on", state.in_force_on},
                            {"lagging", detail::lagging_json(state)},
                            {"current", lease > duration::zero()},
                            {"lease_ms", std::llround(to_milliseconds(lease))},
                            {"store", detail::store_json(board, now)}};
    return body.dump();
}

std::string presets_body(const control_board& board) {
    auto list = detail::json::array();
    for (const auto& [key, document] : board.documents.documents) {
        if (!key.text.starts_with(definition_prefix)) {
            continue;
        }
        const auto name = key.text.substr(definition_prefix.size());
        const auto parsed = parse_preset(document.payload, key.text);
        const bool in_force = board.in_force && board.in_force->content.name.text == name;
        list.push_back({{"name", name},
                        {"version", document.version.value},
                        {"description", parsed ? parsed->description : parsed.error().message},
                        {"in_force", in_force}});
    }
    return detail::json{{"presets", list}}.dump();
}

std::optional<std::string> preset_body(const control_board& board, const preset_name& name) {
    const auto found = board.documents.documents.find(document_key(definition_prefix + name.text));
    if (found == board.documents.documents.end()) {
        return std::nullopt;
    }
    const auto content = detail::json::parse(found->second.payload, nullptr, false, true);
    return detail::json{{"version", found->second.version.value}, {"preset", content}}.dump();
}

std::string servers_body(const control_board& board) {
    auto list = detail::json::array();
    for (const auto& server : board.listed.servers) {
        const auto sources = detail::drained_by(board, server);
        list.push_back({{"id", server.id.text},
                        {"service", server.service.text},
                        {"address", server.address.text},
                        {"failure_domain", server.failure_domain.text},
                        {"draining", !sources.empty()},
                        {"drained_by", sources}});
    }
    return detail::json{{"servers", list}}.dump();
}

std::string entries_body(const control_board& board, time_point now) {
    auto list = detail::json::array();
    const bool leaving =
        board.members.self.state == member_state::leaving || board.members.self_listed_leaving;
    list.push_back(detail::member_json(board.members.self, leaving ? "leaving" : "live"));
    for (const auto& [id, member] : board.members.others) {
        list.push_back(detail::member_json(member.record, detail::state_text(board, member, now)));
    }
    return detail::json{{"entries", list}}.dump();
}

std::string kinds_body(const control_board& board, time_point now) {
    auto list = detail::json::array();
    for (std::size_t i = 0; i < board.config.kinds.size(); ++i) {
        const auto& kind = board.config.kinds[i];
        detail::json item{{"id", kind.id.text},
                          {"service", kind.service.text},
                          {"path_prefix", kind.path_prefix},
                          {"idempotent", kind.idempotent},
                          {"offered_per_second", detail::demand_of(board, i, now)}};
        detail::add_rule(item, board, kind.id);
        list.push_back(std::move(item));
    }
    return detail::json{{"kinds", list}}.dump();
}

std::string audit_body(const control_board& board) {
    auto changes = detail::json::array();
    if (board.in_force) {
        for (const auto& it : board.in_force->history) {
            changes.push_back({{"operation_id", it.operation.text},
                               {"who", it.who.text},
                               {"what", it.what},
                               {"name", it.name.text},
                               {"when_us", it.when_us}});
        }
    }
    return detail::json{{"records", detail::audit_json(board.audit)},
                        {"unknown_keys", detail::audit_json(board.unknown_keys)},
                        {"changes", changes}}
        .dump();
}

std::string metrics_body(const control& it, time_point now) {
    const auto& board = it.board;
    auto table = board.counters;
    table.counters["link_bytes_sent_total"] = board.links.bytes_sent;
    table.counters["link_bytes_received_total"] = board.links.bytes_received;
    table.counters["link_frames_sent_total"] = board.links.frames_sent;
    table.counters["link_frames_received_total"] = board.links.frames_received;
    table.counters["link_bad_frames_total"] = board.links.bad_frames;
    table.counters["store_calls_total"] = it.store->counts().calls;
    table.counters["store_over_budget_total"] = it.store->counts().over_budget;
    table.counters["store_unavailable_total"] = it.store->counts().unavailable;
    table.counters["store_unknown_total"] = it.store->counts().unknown;
    table.counters["document_conflicts_total"] = board.documents.conflicts;
    table.counters["documents_refused_total"] = board.documents.refused;
    table.gauges["preset_version"] = static_cast<double>(version_of(board.documents, in_force_key).value);
    table.gauges["lease_seconds"] = to_seconds(lease_of(board, now));
    table.gauges["serving_members"] = static_cast<double>(serving_members(board.members, now).size());
    table.gauges["connections"] = static_cast<double>(board.connections.size());
    table.gauges["store_watcher"] = board.watcher ? 1 : 0;
    return exposition_text(table);
}

} // namespace endivelever
