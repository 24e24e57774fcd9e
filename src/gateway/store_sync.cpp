#include "endivelever/decide/observe.hpp"
#include "endivelever/gateway/controllers.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr duration store_request_timeout = 800ms;
// Most sites require that a change is in force everywhere within two seconds. Detecting that a watcher lost
// the store and the takeover by other heads share that time.
constexpr duration store_check_interval = 500ms;
constexpr duration store_check_timeout = 450ms;
constexpr byte_count max_store_response_size{4UL << 20U};
// VMs that are not heads read the list of VMs at this interval; between reads, their heads send them the
// state of the fleet.
constexpr duration vm_list_interval = 30s;
// The heads of a failure domain answer a restarted VM well within this time.
constexpr duration initial_state_wait = 300ms;
// A peer that is further behind gets the complete list.
constexpr std::size_t max_logged_changes = 256;
constexpr unsigned status_ok = 200;
constexpr unsigned first_error_status = 300;
constexpr unsigned status_conflict = 409;

void note_store_response(gateway_board& board) {
    if (board.registry.store_unavailable) {
        write_event(board.log, "store_regained", {});
    }
    note_store_success(board.registry, boot_clock::now(), board.peers.confirmed_at);
}

void note_store_failure(gateway_board& board, const object_kind& kind, const std::string& cause) {
    if (!board.registry.store_unavailable) {
        write_event(board.log, "store_lost", {{"kind", kind.text}, {"cause", cause}});
    }
    count(board, "store_failures_total");
    note_store_failure(board.registry, boot_clock::now());
}

/// Parses a server entry. Counts and logs an invalid one and returns nothing.
std::optional<registered_server> parse_server_entry(gateway_board& board, const stored_object& object) {
    auto server = board.dialect.read_server(object.name, object.content);
    if (server) {
        return std::move(*server);
    }
    count(board, "server_entries_unreadable_total");
    write_event(board.log, "server_entry_unreadable",
                {{"server", object.name}, {"cause", server.error().message}});
    return std::nullopt;
}

std::set<failure_domain> domains_of(const std::vector<stored_object>& objects) {
    std::set<failure_domain> domains;
    for (const auto& it : objects) {
        domains.insert(failure_domain(it.name));
    }
    return domains;
}

void log_server(gateway_board& board, const registered_server& it, std::string_view source) {
    write_event(board.log, "server_entry",
                {{"server", it.id.text},
                 {"service", it.service.text},
                 {"address", it.address.text},
                 {"draining", it.draining},
                 {"source", source}});
}

/// Reflectors that this VM runs while it watches the store.
std::vector<object_reflector*> reflectors(gateway_board& board) {
    std::vector<object_reflector*> found;
    for (auto* it :
         {board.routing_reflector.get(), board.server_reflector.get(), board.evacuation_reflector.get()}) {
        if (it != nullptr) {
            found.push_back(it);
        }
    }
    return found;
}

/// Lists again after a failed check: watches opened during the outage may never get a response.
void handle_store_check_success(gateway_board& board) {
    if (std::exchange(board.store_check_failed, false)) {
        for (auto* it : reflectors(board)) {
            it->relist();
        }
    }
    send_status_to_other_domains(board); // confirms their state
}

void handle_store_check_failure(gateway_board& board, const object_kind& kind, const std::string& cause) {
    write_event(board.log, "store_check_failed", {{"kind", kind.text}, {"cause", cause}});
    if (!std::exchange(board.store_check_failed, true)) {
        // Only the connection may have failed; the next check uses a new one and follows at once.
        board.store_http_client->discard_idle(board.conf.store_address);
        board.last_store_check_at = {};
    }
    note_store_failure(board, kind, cause);
    send_status(board, true); // lets other heads take over the watch
}

/// Handlers that are the same for all kinds.
object_reflector::handlers common_handlers(gateway_board& board, const object_kind& kind) {
    object_reflector::handlers handlers;
    handlers.on_answer = [&board] { note_store_response(board); };
    handlers.on_failure = [&board, kind](const std::string& cause) {
        note_store_failure(board, kind, cause);
    };
    handlers.on_check_passed = [&board] { handle_store_check_success(board); };
    handlers.on_check_failed = [&board, kind](const std::string& cause) {
        handle_store_check_failure(board, kind, cause);
    };
    return handlers;
}

