#include "endivelever/decide/intake_budget.hpp"

#include <algorithm>
#include <tuple>

namespace endivelever {
namespace {

// Part of the memory that large bodies leave to small bodies and to connections. A VM of 112 MB, the
// smallest, still takes one body of 64 MB.
constexpr std::uint64_t kept_from_large_bodies = 14;
// Part of the memory that bodies leave to connections.
constexpr std::uint64_t kept_from_bodies = 28;
constexpr std::uint64_t max_small_body = 1UL << 20U;
// Part of the memory of connections that is freed at once when the limit is exceeded.
constexpr std::uint64_t freed_share = 8;
constexpr duration recent_transfer = std::chrono::seconds(1);

std::uint64_t used_memory(const intake_usage& usage) {
    return usage.connections_memory.value + usage.bodies_memory.value;
}

bool costs_more(const connection_use& a, const connection_use& b) {
    return std::tuple(b.held.value, a.last_transfer) < std::tuple(a.held.value, b.last_transfer);
}

} // namespace

bool admits_body(const intake_limits& limits, const intake_usage& usage, byte_count size, byte_count held) {
    if (limits.memory.value == 0) {
        return true;
    }
    const bool is_small = held.value + size.value <= max_small_body;
    const auto kept = limits.memory.value / (is_small ? kept_from_bodies : kept_from_large_bodies);
    const auto limit = limits.memory.value - kept;
    const auto used = used_memory(usage);
    return used <= limit && size.value <= limit - used;
}

bool reads_requests(const intake_limits& limits, byte_count held) {
    return held.value <= limits.connection_memory.value;
}

std::vector<std::size_t> choose_to_free_memory(const intake_limits& limits, const intake_usage& usage,
                                               std::span<const connection_use> all) {
    std::vector<std::size_t> chosen;
    auto used = used_memory(usage);
    if (limits.memory.value == 0 || used <= limits.memory.value) {
        return chosen;
    }
    std::vector<std::size_t> order(all.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    std::sort(order.begin(), order.end(), [&](auto a, auto b) { return costs_more(all[a], all[b]); });
    const auto target =
        limits.memory.value - std::min(limits.memory.value, usage.connections_memory.value / freed_share);
    for (const auto it : order) {
        if (used <= target || all[it].held.value == 0) {
            break;
        }
        used -= std::min(used, all[it].held.value);
        chosen.push_back(it);
    }
    return chosen;
}

std::vector<std::size_t> choose_to_free_connections(std::span<const connection_use> all, std::size_t most,
                                                    time_point now, const void* listener) {
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const bool is_candidate = listener == nullptr || all[i].listener == listener;
        if (is_candidate && all[i].waits_for_caller && now - all[i].last_transfer >= recent_transfer) {
            chosen.push_back(i);
        }
    }
    const auto n = std::min(most, chosen.size());
    std::partial_sort(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(n), chosen.end(),
                      [&](auto a, auto b) { return costs_more(all[a], all[b]); });
    chosen.resize(n);
    return chosen;
}

bool has_stalled(progress_window& window, const intake_limits& limits, bool waits, time_point now) {
    if (!waits || !window.open) {
        window = {waits, now, 0};
        return false;
    }
    if (now - window.begin < limits.progress_timeout) {
        return false;
    }
    const bool has_progress = window.bytes >= limits.min_progress.value;
    window = {true, now, 0};
    return !has_progress;
}

} // namespace endivelever
