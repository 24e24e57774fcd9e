#include "endivelever/decide/observe.hpp"
#include "endivelever/gateway/controllers.hpp"

#include <algorithm>

namespace endivelever {
namespace {

constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;
constexpr double median = 0.5;
// The median changes slowly, and computing it takes a pass over the histogram.
constexpr duration median_interval = std::chrono::milliseconds(500);
// The first responses after startup belong to the shortest requests and would give too low a median.
constexpr std::uint64_t min_responses_for_median = 8;

void time_out_requests(gateway_board& board, time_point now) {
    std::vector<request_number> due;
    for (const auto& it : board.requests) {
        const auto& request = *it.second;
        if (request.matched_route != nullptr && request.streaming_attempt == nullptr &&
            now >= request.deadline) {
            due.push_back(it.first);
        }
    }
    for (const auto number : due) {
        auto& it = *board.requests.at(number);
        const bool sent = !it.attempts.empty();
        respond_with_error(
            board, it,
            {status_gateway_timeout, sent ? "no response in time" : "request body came too late", {}});
    }
}

void hedge_late_requests(gateway_board& board, time_point now) {
    std::vector<request_number> open;
    open.reserve(board.requests.size());
    for (const auto& it : board.requests) {
        open.push_back(it.first);
    }
    for (const auto number : open) {
        const auto found = board.requests.find(number);
        if (found != board.requests.end() && found->second->matched_route != nullptr) {
            hedge_if_late(board, *found->second, now);
        }
    }
}

void update_medians(gateway_board& board) {
    for (auto& it : board.services) {
        if (it.second.response_time.total >= min_responses_for_median) {
            it.second.median_response_time = value_at(it.second.response_time, median);
        }
    }
}

} // namespace

void end_open_requests(gateway_board& board) {
    std::vector<request_number> open;
    for (const auto& it : board.requests) {
        open.push_back(it.first);
    }
    for (const auto number : open) {
        const auto found = board.requests.find(number);
        if (found != board.requests.end()) {
            respond_with_error(board, *found->second, {status_unavailable, "this VM is stopping", {}});
        }
    }
}

void run_maintenance(gateway_board& board) {
    const auto now = boot_clock::now();
    time_out_requests(board, now);
    std::size_t servers = 0;
    for (auto& it : board.services) {
        review_servers(it.second.pool, now);
        servers += it.second.pool.servers.size();
    }
    credit_probes(board.probes, board.conf.probes_per_server_per_second, servers, board.peers.fleet_size,
                  now);
    observe_other_reads(board.registry, board.peers.confirmed_at, now);
    if (drop_missing(board.registry, now)) {
        update_pools(board);
    }
    hedge_late_requests(board, now);
    review_quota_waiters(board, now);
    for (auto& it : board.services) {
        process_wait_queue(board, it.second, now);
        probe_limited_servers(board, it.second, now);
    }
    if (now - board.medians_updated_at >= median_interval) {
        board.medians_updated_at = now;
        update_medians(board);
    }
}

} // namespace endivelever