object_reflector::handlers routing_handlers(gateway_board& board) {
    auto handlers = common_handlers(board, board.dialect.routing_kind);
    const auto is_in_force = [&board](const stored_object& it) {
        return it.name == board.dialect.routing_object;
    };
    handlers.on_list = [&board, is_in_force](const std::vector<stored_object>& objects, object_revision at) {
        for (const auto& it : objects) {
            if (is_in_force(it)) {
                apply_routing(board, it, at, "list");
            }
        }
    };
    handlers.on_changes = [&board, is_in_force](const std::vector<object_change>& changes,
                                                object_revision at) {
        for (const auto& it : changes) {
            if (!it.removed && is_in_force(it.object)) {
                apply_routing(board, it.object, at, "watch");
            }
        }
    };
    return handlers;
}

object_reflector::handlers server_handlers(gateway_board& board) {
    auto handlers = common_handlers(board, board.dialect.server_kind);
    handlers.on_list = [&board](const std::vector<stored_object>& objects, object_revision at) {
        apply_server_list(board, objects, at);
    };
    handlers.on_changes = [&board](const std::vector<object_change>& changes, object_revision at) {
        apply_server_changes(board, changes, at);
    };
    return handlers;
}

object_reflector::handlers evacuation_handlers(gateway_board& board) {
    auto handlers = common_handlers(board, board.dialect.evacuation_kind);
    handlers.on_list = [&board](const std::vector<stored_object>& objects, object_revision at) {
        apply_evacuations(board, domains_of(objects), at, "list");
    };
    handlers.on_changes = [&board](const std::vector<object_change>& changes, object_revision at) {
        auto domains = board.evacuations.domains;
        for (const auto& it : changes) {
            if (it.removed) {
                domains.erase(failure_domain(it.object.name));
            } else {
                domains.insert(failure_domain(it.object.name));
            }
        }
        apply_evacuations(board, std::move(domains), at, "watch");
    };
    return handlers;
}

listed_server to_listed(const registered_server& it, std::uint32_t connections) {
    return {it.id,       it.service,  it.failure_domain, it.address,  it.slots,
            connections, it.draining, it.warm_up_left,   it.start_ms, it.statement};
}

/// Hash of this VM's id scaled to [0, 1), uniformly distributed over the fleet.
double own_fleet_position(const gateway_board& board) {
    constexpr unsigned digits = std::numeric_limits<double>::digits;
    return std::ldexp(static_cast<double>(hash_of(board.conf.vm) >> (64U - digits)),
                      -static_cast<int>(digits));
}

void update_pool(gateway_board& board, const routed_service& conf, time_point now) {
    auto& service = board.services[conf.id];
    service.in_config = true;
    auto& pool = service.pool;
    pool.service.id = conf.id;
    pool.service.connections_per_server = conf.max_connections;
    pool.own_domain = board.conf.failure_domain;
    pool.own_vm = board.conf.vm;
    pool.subset_size = preferred_subset_size;
    std::vector<listed_server> listed;
    for (const auto& it : servers_of(board.registry, conf.id)) {
        listed.push_back(to_listed(it, conf.max_connections));
    }
    const auto vms = board.peers.fleet_size;
    service.warm_up = conf.warm_up;
    service.warm_up_rate = conf.warm_up_rate;
    std::map<server_id, listed_server> known;
    for (const auto& it : pool.servers) {
        known.emplace(it.listed.id, it.listed);
    }
    update_servers(pool, listed, {}, vms, now);
    update_server_uses(board, service, known);
    service.default_response_time = assumed_time(board.routes->config, conf.id);
    if (board.peers.loaded) {
        const bool is_new = service.retries.max_tokens == 0.0;
        service.retries.max_tokens = vm_retry_limit(board.conf.retry_allowance,
                                                    std::max<std::size_t>(board.peers.peers.size() + 1, vms),
                                                    own_fleet_position(board));
        if (is_new) {
            // A VM that restarted may have spent its share just before.
            service.retries.tokens = service.retries.max_tokens / 2;
        }
    }
}

/// Content of this VM's entry in the store.
nlohmann::json own_registration(const gateway_board& board) {
    return {{"failure_domain", board.conf.failure_domain.text},
            {"peer_address", board.conf.peer_address.text},
            {"capacity", board.conf.capacity}};
}

