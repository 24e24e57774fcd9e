#include "endivelever/decide/choose_server.hpp"
#include "endivelever/decide/observe.hpp"
#include "endivelever/decide/server_use.hpp"
#include "endivelever/gateway/controllers.hpp"

#include <algorithm>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr unsigned status_ok = 200;
// Longer than a request waits for probe responses: a late response still updates the view of its server.
constexpr duration probe_timeout = 300ms;
constexpr byte_count max_probe_response_size{4096};
// Used for a service without enough responses for a median whose routes have no latency target.
constexpr duration fallback_response_time = 50ms;
// If no server of a service has answered a probe for this long, servers are chosen by the load reports of
// earlier responses.
constexpr duration probe_silence_limit = 40ms;
constexpr duration min_retry_after = 100ms;
constexpr duration max_retry_after = 10s;
constexpr const char* stopping_reason = "this VM is stopping";
constexpr const char* no_server_reason = "no server can take the request";
constexpr const char* no_room_reason = "servers have no room in time, the request has not run";

const routed_service* find_service_config(const gateway_board& board, const service_id& id) {
    const auto& services = board.routes->config.services;
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&id](const routed_service& it) { return it.id == id; });
    return found == services.end() ? nullptr : &*found;
}

/// Slots that recent load reports show as free.
std::uint32_t count_free_slots(const gateway_service& service, time_point now) {
    std::uint32_t n = 0;
    for (const auto& view : service.pool.servers) {
        if (now - view.reported_at <= recent_report_age && make_offer(service, view, now).usable) {
            const auto present = adjusted_report(view);
            const auto used = present.running + present.queued;
            n += view.slots > used ? view.slots - used : 0;
        }
    }
    return n;
}

void count_refusal(gateway_board& board, const char* reason, std::uint32_t rank) {
    std::string series = "queue_refusals_total{reason=\"";
    series.append(reason).append("\",priority=\"").append(std::to_string(rank)).append("\"}");
    count(board, series);
}

/// Sends the request at `position` of the wait queue to a server.
void dispatch_waiting(gateway_board& board, gateway_service& service, std::size_t position,
                      server_view& view) {
    const auto now = boot_clock::now();
    const auto number = service.waiting[position].request;
    note_sent(service.room, service.waiting[position], now);
    record(service.queue_wait, now - service.waiting[position].queued_at);
    service.waiting.erase(service.waiting.begin() + static_cast<std::ptrdiff_t>(position));
    const auto found = board.requests.find(number);
    if (found != board.requests.end() && found->second->exchange != nullptr) {
        start_attempt(board, *found->second, view);
    }
}

waiting_request* find_waiting(gateway_service& service, request_number number, attempt_purpose purpose) {
    const auto found =
        std::find_if(service.waiting.begin(), service.waiting.end(), [&](const waiting_request& it) {
            return it.request == number && it.purpose == purpose;
        });
    return found == service.waiting.end() ? nullptr : &*found;
}

void probe_servers(gateway_board& board, gateway_service& service, waiting_request& it, std::size_t wanted);
void offer_recently_reported(gateway_board& board, gateway_service& service, duration age, time_point now);

/// Continues with a request whose probes are answered or overdue: probes further servers, or, once enough
/// were probed, offers it the servers with a recent load report.
void continue_search(gateway_board& board, gateway_service& service, waiting_request& it) {
    it.probes_pending = 0;
    if (it.probes_sent < max_probes_per_request) {
        probe_servers(board, service, it, followup_probes);
    }
    if (it.probes_pending == 0 && !it.probing_done) {
        it.probing_done = true;
        offer_recently_reported(board, service, recent_report_age, boot_clock::now());
    }
}

