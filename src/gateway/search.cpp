#include "endivelever/decide/choose_server.hpp"
#include "endivelever/decide/observe.hpp"
#include "endivelever/decide/probe_choice.hpp"
#include "endivelever/gateway/controllers.hpp"

#include <algorithm>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr probe_choice_limits limits;
// An answer that comes after its round still tells about the server.
constexpr duration probe_timeout = 300ms;
constexpr byte_count max_probe_reply{4096};
constexpr duration unknown_usual_time = 50ms;

gateway_request* find_searching(gateway_board& board, request_number number) {
    const auto found = board.requests.find(number);
    return found == board.requests.end() || found->second->search == nullptr ? nullptr : found->second.get();
}

server_view* find_view(gateway_board& board, const service_id& service, const server_id& id) {
    const auto found = board.services.find(service);
    if (found == board.services.end()) {
        return nullptr;
    }
    auto& servers = found->second.pool.servers;
    const auto index = find_server(found->second.pool, id);
    return index < servers.size() ? &servers[index] : nullptr;
}

duration usual_time(const gateway_service& service) {
    return service.usual_time > duration::zero() ? service.usual_time : unknown_usual_time;
}

const std::string& health_path(const gateway_request& it) {
    static const std::string none;
    const auto& services = it.table->config.services;
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&it](const routed_service& conf) { return conf.id == it.service; });
    return found == services.end() ? none : found->health_path;
}

void start_round(gateway_board& board, gateway_request& it);

void send_to(gateway_board& board, gateway_request& it, server_view& view) {
    it.search.reset();
    start_attempt(board, it, view);
}

/// Picks among the answers; without any, by what earlier responses told.
void conclude(gateway_board& board, gateway_request& it) {
    auto& service = board.services[it.service];
    const auto purpose = it.search->purpose;
    auto index = best_answer(service.pool, it.search->asked, it.search->began, usual_time(service),
                             it.rule->large_response);
    if (!index && purpose != choice_purpose::hedge) {
        index = choose_server(service.pool, tried_servers(it), boot_clock::now(), board.random);
    }
    if (index) {
        send_to(board, it, service.pool.servers[*index]);
        return;
    }
    it.search.reset();
    end_search(board, it, purpose);
}

void end_round(gateway_board& board, gateway_request& it) {
    if (it.search->rounds < limits.max_rounds) {
        start_round(board, it);
    } else {
        conclude(board, it);
    }
}

void note_silent_servers(gateway_board& board, const gateway_request& it, time_point now) {
    for (const auto& id : it.search->asked) {
        auto* view = find_view(board, it.service, id);
        if (view != nullptr && view->reported_at < it.search->began) {
            note_silent(*view, now);
        }
    }
}

void take_answer(gateway_board& board, request_number number, const service_id& service, const server_id& id,
                 const http_reply& reply) {
    auto* view = find_view(board, service, id);
    bool good = false;
    if (view != nullptr && reply.end.failure == transfer_failure::none) {
        const auto usual = usual_time(board.services[service]);
        const auto facts = board.dialect.read_response(reply.end.status, reply.headers, usual);
        if (facts.report) {
            note_report(*view, *facts.report, boot_clock::now());
            good = is_good(*facts.report, view->slots) && view->state != server_state::ejected &&
                   view->failure_ratio < 0.1;
        }
    }
    auto* it = find_searching(board, number);
    if (it == nullptr ||
        std::find(it->search->asked.begin(), it->search->asked.end(), id) == it->search->asked.end()) {
        return;
    }
    if (good && !is_draining(*view)) {
        send_to(board, *it, *view);
        return;
    }
    it->search->open_questions -= it->search->open_questions > 0 ? 1 : 0;
    if (it->search->open_questions == 0) {
        end_round(board, *it);
    }
}

void ask(gateway_board& board, gateway_request& it, const server_view& view) {
    http_request request;
    request.address = view.listed.address;
    request.target = health_path(it);
    request.headers.push_back({"Host", view.listed.address.text});
    request.timeout = probe_timeout;
    request.connect_timeout = probe_timeout;
    count(board, "probes_total");
    fetch(*board.servers, std::move(request), max_probe_reply,
          [&board, number = it.number, service = it.service, id = view.listed.id](const http_reply& reply) {
              take_answer(board, number, service, id, reply);
          });
}

void start_round(gateway_board& board, gateway_request& it) {
    auto& search = *it.search;
    auto& pool = board.services[it.service].pool;
    const auto now = boot_clock::now();
    auto excluded = tried_servers(it);
    excluded.insert(excluded.end(), search.asked.begin(), search.asked.end());
    const auto n = search.rounds == 0 ? limits.first_round : limits.next_round;
    const auto candidates = pick_candidates(pool, excluded, n, it.rule->large_response, now, board.random);
    ++search.rounds;
    if (candidates.empty()) {
        conclude(board, it);
        return;
    }
    search.open_questions = candidates.size();
    for (const auto index : candidates) {
        search.asked.push_back(pool.servers[index].listed.id);
        ask(board, it, pool.servers[index]);
    }
    search.round_ends = now + limits.round_limit;
}

} // namespace

void search_server(gateway_board& board, gateway_request& it, choice_purpose purpose) {
    auto& service = board.services[it.service];
    it.search = std::make_unique<server_search>();
    it.search->purpose = purpose;
    it.search->began = boot_clock::now();
    if (!service.tells_load) {
        conclude(board, it);
        return;
    }
    start_round(board, it);
}

void end_round_if_due(gateway_board& board, gateway_request& it, time_point now) {
    if (it.search != nullptr && now >= it.search->round_ends) {
        note_silent_servers(board, it, now);
        end_round(board, it);
    }
}

} // namespace endivelever
