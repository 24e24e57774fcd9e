#include "endivelever/decide/request_allowance.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace endivelever {
namespace {

// VMs with a regular share of a limit, for each request per second that it allows. Each may send one request
// at any time, so more of them could exceed the limit together.
constexpr double regular_vms_per_request = 2.0;
// Leaves a margin for VMs that disagree on the order for a while.
constexpr double regular_share = 0.8;
// Part of a limit for the other VMs together.
constexpr double trial_share = 0.1;
constexpr double max_tokens = 1.0;

XXH64_hash_t order_of(const vm_id& vm, XXH64_hash_t seed) {
    return XXH3_64bits_withSeed(vm.text.data(), vm.text.size(), seed);
}

double tokens_at(const request_allowance& allowance, time_point now) {
    const double gained = allowance.rate * to_seconds(now - allowance.credited_at);
    return std::min(max_tokens, allowance.tokens + gained);
}

std::size_t regular_vms(double fleet_limit, std::size_t vms) {
    const double wanted = std::floor(regular_vms_per_request * fleet_limit) + 1.0;
    return wanted < static_cast<double>(vms) ? static_cast<std::size_t>(wanted) : vms;
}

} // namespace

fleet_position position_for(const server_id& server, const vm_id& own, const std::vector<vm_id>& others) {
    const auto seed = XXH3_64bits(server.text.data(), server.text.size());
    const auto own_order = order_of(own, seed);
    const auto ahead = std::count_if(others.begin(), others.end(),
                                     [&](const vm_id& it) { return order_of(it, seed) > own_order; });
    return {static_cast<std::size_t>(ahead), others.size() + 1};
}

double share_of_limit(double fleet_limit, const fleet_position& position) {
    const auto regular = regular_vms(fleet_limit, position.vms);
    if (position.position < regular) {
        return regular_share * fleet_limit / static_cast<double>(regular);
    }
    return trial_share * fleet_limit / static_cast<double>(position.vms - regular);
}

bool apply_directives(request_allowance& allowance, const server_directives& said, directive_source source,
                      const fleet_position& position, double phase, time_point now) {
    if (said.pause) {
        allowance.paused_until =
            std::max(allowance.paused_until, now + std::clamp(*said.pause, duration::zero(), max_pause));
    }
    if (!said.fleet_limit) {
        const bool ends =
            allowance.fleet_limit && (source == directive_source::response || allowance.named_in_probes);
        if (ends) {
            const auto paused_until = allowance.paused_until;
            allowance = {};
            allowance.paused_until = paused_until;
        }
        return ends;
    }
    const bool is_new = !allowance.fleet_limit;
    const bool changed = allowance.fleet_limit != said.fleet_limit;
    const bool is_regular = position.position < regular_vms(*said.fleet_limit, position.vms);
    allowance.tokens = is_new ? (is_regular ? 0.0 : -phase) : tokens_at(allowance, now);
    allowance.credited_at = now;
    allowance.fleet_limit = said.fleet_limit;
    allowance.rate = share_of_limit(*said.fleet_limit, position);
    allowance.named_in_probes = allowance.named_in_probes || source == directive_source::probe;
    return changed;
}

bool is_paused(const request_allowance& allowance, time_point now) {
    return now < allowance.paused_until;
}

time_point next_request_at(const request_allowance& allowance, time_point now) {
    const auto pause_end = std::max(now, allowance.paused_until);
    if (!allowance.fleet_limit) {
        return pause_end;
    }
    const double missing = 1.0 - tokens_at(allowance, now);
    if (missing <= 0.0) {
        return pause_end;
    }
    constexpr double foreseeable_seconds = 3600.0;
    if (missing > allowance.rate * foreseeable_seconds) {
        return time_point::max();
    }
    return std::max(pause_end, now + from_milliseconds(std::ceil(1000.0 * missing / allowance.rate)));
}

bool may_send(const request_allowance& allowance, time_point now) {
    return next_request_at(allowance, now) <= now;
}

void note_request_sent(request_allowance& allowance, time_point now) {
    if (allowance.fleet_limit) {
        allowance.tokens = tokens_at(allowance, now) - 1.0;
        allowance.credited_at = now;
    }
}

} // namespace endivelever