void handle_load_report(gateway_board& board, const service_id& id, const server_id& server,
                        const http_reply& reply) {
    const auto found = board.services.find(id);
    if (found == board.services.end() || reply.result.failure != transfer_failure::none) {
        return;
    }
    auto& service = found->second;
    const auto index = find_server(service.pool, server);
    if (index >= service.pool.servers.size()) {
        return;
    }
    auto& view = service.pool.servers[index];
    const auto facts =
        board.dialect.read_response(reply.result.status, reply.headers, expected_response_time(service));
    if (!apply_identity(board, view, facts, directive_source::probe)) {
        return;
    }
    view.reports_unhealthy = reply.result.status != status_ok;
    apply_directives(board, view, facts, directive_source::probe);
    if (facts.warm_up_left) {
        note_cold_server(board, service, view, *facts.warm_up_left);
    }
    if (!facts.report) {
        return;
    }
    const auto now = boot_clock::now();
    note_report(view, *facts.report, now);
    service.last_probe_report_at = now;
    assign_waiting_requests(board, service, view);
}

void handle_probe_response(gateway_board& board, const service_id& id, request_number number,
                           attempt_purpose purpose, const server_id& server, const http_reply& reply) {
    handle_load_report(board, id, server, reply);
    const auto found = board.services.find(id);
    auto* it = found == board.services.end() ? nullptr : find_waiting(found->second, number, purpose);
    if (it == nullptr || it->probes_pending == 0) {
        return;
    }
    --it->probes_pending;
    if (it->probes_pending == 0) {
        continue_search(board, found->second, *it);
    }
}

void send_probe(gateway_board& board, const routed_service& conf, server_view& view, time_point now,
                std::function<void(const http_reply&)> on_reply) {
    view.last_probe = now;
    http_request request;
    request.address = view.listed.address;
    request.target = conf.health_path;
    request.headers.push_back({"Host", view.listed.address.text});
    request.timeout = probe_timeout;
    request.connect_timeout = probe_timeout;
    count(board, "probes_total");
    fetch(*board.server_http_client, std::move(request), max_probe_response_size, std::move(on_reply));
}

/// Probes up to `wanted` servers that a request has not tried yet, as far as the probe budget allows.
void probe_servers(gateway_board& board, gateway_service& service, waiting_request& it, std::size_t wanted) {
    const auto* conf = find_service_config(board, service.pool.service.id);
    if (conf == nullptr) {
        return;
    }
    const auto now = boot_clock::now();
    const auto n = take_probes(board.probes, wanted);
    for (const auto index :
         pick_candidates(service.pool, it.tried, n, it.prefers_local_domain, now, board.random)) {
        auto& view = service.pool.servers[index];
        send_probe(board, *conf, view, now,
                   [&board, id = conf->id, number = it.request, purpose = it.purpose,
                    server = view.listed.id](const http_reply& reply) {
                       handle_probe_response(board, id, number, purpose, server, reply);
                   });
        ++it.probes_sent;
        ++it.probes_pending;
        it.last_probe_at = now;
    }
}

/// True if no server wants a request now, but one will before it is too late for this request.
bool waits_for_allowance(const gateway_service& service, const waiting_request& it, time_point now) {
    const auto at = first_request_at(service.pool, it.tried, now);
    return at > now && at != time_point::max() && at + expected_response_time(service) <= it.deadline;
}

/// @return when a caller should try again: after the first server takes a request, spread so that callers do
/// not all return at that moment
duration retry_after_allowance(const gateway_service& service, const std::vector<server_id>& excluded,
                               time_point now, random_source& random) {
    const auto at = first_request_at(service.pool, excluded, now);
    if (at <= now || at == time_point::max()) {
        return min_retry_after;
    }
    const auto wait = std::clamp<duration>(at - now, min_retry_after, max_retry_after);
    return wait +
           duration(static_cast<duration::rep>(random_unit(random) * static_cast<double>(wait.count())));
}

