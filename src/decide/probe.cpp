#include "endivelever/decide/observe.hpp"

#include <algorithm>

namespace endivelever {
namespace detail {

/// Jitter only lengthens the interval, so that the budget is an upper bound.
constexpr double probe_jitter = 0.2;

duration probe_interval(const server_pool& pool, double rate, random_source& random) {
    const double entries = std::max(1U, pool.live_entries);
    return from_milliseconds(1000.0 * entries / rate * (1.0 + probe_jitter * random_unit(random)));
}

bool is_leaving_for_good(const server_view& view) {
    const auto own_word = static_cast<std::uint8_t>(drain_source::load_report);
    return (view.drain_sources & ~own_word) != 0;
}

bool wants_probe(const server_view& view, duration interval, time_point now) {
    if (is_leaving_for_good(view) || now - view.last_probe < interval) {
        return false;
    }
    return view.state == server_state::ejected || now - view.reported_at >= interval;
}

bool is_more_urgent(const server_view& left, const server_view& right) {
    const bool left_ejected = left.state == server_state::ejected;
    const bool right_ejected = right.state == server_state::ejected;
    return left_ejected != right_ejected ? left_ejected : left.reported_at < right.reported_at;
}

} // namespace detail

std::optional<server_index> next_probe(server_pool& pool, double probes_per_server_per_second, time_point now,
                                       random_source& random) {
    if (probes_per_server_per_second <= 0.0) {
        return std::nullopt;
    }
    const auto interval = detail::probe_interval(pool, probes_per_server_per_second, random);
    std::optional<server_index> next;
    for (server_index i = 0; i < pool.servers.size(); ++i) {
        if (!detail::wants_probe(pool.servers[i], interval, now)) {
            continue;
        }
        if (!next || detail::is_more_urgent(pool.servers[i], pool.servers[*next])) {
            next = i;
        }
    }
    if (next) {
        pool.servers[*next].last_probe = now;
    }
    return next;
}

} // namespace endivelever
