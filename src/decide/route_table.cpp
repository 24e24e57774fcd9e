#include "endivelever/decide/route_table.hpp"

#include <algorithm>
#include <cctype>

namespace endivelever {
namespace {

// Latency targets allow for a request that waits as long as its processing takes.
constexpr int assumed_target_percent = 40;

bool routes_to(const route& it, const service_id& service) {
    return std::any_of(it.split.begin(), it.split.end(),
                       [&service](const service_weight& part) { return part.service == service; });
}

std::string normalized_host(std::string_view host) {
    std::string text(host.substr(0, host.find(':')));
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

std::shared_ptr<const route_table> make_route_table(routing_config config) {
    auto table = std::make_shared<route_table>();
    table->config = std::move(config);
    table->tenants = make_tenant_directory(table->config);
    for (const auto& it : table->config.routes) {
        table->by_host[normalized_host(it.host)].push_back(&it);
    }
    for (auto& entry : table->by_host) {
        std::stable_sort(entry.second.begin(), entry.second.end(), [](const route* left, const route* right) {
            return left->path_prefix.size() > right->path_prefix.size();
        });
    }
    return table;
}

const route* find_route(const route_table& table, std::string_view host, std::string_view path) {
    const auto found = table.by_host.find(normalized_host(host));
    if (found == table.by_host.end()) {
        return nullptr;
    }
    const auto it = std::find_if(found->second.begin(), found->second.end(), [path](const route* candidate) {
        return path.starts_with(candidate->path_prefix);
    });
    return it == found->second.end() ? nullptr : *it;
}

const service_id& pick_service(const route& it, random_source& random) {
    std::uint64_t total = 0;
    for (const auto& part : it.split) {
        total += part.weight;
    }
    auto remaining = total == 0 ? 0.0 : random_unit(random) * static_cast<double>(total);
    for (const auto& part : it.split) {
        if (remaining < static_cast<double>(part.weight)) {
            return part.service;
        }
        remaining -= static_cast<double>(part.weight);
    }
    return it.split.front().service;
}

duration assumed_time(const routing_config& config, const service_id& service) {
    duration shortest{};
    for (const auto& it : config.routes) {
        const bool shorter = shortest == duration::zero() || it.latency_target < shortest;
        if (it.latency_target > duration::zero() && shorter && routes_to(it, service)) {
            shortest = it.latency_target;
        }
    }
    return shortest * assumed_target_percent / 100;
}

} // namespace endivelever