void dispatch_without_probe(gateway_board& board, gateway_service& service, std::size_t position) {
    const auto index =
        choose_server(service.pool, service.waiting[position].tried, boot_clock::now(), board.random);
    if (index) {
        dispatch_waiting(board, service, position, service.pool.servers[*index]);
        return;
    }
    const auto it = service.waiting[position];
    const auto now = boot_clock::now();
    if (waits_for_allowance(service, it, now)) {
        return;
    }
    service.waiting.erase(service.waiting.begin() + static_cast<std::ptrdiff_t>(position));
    const auto found = board.requests.find(it.request);
    if (found != board.requests.end()) {
        fail_unassigned(board, *found->second, it.purpose, no_server_reason,
                        retry_after_allowance(service, it.tried, now, board.random));
    }
}

void mark_unresponsive_servers(gateway_service& service, time_point now) {
    for (auto& view : service.pool.servers) {
        const bool answered = view.reported_at >= view.last_probe;
        if (!answered && view.probe_timed_out_at < view.last_probe &&
            now - view.last_probe > probe_response_limit) {
            note_probe_timeout(view, now);
        }
    }
}

/// Refuses requests that can no longer meet their latency target while others that still can are waiting.
void refuse_overdue(gateway_board& board, gateway_service& service, time_point now) {
    const auto expected = expected_response_time(service);
    for (const auto number : requests_to_refuse(service.waiting, expected, now)) {
        remove_waiting(service.waiting, number);
        const auto found = board.requests.find(number);
        if (found != board.requests.end()) {
            count_refusal(board, "overdue", found->second->rank);
            fail_unassigned(board, *found->second, attempt_purpose::first, "servers are full", expected);
        }
    }
}

/// Refuses requests that would not finish in time, if the work that waits exceeds the room.
void refuse_without_room(gateway_board& board, gateway_service& service, time_point now) {
    for (const auto& it :
         refuse_for_room(service.waiting, service.room, room_of(service, now), now, board.random)) {
        remove_waiting(service.waiting, it.request);
        const auto found = board.requests.find(it.request);
        if (found != board.requests.end()) {
            count_refusal(board, to_string(it.reason), it.rank);
            fail_unassigned(board, *found->second, attempt_purpose::first, no_room_reason, it.retry_after);
        }
    }
}

/// Refuses the waiting requests for which `is_unservable` is true.
/// @param label  the reason in metrics
template <typename Condition>
void refuse_if(gateway_board& board, gateway_service& service, const Condition& is_unservable,
               const char* label, const char* reason, duration retry_after) {
    wait_queue unservable;
    std::erase_if(service.waiting, [&](const waiting_request& it) {
        const bool drop = is_unservable(it);
        if (drop) {
            unservable.push_back(it);
        }
        return drop;
    });
    for (const auto& it : unservable) {
        count_refusal(board, label, it.rank);
    }
    refuse_all(board, unservable, reason, retry_after);
}

/// Refuses requests that no server can answer before their final response is due, and during a planned stop
/// those that could outlast this process.
void refuse_unservable(gateway_board& board, gateway_service& service, time_point now) {
    const auto expected = expected_response_time(service);
    refuse_if(
        board, service, [&](const waiting_request& it) { return cannot_meet_deadline(it, expected, now); },
        "deadline", "no server has room in time", expected);
    refuse_if(board, service,
              [&](const waiting_request& it) { return !accepts_request(board, now, it.deadline); },
              "stopping", stopping_reason, {});
}

/// Offers the servers whose load report is at most `age` old, in order of predicted response time.
void offer_recently_reported(gateway_board& board, gateway_service& service, duration age, time_point now) {
    for (const auto index : recently_reported(service, age, now)) {
        assign_waiting_requests(board, service, service.pool.servers[index]);
    }
}

/// Sends waiting requests by the load reports of earlier responses if no server answers probes.
void dispatch_unanswered(gateway_board& board, gateway_service& service, time_point now) {
    const bool no_reports = now - service.last_probe_report_at > probe_silence_limit;
    for (std::size_t i = service.waiting.size(); no_reports && i > 0; --i) {
        if (i > service.waiting.size()) {
            continue; // a request that ended also removed its second entry (a retry or hedge)
        }
        const auto& it = service.waiting[i - 1];
        if (now - it.queued_at > probe_silence_limit && it.purpose != attempt_purpose::hedge) {
            dispatch_without_probe(board, service, i - 1);
        }
    }
}

