#include "endivelever/decide/observe.hpp"

#include <algorithm>

namespace endivelever {
namespace detail {

// Jitter only lengthens the interval, so that the budget remains an upper bound.
constexpr double probe_jitter = 0.2;

duration probe_interval(const server_pool& pool, double rate, random_source& random) {
    const double entries = std::max(1U, pool.live_entries);
    return from_milliseconds(1000.0 * entries / rate * (1.0 + probe_jitter * random_unit(random)));
}

/// True if a source other than the server's own reports drains it, which a probe cannot revoke.
bool is_drained_by_other_source(const server_view& view) {
    const auto report_bit = static_cast<std::uint8_t>(drain_source::load_report);
    return (view.drain_sources & ~report_bit) != 0;
}

bool is_probe_due(const server_view& view, duration interval, time_point now) {
    if (is_drained_by_other_source(view) || now - view.last_probe < interval) {
        return false;
    }
    return view.state == server_state::ejected || now - view.reported_at >= interval;
}

bool has_probe_priority(const server_view& left, const server_view& right) {
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
        if (!detail::is_probe_due(pool.servers[i], interval, now)) {
            continue;
        }
        if (!next || detail::has_probe_priority(pool.servers[i], pool.servers[*next])) {
            next = i;
        }
    }
    if (next) {
        pool.servers[*next].last_probe = now;
    }
    return next;
}

} // namespace endivelever
