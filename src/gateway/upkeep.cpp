#include "endivelever/decide/observe.hpp"
#include "endivelever/gateway/controllers.hpp"

#include <algorithm>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr unsigned status_gateway_timeout = 504;
constexpr duration probe_timeout = 1s;
constexpr duration probe_connect_timeout = 300ms;
constexpr byte_count max_probe_reply{4096};

void end_due_requests(gateway_board& board, time_point now) {
    std::vector<request_number> due;
    for (const auto& it : board.requests) {
        const auto& request = *it.second;
        if (request.rule != nullptr && request.streaming == nullptr && now >= request.final_at) {
            due.push_back(it.first);
        }
    }
    for (const auto number : due) {
        auto& it = *board.requests.at(number);
        const bool sent = !it.attempts.empty();
        respond_own(
            board, it,
            {status_gateway_timeout, sent ? "no response in time" : "request body came too late", {}});
    }
}

void send_probe(gateway_board& board, const routed_service& conf, const server_view& view) {
    http_request request;
    request.address = view.listed.address;
    request.target = conf.health_path;
    request.headers.push_back({"Host", view.listed.address.text});
    request.timeout = probe_timeout;
    request.connect_timeout = probe_connect_timeout;
    count(board, "probes_total");
    fetch(*board.servers, std::move(request), max_probe_reply,
          [&board, service = conf.id, id = view.listed.id](const http_reply& reply) {
              const auto found = board.services.find(service);
              if (found == board.services.end() || reply.end.failure != transfer_failure::none) {
                  return;
              }
              auto& pool = found->second.pool;
              const auto index = find_server(pool, id);
              if (index >= pool.servers.size()) {
                  return;
              }
              const auto facts =
                  board.dialect.read_response(reply.end.status, reply.headers, pool.latency_estimate);
              if (facts.report) {
                  note_report(pool.servers[index], *facts.report, boot_clock::now());
                  note_load(board, pool.servers[index], *facts.report);
              }
          });
}

void send_probes(gateway_board& board, time_point now) {
    if (board.routes == nullptr || board.stopping) {
        return;
    }
    for (const auto& conf : board.routes->config.services) {
        auto& pool = board.services[conf.id].pool;
        while (const auto index =
                   next_probe(pool, board.conf.probes_per_server_per_second, now, board.random)) {
            send_probe(board, conf, pool.servers[*index]);
        }
    }
}

} // namespace

void review(gateway_board& board) {
    const auto now = boot_clock::now();
    end_due_requests(board, now);
    for (auto& it : board.services) {
        review_servers(it.second.pool, now);
    }
    if (drop_missing(board.registry, now)) {
        update_pools(board);
    }
    send_probes(board, now);
}

} // namespace endivelever