/// Continues with requests whose probes were not all answered in time.
void expire_probes(gateway_board& board, gateway_service& service, time_point now) {
    std::vector<std::pair<request_number, attempt_purpose>> due;
    for (const auto& it : service.waiting) {
        if (!it.probing_done && now - std::max(it.last_probe_at, it.queued_at) > probe_response_limit) {
            due.emplace_back(it.request, it.purpose);
        }
    }
    for (const auto& [number, purpose] : due) {
        if (auto* it = find_waiting(service, number, purpose)) {
            continue_search(board, service, *it);
        }
    }
}

} // namespace

duration expected_response_time(const gateway_service& service) {
    if (service.median_response_time > duration::zero()) {
        return service.median_response_time;
    }
    return service.default_response_time > duration::zero() ? service.default_response_time
                                                            : fallback_response_time;
}

server_offer make_offer(const gateway_service& service, const server_view& view, time_point now) {
    server_offer offer;
    offer.server = view.listed.id;
    offer.in_local_domain = view.listed.failure_domain == service.pool.own_domain;
    const auto present = adjusted_report(view);
    offer.usable = may_use(view, now) && view.state != server_state::ejected &&
                   view.in_flight.size() < view.connection_share;
    offer.has_free_slot = has_room(present, view.slots);
    offer.has_spare_capacity = is_uncontended(present, view.slots);
    offer.predicted_latency = predicted_time(present, view.slots, expected_response_time(service));
    return offer;
}

room_forecast room_of(const gateway_service& service, time_point now) {
    return forecast_room(service.room, count_free_slots(service, now), now);
}

std::vector<server_index> recently_reported(const gateway_service& service, duration age, time_point now) {
    std::vector<std::pair<duration, server_index>> recent;
    for (server_index i = 0; i < service.pool.servers.size(); ++i) {
        const auto& view = service.pool.servers[i];
        if (now - view.reported_at <= age) {
            recent.emplace_back(make_offer(service, view, now).predicted_latency, i);
        }
    }
    std::sort(recent.begin(), recent.end());
    std::vector<server_index> order;
    order.reserve(recent.size());
    for (const auto& it : recent) {
        order.push_back(it.second);
    }
    return order;
}

std::optional<std::size_t> select_waiting(const gateway_service& service, const server_view& view,
                                          time_point now) {
    return select_for_room(service.waiting, service.room, forecast_room(service.room, 0, now),
                           make_offer(service, view, now), expected_response_time(service), now);
}

std::optional<queue_refusal> find_queue_refusal(const gateway_board& board, const gateway_service& service,
                                                time_point deadline, time_point now, random_source& random) {
    if (service.pool.servers.empty()) {
        return queue_refusal{"service has no server", min_retry_after};
    }
    if (!accepts_request(board, now, deadline)) {
        return queue_refusal{stopping_reason, {}};
    }
    const auto first_at = first_request_at(service.pool, {}, now);
    if (first_at > now && (first_at == time_point::max() || first_at > deadline)) {
        return queue_refusal{"servers want no request in time",
                             retry_after_allowance(service, {}, now, random)};
    }
    return std::nullopt;
}

waiting_request make_waiting(const gateway_service& service, const gateway_request& it,
                             attempt_purpose purpose, time_point now) {
    waiting_request entry;
    entry.request = it.number;
    entry.purpose = purpose;
    entry.rank = it.rank;
    entry.arrived = it.arrived;
    entry.queued_at = now;
    entry.prior_attempts_time = it.prior_attempt_time;
    entry.latency_target = it.matched_route->latency_target;
    entry.deadline = it.deadline;
    entry.prefers_local_domain = it.matched_route->large_response;
    if (it.tenant != nullptr) {
        entry.tenant = it.tenant->id.text;
    }
    const auto work = service.work.find(it.matched_route->id);
    entry.expected_work = work == service.work.end() ? expected_response_time(service) : work->second.mean;
    entry.work_spread = work == service.work.end() ? duration::zero() : work->second.spread;
    for (const auto& attempt : it.attempts) {
        entry.tried.push_back(attempt->server);
    }
    return entry;
}

