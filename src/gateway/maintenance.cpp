#include "endivelever/decide/observe.hpp"
#include "endivelever/gateway/controllers.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace endivelever {
namespace {

constexpr unsigned status_gateway_timeout = 504;
constexpr double median = 0.5;
// Models change slowly, and computing a median takes a pass over the histogram.
constexpr duration model_interval = std::chrono::milliseconds(250);
constexpr duration model_log_interval = std::chrono::seconds(5);
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

/// Response times by occupancy in milliseconds, separated by spaces.
std::string times_text(const service_model& model) {
    std::string text;
    for (const auto& it : model.fitted_time) {
        text += (text.empty() ? "" : " ") + std::to_string(std::lround(to_milliseconds(it)));
    }
    return text;
}

void log_model(gateway_board& board, const service_id& id, const server_pool& pool) {
    const auto slots = pool.servers.empty() ? 1 : pool.servers.front().slots;
    write_event(board.log, "service_model",
                {{"service", id.text},
                 {"times_ms", times_text(pool.model)},
                 {"operating_limit", static_cast<std::int64_t>(operating_limit(pool.model, slots))},
                 {"slots", static_cast<std::int64_t>(slots)},
                 {"margin", response_margin(pool.model)},
                 {"mean_slowdown", pool.model.slowdown.value},
                 {"speed_lifetime_ms", to_milliseconds(speed_lifetime(pool.model))}});
}

void update_models(gateway_board& board, time_point now) {
    const bool log = now - board.models_logged_at >= model_log_interval;
    if (log) {
        board.models_logged_at = now;
    }
    for (auto& it : board.services) {
        refit(it.second.pool.model);
        if (log) {
            log_model(board, it.first, it.second.pool);
        }
        if (it.second.response_time.total >= min_responses_for_median) {
            it.second.median_response_time = value_at(it.second.response_time, median);
        }
    }
}

} // namespace

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
    if (drop_missing(board.registry, now)) {
        update_pools(board);
    }
    hedge_late_requests(board, now);
    for (auto& it : board.services) {
        process_wait_queue(board, it.second, now);
    }
    if (now - board.models_updated_at >= model_interval) {
        board.models_updated_at = now;
        update_models(board, now);
    }
}

} // namespace endivelever
