#include "endivelever/gateway/controllers.hpp"
#include "endivelever/wire/limits.hpp"

#include <algorithm>

namespace endivelever {
namespace {

// Bounds of plausible logarithms of a response time in seconds: 1 us to 1 h.
constexpr float min_log_seconds = -14.0F;
constexpr float max_log_seconds = 8.2F;
constexpr float max_weight = 1e6F;

service_times_message to_message(const service_id& id, const occupancy_means& values) {
    service_times_message message;
    message.service = id;
    for (const auto& it : values) {
        message.log_seconds.push_back(static_cast<float>(it.value));
        message.weights.push_back(static_cast<float>(it.weight));
    }
    return message;
}

/// @return the observations, or none if the message is malformed
occupancy_means to_means(const service_times_message& message) {
    occupancy_means values{};
    if (message.log_seconds.size() != values.size() || message.weights.size() != values.size()) {
        return {};
    }
    for (std::size_t i = 0; i < values.size(); ++i) {
        const float value = message.log_seconds[i];
        const float weight = message.weights[i];
        const bool is_plausible =
            value >= min_log_seconds && value <= max_log_seconds && weight >= 0.0F && weight <= max_weight;
        if (!is_plausible) {
            return {};
        }
        values[i] = {value, weight};
    }
    return values;
}

const service_times_message* find_times(const gateway_status_message& status, const service_id& id) {
    const auto& all = status.service_times;
    const auto found =
        std::find_if(all.begin(), all.end(), [&id](const auto& it) { return it.service == id; });
    return found == all.end() ? nullptr : &*found;
}

/// Observations of this VM and of the VMs of its failure domain that are not heads themselves: those of heads
/// already contain the others.
occupancy_means sum_over_domain(const gateway_board& board, const service_id& id, const occupancy_means& own,
                                time_point now) {
    auto sum = own;
    for (const auto& it : board.peers.peers) {
        const auto& status = it.second.status;
        const bool counts = status.failure_domain == board.conf.failure_domain && !status.is_head &&
                            it.second.last_heard != time_point{} &&
                            now - it.second.last_heard <= peer_timeout;
        const auto* times = counts ? find_times(status, id) : nullptr;
        if (times != nullptr) {
            add(sum, to_means(*times));
        }
    }
    return sum;
}

} // namespace

std::vector<service_times_message> share_models(gateway_board& board, time_point now) {
    std::vector<service_times_message> messages;
    const auto n = std::min(board.services.size(), wire_limits::status_services);
    // A status has room for some services only, so that successive ones start at different services.
    auto next = board.services.upper_bound(board.last_shared_service);
    for (std::size_t i = 0; i < n; ++i) {
        next = next == board.services.end() ? board.services.begin() : next;
        auto& model = next->second.pool.model;
        if (board.duties.is_head) {
            model.domain_log_time = sum_over_domain(board, next->first, model.log_time, now);
        }
        messages.push_back(
            to_message(next->first, board.duties.is_head ? model.domain_log_time : model.log_time));
        board.last_shared_service = next->first;
        ++next;
    }
    return messages;
}

void apply_shared_models(gateway_board& board, const gateway_status_message& status) {
    for (const auto& it : status.service_times) {
        const auto found = board.services.find(it.service);
        if (found != board.services.end()) {
            found->second.pool.model.domain_log_time = to_means(it);
        }
    }
}

} // namespace endivelever