void enqueue_request(gateway_board& board, gateway_request& it, attempt_purpose purpose) {
    auto& service = board.services[it.service];
    const auto now = boot_clock::now();
    if (const auto refusal = find_queue_refusal(board, service, it.deadline, now, board.random)) {
        fail_unassigned(board, it, purpose, refusal->reason, refusal->retry_after);
        return;
    }
    const auto entry = make_waiting(service, it, purpose, now);
    note_arrival(service.room, entry, now);
    service.waiting.push_back(entry);
    if (service.reports_load && service.waiting.front().probing_done) {
        // No probes for this request: requests that already wait get the next server with a free slot.
        service.waiting.back().probing_done = true;
    } else if (service.reports_load) {
        offer_recently_reported(board, service, fresh_report_age, entry.queued_at);
        if (auto* waiting = find_waiting(service, it.number, purpose)) {
            probe_servers(board, service, *waiting, initial_probes);
        }
    } else if (purpose != attempt_purpose::hedge) {
        dispatch_without_probe(board, service, service.waiting.size() - 1);
    } else {
        service.waiting.pop_back();
    }
}

void refuse_all(gateway_board& board, const wait_queue& queue, const char* reason, duration retry_after) {
    for (const auto& it : queue) {
        const auto found = board.requests.find(it.request);
        if (found != board.requests.end()) {
            fail_unassigned(board, *found->second, it.purpose, reason, retry_after);
        }
    }
}

void confirm_server(gateway_board& board, server_view& view) {
    const auto service = board.services.find(view.listed.service);
    const auto* conf = find_service_config(board, view.listed.service);
    if (service == board.services.end() || conf == nullptr || view.evacuated ||
        take_probes(board.probes, 1) == 0) {
        return;
    }
    send_probe(board, *conf, view, boot_clock::now(),
               [&board, id = conf->id, server = view.listed.id](const http_reply& reply) {
                   handle_load_report(board, id, server, reply);
               });
}

void assign_waiting_requests(gateway_board& board, gateway_service& service, server_view& view) {
    while (!service.waiting.empty()) {
        const auto now = boot_clock::now();
        const auto position = select_waiting(service, view, now);
        if (!position) {
            return;
        }
        dispatch_waiting(board, service, *position, view);
    }
}

void probe_limited_servers(gateway_board& board, gateway_service& service, time_point now) {
    const auto* conf = find_service_config(board, service.pool.service.id);
    if (conf == nullptr || !service.reports_load) {
        return;
    }
    for (const auto index : limited_servers_to_probe(service.pool, board.peers.fleet_size, now)) {
        if (take_probes(board.probes, 1) == 0) {
            return;
        }
        auto& view = service.pool.servers[index];
        send_probe(board, *conf, view, now,
                   [&board, id = conf->id, server = view.listed.id](const http_reply& reply) {
                       handle_load_report(board, id, server, reply);
                   });
    }
}

void process_wait_queue(gateway_board& board, gateway_service& service, time_point now) {
    mark_unresponsive_servers(service, now);
    // If no server may be used for a while, requests do not wait for room.
    const bool is_usable = first_request_at(service.pool, {}, now) <= now;
    review_room(service.room, is_usable ? service.waiting : wait_queue{}, now);
    if (service.waiting.empty()) {
        return;
    }
    refuse_unservable(board, service, now);
    if (is_usable) {
        refuse_without_room(board, service, now);
    }
    refuse_overdue(board, service, now);
    offer_recently_reported(board, service, recent_report_age, now);
    dispatch_unanswered(board, service, now);
    expire_probes(board, service, now);
    if (!service.waiting.empty() && service.waiting.front().probing_done) {
        probe_servers(board, service, service.waiting.front(), probes_per_review);
    }
}

} // namespace endivelever