std::string string_field(const nlohmann::json& object, const char* key) {
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint32_t uint_field(const nlohmann::json& object, const char* key) {
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint32_t>() : 0;
}

/// Applies the complete list of VMs. Registers this VM unless its entry is known to be stored as it should
/// be.
void apply_vm_list(gateway_board& board, const std::vector<stored_object>& objects) {
    std::vector<registered_vm> listed;
    bool has_own = false;
    for (const auto& it : objects) {
        if (it.content.is_object() && !string_field(it.content, "peer_address").empty()) {
            listed.push_back({vm_id(it.name), failure_domain(string_field(it.content, "failure_domain")),
                              string_field(it.content, "peer_address"), uint_field(it.content, "capacity")});
        }
        has_own = has_own || (it.name == board.conf.vm.text && it.content == own_registration(board));
    }
    board.registered = board.registered || has_own;
    if (!board.registered) {
        register_vm(board);
    }
    const bool first = !board.peers.loaded;
    apply_registered(board.peers, listed);
    send_status(board, false);
    if (first) {
        update_pools(board); // the share of the retry budget depends on the number of VMs
        update_watches(board);
        request_initial_state(board, boot_clock::now());
    }
}

void send_store_request(gateway_board& board, http_request request,
                        std::function<void(const store_reply&)> on_reply,
                        duration timeout = store_request_timeout) {
    request.timeout = timeout;
    call_store(board.store_access, std::move(request), max_store_response_size, std::move(on_reply));
}

void record_server_change(gateway_board& board, const object_change& change, object_revision at) {
    if (change.removed) {
        board.server_objects.erase(change.object.name);
    } else {
        board.server_objects[change.object.name] = change.object.content;
    }
    board.recent_server_changes.push_back({at, change});
    if (board.recent_server_changes.size() > max_logged_changes) {
        board.recent_changes_start = board.recent_server_changes.front().revision;
        board.recent_server_changes.pop_front();
    }
}

/// Applies the removal of a server's entry, or an entry that names no server any more.
void remove_server(gateway_board& board, const stored_object& object, const expired_servers* expired) {
    const server_id id(object.name);
    const auto now = boot_clock::now();
    if (expired != nullptr) {
        apply_peer_removal(board.registry, id, *expired, now);
    } else {
        apply_removed(board.registry, id, now);
    }
    const bool kept = board.registry.entries.contains(id);
    write_event(board.log, "server_entry_removed",
                {{"server", object.name},
                 {"kept_as_expired", kept},
                 {"source", expired == nullptr ? "watch" : "peer"},
                 {"store_away", board.registry.store_unavailable},
                 {"revision", static_cast<std::int64_t>(object.mod_revision.value)}});
}

/// Sends a health check to servers that the copy lists although their entries had been removed: only their
/// own answer tells those that live from those that have left.
void confirm_removed_servers(gateway_board& board) {
    for (auto& [id, service] : board.services) {
        for (auto& view : service.pool.servers) {
            const auto found = board.registry.ended.find(view.listed.id);
            if (found != board.registry.ended.end() && found->second.end == incarnation_end::removed) {
                confirm_server(board, view);
            }
        }
    }
}

using list_request_factory = std::function<http_request(const object_kind&, const std::string& after)>;
using list_callback = std::function<void(const std::vector<stored_object>&, object_revision)>;

/// Reads all objects of a kind page by page.
/// @param take        receives all objects and the revision of the first page
/// @param on_failure  called if a page could not be read
void read_list(gateway_board& board, const object_kind& kind, const list_request_factory& call,
               list_callback take, std::function<void()> on_failure, object_listing so_far = {}) {
    auto request = call(kind, so_far.after);
    send_store_request(
        board, std::move(request),
        [&board, kind, call, take = std::move(take), on_failure = std::move(on_failure),
         so_far = std::move(so_far)](const store_reply& reply) mutable {
            const auto& transfer = reply.http.result;
            const bool answered = transfer.failure == transfer_failure::none &&
                                  transfer.status == status_ok && !reply.is_outdated;
            auto page = answered
                            ? board.dialect.store.parse_page(reply.http.body, reply.era)
                            : result<object_page>(fail("gateway", 1, "object store did not return a list"));
            const auto added = std::move(page).and_then(
                [&so_far](object_page it) { return add_page(so_far, std::move(it)); });
            if (!added) {
                count(board, "store_failures_total");
                write_event(board.log, "store_list_failed",
                            {{"kind", kind.text},
                             {"status", static_cast<std::int64_t>(transfer.status)},
                             {"outdated", reply.is_outdated},
                             {"cause", answered ? added.error().message : transfer.detail}});
                on_failure();
                return;
            }
            if (so_far.is_complete) {
                take(so_far.objects, so_far.revision);
            } else {
                read_list(board, kind, call, std::move(take), std::move(on_failure), std::move(so_far));
            }
        });
}

/// Reads the list of VMs. A list that is seconds old is good enough: VMs rarely change, and peers send their
/// own status.
void list_vms(gateway_board& board) {
    const auto take = [&board](const std::vector<stored_object>& objects, object_revision /*at*/) {
        apply_vm_list(board, objects);
    };
    read_list(board, board.dialect.vm_kind, board.dialect.store.list_stale, take, [] {});
}

} // namespace

