#pragma once

#include "endivelever/base/counters.hpp"
#include "endivelever/base/random.hpp"
#include "endivelever/config/in_force.hpp"
#include "endivelever/decide/document_table.hpp"
#include "endivelever/decide/graceful_stop.hpp"
#include "endivelever/decide/retry.hpp"
#include "endivelever/entry/call.hpp"
#include "endivelever/trace/span_ring.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace endivelever {

/// Everything an entry knows of one service.
struct service_state {
    server_pool pool;
    service_admission admission;
    retry_budget retries;
    bool pumping = false; ///< guards against a nested pump
};

/// Blackboard of the entry process. Controllers are free functions that read and write it.
struct entry_board {
    settings conf;
    struct ev_loop* loop = nullptr;
    random_source random;
    incarnation life;
    counter_table counters;

    document_table documents;
    std::optional<in_force_record> in_force;
    document_version applied;
    time_point lease_until{};
    std::vector<member_record> members;

    std::deque<service_state> services;
    std::deque<kind_route> routes;
    call_registry registry;
    span_ring spans;
    std::unordered_map<call_number, std::unique_ptr<call>> calls;
    call_number last_call = 0;
    time_point last_review{};
    std::optional<graceful_stop> stop; ///< planned stop in progress

    std::unique_ptr<http_client> client;
    std::unique_ptr<http_server> callers;
    std::unique_ptr<http_server> admin;
};

/// Builds services and routes from the settings.
void build_routes(entry_board& board);

/// @return the route with the longest matching path prefix, or nullptr
kind_route* find_route(entry_board& board, std::string_view path);

/// @return live entries of the VM list or of the member table, at least 1
std::uint32_t live_entries(const entry_board& board);

} // namespace endivelever
