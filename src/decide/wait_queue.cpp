#include "endivelever/decide/wait_queue.hpp"

#include <algorithm>
#include <tuple>

namespace endivelever {
namespace {

// A request with a large response may use another failure domain only after it has waited in the queue for
// this fraction (1/n) of its latency target.
constexpr int local_only_divisor = 10;
// Shortest plausible response time in percent of the typical one: the work of a request differs from the
// median by about this factor.
constexpr int min_response_percent = 60;

bool meets_target(const waiting_request& it, duration needed, time_point now) {
    return now - it.arrived + needed <= it.latency_target;
}

} // namespace

bool can_use(const waiting_request& it, const server_offer& offer, duration typical_time, time_point now) {
    if (std::find(it.tried.begin(), it.tried.end(), offer.server) != it.tried.end()) {
        return false;
    }
    if (it.prefers_local_domain && !offer.in_local_domain &&
        now - it.queued_at < it.latency_target / local_only_divisor) {
        return false;
    }
    if (!offer.has_spare_capacity && !it.probing_done) {
        return false;
    }
    if (!offer.has_free_slot) {
        return false;
    }
    if (meets_target(it, offer.predicted_latency, now)) {
        return true;
    }
    const bool can_still_wait = meets_target(it, typical_time, now);
    return it.purpose != attempt_purpose::hedge && !can_still_wait &&
           now + offer.predicted_latency <= it.deadline;
}

std::optional<std::size_t> select_request(const wait_queue& queue, const server_offer& offer,
                                          duration typical_time, time_point now) {
    if (!offer.usable) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    std::tuple<bool, std::uint32_t, time_point> best_order{};
    for (std::size_t i = 0; i < queue.size(); ++i) {
        const auto& it = queue[i];
        if (!can_use(it, offer, typical_time, now)) {
            continue;
        }
        const std::tuple order{!meets_target(it, offer.predicted_latency, now), it.rank,
                               it.arrived - it.prior_attempts_time};
        if (!best || order < best_order) {
            best = i;
            best_order = order;
        }
    }
    return best;
}

std::vector<request_number> requests_to_refuse(const wait_queue& queue, duration typical_time,
                                               time_point now) {
    std::vector<request_number> late;
    bool others_wait = false;
    for (const auto& it : queue) {
        if (meets_target(it, typical_time, now)) {
            others_wait = true;
        } else if (it.purpose == attempt_purpose::first && it.prior_attempts_time == duration::zero()) {
            late.push_back(it.request);
        }
    }
    return others_wait ? late : std::vector<request_number>{};
}

bool cannot_meet_deadline(const waiting_request& it, duration typical_time, time_point now) {
    return now + min_response_percent * typical_time / 100 > it.deadline;
}

bool remove_waiting(wait_queue& queue, request_number request) {
    return std::erase_if(queue, [request](const waiting_request& it) { return it.request == request; }) > 0;
}

} // namespace endivelever