void apply_routing(gateway_board& board, const stored_object& object, object_revision revision,
                   std::string_view source) {
    auto config = board.dialect.read_routing(object.content);
    if (!config) {
        write_event(board.log, "routing_rejected",
                    {{"object", object.name}, {"cause", config.error().message}});
        return;
    }
    if (board.routes != nullptr && config->version <= board.routes->config.version) {
        return;
    }
    const bool had_routes = board.routes != nullptr;
    const auto old_version = had_routes ? board.routes->config.version.value : 0;
    board.routing_revision = revision;
    board.routing_content = object.content;
    board.compressed_routing.clear();
    board.routes = make_route_table(std::move(*config));
    write_event(board.log, "routing_applied",
                {{"version", static_cast<std::int64_t>(board.routes->config.version.value)},
                 {"source", source},
                 {"replaces", static_cast<std::int64_t>(old_version)},
                 {"routes", static_cast<std::int64_t>(board.routes->config.routes.size())},
                 {"revision", static_cast<std::int64_t>(revision.value)}});
    review_keys(board);
    update_pools(board);
    send_status(board, true);
}

void apply_server_list(gateway_board& board, const std::vector<stored_object>& objects, object_revision at,
                       const expired_servers* expired) {
    std::vector<registered_server> listed;
    listed.reserve(objects.size());
    for (const auto& it : objects) {
        if (auto server = parse_server_entry(board, it)) {
            listed.push_back(std::move(*server));
        }
    }
    const auto now = boot_clock::now();
    const bool is_copy = board.registry.loaded && at.era > board.servers_revision.era;
    if (is_copy) {
        begin_copy(board.registry, now);
    }
    if (expired != nullptr) {
        apply_peer_list(board.registry, listed, *expired, now);
    } else {
        apply_listed(board.registry, listed, now);
    }
    if (is_copy) {
        end_copy(board.registry);
    }
    board.server_objects.clear();
    for (const auto& it : objects) {
        board.server_objects[it.name] = it.content;
    }
    board.recent_server_changes.clear();
    board.recent_changes_start = at;
    board.servers_revision = at;
    write_event(board.log, "servers_listed",
                {{"entries", static_cast<std::int64_t>(listed.size())},
                 {"era", static_cast<std::int64_t>(at.era.value)},
                 {"revision", static_cast<std::int64_t>(at.value)}});
    update_pools(board);
    if (is_copy) {
        confirm_removed_servers(board);
    }
    send_status(board, true);
}

void apply_server_changes(gateway_board& board, const std::vector<object_change>& changes, object_revision at,
                          const expired_servers* expired) {
    for (const auto& it : changes) {
        record_server_change(board, it, at);
        const auto server = it.removed ? std::nullopt : parse_server_entry(board, it.object);
        if (server) {
            log_server(board, *server, expired == nullptr ? "watch" : "peer");
            apply_changed(board.registry, *server);
        } else {
            remove_server(board, it.object, expired);
        }
    }
    board.servers_revision = at;
    update_pools(board);
    send_status(board, true);
}

void update_watches(gateway_board& board) {
    if (!board.duties.watches) {
        board.routing_reflector.reset();
        board.server_reflector.reset();
        board.evacuation_reflector.reset();
        return;
    }
    if (board.routing_reflector == nullptr) {
        // A kept connection may be dead; its first list would wait for the timeout.
        board.store_http_client->discard_idle(board.conf.store_address);
        board.routing_reflector = std::make_unique<object_reflector>(
            board.store_access, board.dialect.routing_kind, routing_handlers(board));
        board.server_reflector = std::make_unique<object_reflector>(
            board.store_access, board.dialect.server_kind, server_handlers(board));
        if (tracks_evacuations(board)) {
            board.evacuation_reflector = std::make_unique<object_reflector>(
                board.store_access, board.dialect.evacuation_kind, evacuation_handlers(board));
        }
    }
}

void begin_store_era(gateway_board& board, store_era before) {
    write_event(board.log, "store_era",
                {{"era", static_cast<std::int64_t>(board.store_access.era.value)},
                 {"before", static_cast<std::int64_t>(before.value)},
                 {"servers_revision", static_cast<std::int64_t>(board.servers_revision.value)},
                 {"evacuations_revision", static_cast<std::int64_t>(board.evacuations.revision.value)},
                 {"watches", board.duties.watches}});
    for (auto* it : reflectors(board)) {
        if (it->revision().value != 0 && it->revision().era < board.store_access.era) {
            it->relist();
        }
    }
    if (before != store_era{}) {
        count(board, "store_eras_total");
        for (auto& it : board.quota.leases) {
            note_new_era(it);
        }
        board.registered = false; // the copy may lack the entry; the next list shows it
    }
}

