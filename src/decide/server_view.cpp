#include "endivelever/decide/server_view.hpp"

#include <algorithm>
#include <functional>
#include <utility>
#include <xxhash.h>

namespace endivelever {
namespace detail {

void set_drain_bit(server_view& view, drain_source source, bool draining) {
    const auto bit = static_cast<std::uint8_t>(source);
    view.drain_sources =
        static_cast<std::uint8_t>(draining ? view.drain_sources | bit : view.drain_sources & ~bit);
}

void apply_listing(server_view& view, const listed_server& listed, const server_pool& pool) {
    view.listed = listed;
    view.slots = std::max(1U, listed.slots != 0 ? listed.slots : pool.service.slots_per_server);
    const auto connections =
        listed.connections != 0 ? listed.connections : pool.service.connections_per_server;
    view.connection_share = std::max(1U, connections / std::max(1U, pool.live_entries));
}

/// State of a listed server. It is kept only if address and start time show that it is the same instance.
server_view existing_or_new_view(const server_pool& pool, const listed_server& listed, time_point now) {
    const auto index = find_server(pool, listed.id);
    if (index < pool.servers.size() && pool.servers[index].listed.address == listed.address &&
        pool.servers[index].listed.start_ms == listed.start_ms) {
        return pool.servers[index];
    }
    server_view new_view;
    new_view.warm_since = now;
    if (listed.warm_up_left > duration::zero()) {
        new_view.warm_up = listed.warm_up_left;
    }
    // A server that repeatedly leaves and rejoins the list must not be probed at once each time.
    new_view.last_probe = now;
    return new_view;
}

struct subset_order {
    bool is_own_domain = false; ///< in the failure domain of the entry
    XXH64_hash_t hash = 0;
};

bool is_preferred(const subset_order& left, const subset_order& right) {
    return left.is_own_domain != right.is_own_domain ? left.is_own_domain : left.hash > right.hash;
}

/// Rendezvous hashing: each entry prefers the servers of its own failure domain with the highest hash of
/// entry and server, then those of other domains.
void mark_subset(server_pool& pool) {
    std::vector<std::pair<subset_order, server_view*>> ranked;
    ranked.reserve(pool.servers.size());
    const auto seed = XXH3_64bits(pool.own_vm.text.data(), pool.own_vm.text.size());
    for (auto& it : pool.servers) {
        const auto& id = it.listed.id.text;
        ranked.emplace_back(subset_order{it.listed.failure_domain == pool.own_domain,
                                         XXH3_64bits_withSeed(id.data(), id.size(), seed)},
                            &it);
        it.in_subset = true;
    }
    if (pool.subset_size == 0) {
        return;
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) { return is_preferred(left.first, right.first); });
    for (std::size_t i = pool.subset_size; i < ranked.size(); ++i) {
        ranked[i].second->in_subset = false;
    }
}

bool contains(const std::vector<server_id>& ids, const server_id& id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace detail

void update_servers(server_pool& pool, const std::vector<listed_server>& listed,
                    const std::vector<server_id>& drained, std::uint32_t live_entries, time_point now) {
    pool.live_entries = std::max(1U, live_entries);
    std::vector<server_view> servers;
    servers.reserve(listed.size());
    for (const auto& it : listed) {
        auto view = detail::existing_or_new_view(pool, it, now);
        detail::apply_listing(view, it, pool);
        detail::set_drain_bit(view, drain_source::vm_list, it.leaving);
        detail::set_drain_bit(view, drain_source::operators, detail::contains(drained, it.id));
        servers.push_back(std::move(view));
    }
    pool.servers = std::move(servers);
    detail::mark_subset(pool);
}

server_index find_server(const server_pool& pool, const server_id& id) {
    const auto it = std::find_if(pool.servers.begin(), pool.servers.end(),
                                 [&id](const server_view& view) { return view.listed.id == id; });
    return static_cast<server_index>(it - pool.servers.begin());
}

} // namespace endivelever
