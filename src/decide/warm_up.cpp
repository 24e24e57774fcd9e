#include "endivelever/decide/warm_up.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <xxhash.h>

namespace endivelever {
namespace {

constexpr double max_tokens = 1.0;

double tokens_at(const warm_up_allowance& allowance, time_point now) {
    const double gained = warm_up_sender_rate * to_seconds(now - allowance.credited_at);
    return std::min(max_tokens, allowance.tokens + gained);
}

std::tuple<bool, XXH64_hash_t> order_of(const warm_up_member& it, const failure_domain& server_domain,
                                        XXH64_hash_t seed) {
    return {it.failure_domain == server_domain,
            XXH3_64bits_withSeed(it.vm.text.data(), it.vm.text.size(), seed)};
}

} // namespace

std::size_t warm_up_senders(double limit) {
    const auto most = static_cast<std::size_t>(std::max(0.0, std::floor(limit / warm_up_sender_peak)));
    if (most == 0) {
        return 0;
    }
    return most > warm_up_spare_senders ? most - warm_up_spare_senders : 1;
}

bool is_warm_up_sender(const server_id& server, const failure_domain& server_domain,
                       const warm_up_member& own, const std::vector<warm_up_member>& others, std::size_t n) {
    const auto seed = XXH3_64bits(server.text.data(), server.text.size());
    const auto own_order = order_of(own, server_domain, seed);
    const auto ahead = std::count_if(others.begin(), others.end(), [&](const warm_up_member& it) {
        return order_of(it, server_domain, seed) > own_order;
    });
    return static_cast<std::size_t>(ahead) < n;
}

void note_cold(warm_up_allowance& allowance, time_point until, bool is_sender, time_point now) {
    if (!is_cold(allowance, now)) {
        // The server may have been in full use until now, and its next second counts as one of a cold server.
        allowance.tokens = 0.0;
        allowance.credited_at = now;
    }
    allowance.cold_until = until;
    allowance.is_sender = is_sender;
}

bool is_cold(const warm_up_allowance& allowance, time_point now) {
    return now < allowance.cold_until;
}

time_point next_request_at(const warm_up_allowance& allowance, time_point now) {
    if (!is_cold(allowance, now)) {
        return now;
    }
    if (!allowance.is_sender) {
        return allowance.cold_until;
    }
    const double missing = max_tokens - tokens_at(allowance, now);
    const auto gained_at = now + from_milliseconds(std::ceil(1000.0 * missing / warm_up_sender_rate));
    return missing <= 0.0 ? now : std::min(gained_at, allowance.cold_until);
}

void note_request_sent(warm_up_allowance& allowance, time_point now) {
    if (is_cold(allowance, now)) {
        allowance.tokens = tokens_at(allowance, now) - 1.0;
        allowance.credited_at = now;
    }
}

} // namespace endivelever