void register_vm(gateway_board& board) {
    auto request =
        board.dialect.store.create(board.dialect.vm_kind, board.conf.vm.text, own_registration(board));
    const auto is_stored = [](const store_reply& reply) {
        const auto& transfer = reply.http.result;
        return transfer.failure == transfer_failure::none && transfer.status < first_error_status &&
               !reply.is_outdated;
    };
    send_store_request(board, std::move(request), [&board, is_stored](const store_reply& reply) {
        if (reply.http.result.status != status_conflict) {
            board.registered = is_stored(reply);
            return;
        }
        // The entry was written before a restart of this VM, or the response to an earlier write was lost.
        auto update =
            board.dialect.store.replace(board.dialect.vm_kind, board.conf.vm.text, own_registration(board));
        send_store_request(board, std::move(update), [&board, is_stored](const store_reply& update_reply) {
            board.registered = is_stored(update_reply);
        });
    });
}

void request_initial_state(gateway_board& board, time_point now) {
    const bool has_state = board.routes != nullptr && board.registry.loaded &&
                           (!tracks_evacuations(board) || is_known(board.evacuations));
    const bool is_due = board.duties.is_head ? board.peers.loaded && !board.duties.watches
                                             : now - board.peers.started >= initial_state_wait;
    if (board.conf.first_start || board.initial_state_requested || has_state || !is_due) {
        return;
    }
    board.initial_state_requested = true;
    // After a failure the state comes from the heads, or from this VM's own watches if it hears no head.
    const auto ignore_failure = [] {};
    const auto on_routing = [&board, started = now](const std::vector<stored_object>& objects,
                                                    object_revision at) {
        note_current_read(board.currency, started);
        for (const auto& it : objects) {
            if (it.name == board.dialect.routing_object) {
                apply_routing(board, it, at, "start");
            }
        }
    };
    const auto on_servers = [&board](const std::vector<stored_object>& objects, object_revision at) {
        if (!board.registry.loaded) {
            apply_server_list(board, objects, at);
        }
    };
    // Stale reads are not allowed here: they could return an earlier configuration than callers saw before
    // the restart, or a server that has left since.
    read_list(board, board.dialect.routing_kind, board.dialect.store.list, on_routing, ignore_failure);
    read_list(board, board.dialect.server_kind, board.dialect.store.list, on_servers, ignore_failure);
    if (tracks_evacuations(board)) {
        const auto on_evacuations = [&board](const std::vector<stored_object>& objects, object_revision at) {
            apply_evacuations(board, domains_of(objects), at, "start");
        };
        read_list(board, board.dialect.evacuation_kind, board.dialect.store.list, on_evacuations,
                  ignore_failure);
    }
}

void refresh_vm_list(gateway_board& board) {
    const bool due = board.duties.is_head || !board.peers.loaded || !board.registered ||
                     boot_clock::now() - board.vm_list_requested_at >= vm_list_interval;
    if (!due) {
        return;
    }
    board.vm_list_requested_at = boot_clock::now();
    list_vms(board);
}

void check_store(gateway_board& board, time_point now) {
    if (board.routing_reflector == nullptr || now - board.last_store_check_at < store_check_interval) {
        return;
    }
    board.last_store_check_at = now;
    for (auto* it : reflectors(board)) {
        const bool proves_currency =
            it == board.routing_reflector.get() && board.conf.revocation_limit > duration::zero();
        it->check(store_check_timeout, proves_currency ? object_reflector::freshness::current
                                                       : object_reflector::freshness::may_be_stale);
    }
}

void update_pools(gateway_board& board) {
    if (board.routes == nullptr) {
        return;
    }
    const auto now = boot_clock::now();
    for (auto& it : board.services) {
        it.second.in_config = false;
    }
    for (const auto& it : board.routes->config.services) {
        update_pool(board, it, now);
    }
    std::vector<wait_queue> dropped;
    std::erase_if(board.services, [&dropped](auto& it) {
        if (!it.second.in_config) {
            dropped.push_back(std::move(it.second.waiting));
        }
        return !it.second.in_config;
    });
    for (const auto& queue : dropped) {
        refuse_all(board, queue, "service was dropped from the configuration");
    }
}

} // namespace endivelever
