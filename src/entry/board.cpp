#include "endivelever/entry/board.hpp"

#include <algorithm>

namespace endivelever {
namespace {

std::size_t add_kind(entry_board& board, const kind_settings& kind, std::size_t service) {
    auto& kinds = board.services[service].admission.kinds;
    kinds.push_back({.kind = kind.id});
    auto& route = board.routes.emplace_back();
    route.kind = kind;
    route.service = service;
    route.position = kinds.size() - 1;
    const auto series = [&](const char* outcome) {
        return &counter(board.counters,
                        "calls_total{kind=\"" + kind.id.text + "\",outcome=\"" + outcome + "\"}");
    };
    route.done = series("done");
    route.not_run = series("not-run");
    route.unknown = series("unknown");
    return route.position;
}

} // namespace

void build_routes(entry_board& board) {
    for (const auto& it : board.conf.services) {
        auto& service = board.services.emplace_back();
        service.pool.service = it;
        service.pool.own_domain = board.conf.failure_domain;
        service.pool.own_vm = board.conf.vm;
        service.admission.service = it;
    }
    for (const auto& kind : board.conf.kinds) {
        const auto found = std::find_if(board.conf.services.begin(), board.conf.services.end(),
                                        [&](const service_settings& it) { return it.id == kind.service; });
        add_kind(board, kind, static_cast<std::size_t>(found - board.conf.services.begin()));
    }
}

kind_route* find_route(entry_board& board, std::string_view path) {
    kind_route* best = nullptr;
    for (auto& it : board.routes) {
        const bool longer = best == nullptr || it.kind.path_prefix.size() > best->kind.path_prefix.size();
        if (longer && path.starts_with(it.kind.path_prefix)) {
            best = &it;
        }
    }
    return best;
}

std::uint32_t live_entries(const entry_board& board) {
    const auto n = std::count_if(board.members.begin(), board.members.end(),
                                 [](const member_record& it) { return it.state == member_state::live; });
    return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(1, n));
}

} // namespace endivelever
