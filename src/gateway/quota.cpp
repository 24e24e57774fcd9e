#include "endivelever/gateway/controllers.hpp"
#include "endivelever/net/datagram_socket.hpp"

#include <algorithm>
#include <vector>
#include <xxhash.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned first_error_status = 300;
// An allocator answers within one round trip. A datagram may be lost, so a request asks twice.
constexpr duration answer_limit = 30ms;
constexpr std::uint32_t max_asks = 2;
// Requests to an allocator whose answers are still accepted.
constexpr std::size_t max_open_asks = 4096;
constexpr duration lease_call_timeout = 700ms;
constexpr byte_count max_lease_reply{16UL << 10U};
// The list of VMs changes more slowly.
constexpr duration fleet_update_interval = 250ms;
// Until another allocator has taken over.
constexpr duration no_allocator_retry_after = 300ms;

bool has_quota(const gateway_board& board, const gateway_request& it) {
    return has_quotas(board) && it.tenant != nullptr && it.tenant->rate > 0.0;
}

quota_bounds bounds_of(const gateway_board& board) {
    return {board.conf.quota_window, board.conf.quota_overage, board.conf.quota_tolerance};
}

quota_limit limit_of(const tenant_config& tenant) {
    return {tenant.rate, tenant.burst};
}

std::string lease_name(std::size_t shard) {
    return "shard-" + std::to_string(shard);
}

json to_json(const quota_lease_record& record) {
    return {{"holder", std::to_string(record.holder)}, {"life", std::to_string(record.life.value)},
            {"term", std::to_string(record.term)},     {"gate_ms", std::to_string(record.gate_ms)},
            {"era", std::to_string(record.era.value)}, {"released", record.released}};
}

std::uint64_t number_field(const json& object, const char* key) {
    const auto found = object.find(key);
    return found != object.end() && found->is_string()
               ? std::strtoull(found->get_ref<const std::string&>().c_str(), nullptr, 10)
               : 0;
}

quota_lease_record read_record(const json& content) {
    if (!content.is_object()) {
        return {};
    }
    quota_lease_record record{number_field(content, "holder"), incarnation{number_field(content, "life")},
                              number_field(content, "term"),
                              content.value("released", json(false)) == json(true)};
    if (content.contains("gate_ms")) {
        record.gate_ms = static_cast<std::uint32_t>(number_field(content, "gate_ms"));
    }
    record.era = store_era{number_field(content, "era")};
    return record;
}

/// Position of this VM among the VMs that may hold the lease of a shard; no value if it is none of them.
std::optional<std::size_t> candidate_position(const std::vector<vm_id>& candidates, const vm_id& own,
                                              std::size_t shard) {
    const auto found = std::find(candidates.begin(), candidates.end(), own);
    if (found == candidates.end()) {
        return std::nullopt;
    }
    const auto index = static_cast<std::size_t>(found - candidates.begin());
    return (index + candidates.size() - shard % candidates.size()) % candidates.size();
}

void log_lease(gateway_board& board, const char* event, std::size_t shard) {
    const auto& lease = board.quota.leases.at(shard);
    write_event(board.log, event,
                {{"shard", static_cast<std::int64_t>(shard)},
                 {"era", static_cast<std::int64_t>(lease.revision.era.value)},
                 {"revision", static_cast<std::int64_t>(lease.revision.value)},
                 {"grants_in_ms", to_milliseconds(lease.grants_from - boot_clock::now())}});
}

void handle_lease_reply(gateway_board& board, std::size_t shard, quota_lease_action action,
                        const quota_lease_record& record, time_point started, const store_reply& reply) {
    auto& lease = board.quota.leases.at(shard);
    const auto& transfer = reply.http.result;
    const bool answered = transfer.failure == transfer_failure::none;
    const auto object = answered ? board.dialect.store.parse_object(reply.http.body, reply.era)
                                 : result<stored_object>(fail("gateway", 3, transfer.detail));
    if (answered && transfer.status < first_error_status && object && reply.era == record.era) {
        const bool was_holder = lease.is_holder;
        note_written(lease, object->mod_revision, record, started);
        if (!was_holder && lease.is_holder) {
            board.quota.starts_full.at(shard) =
                action == quota_lease_action::create && !lease.may_have_former;
            std::erase_if(board.quota.buckets,
                          [shard](const auto& it) { return shard_of(it.first) == shard; });
            count(board, "quota_leases_taken_total");
            log_lease(board, "quota_lease_taken", shard);
            send_status(board, true);
        } else if (was_holder && !lease.is_holder) {
            log_lease(board, "quota_lease_released", shard);
            send_status(board, true);
        }
        return;
    }
    note_write_failed(lease);
    const bool is_new_era = reply.era > record.era;
    const bool shows_object = object && (transfer.status == status_conflict || is_new_era);
    const bool shows_none = transfer.status == status_not_found && action != quota_lease_action::create;
    if (!answered || reply.is_outdated || (!shows_object && !shows_none)) {
        return;
    }
    const bool was_holder = lease.is_holder;
    if (action == quota_lease_action::create || is_new_era || shows_none) {
        // What is stored is known now, so there is no failed attempt to wait for.
        lease.write_started = started - quota_renewal_interval;
    }
    if (shows_object) {
        note_seen(lease, object->mod_revision, read_record(object->content), hash_of(board.conf.vm),
                  board.own_incarnation, boot_clock::now());
    } else {
        note_lost(lease, reply.era);
    }
    if (was_holder && !lease.is_holder) {
        log_lease(board, "quota_lease_lost", shard);
    }
    maintain_quota_leases(board, boot_clock::now());
}

void write_lease(gateway_board& board, std::size_t shard, quota_lease_action action,
                 const quota_lease_record& record) {
    auto& lease = board.quota.leases.at(shard);
    const auto& kind = board.dialect.quota_lease_kind;
    auto request =
        action == quota_lease_action::create
            ? board.dialect.store.create(kind, lease_name(shard), to_json(record))
            : board.dialect.store.replace_if(kind, lease_name(shard), lease.revision, to_json(record));
    request.timeout = lease_call_timeout;
    const auto started = boot_clock::now();
    note_write_started(lease, started);
    call_store(board.store_access, std::move(request), max_lease_reply,
               [&board, shard, action, record, started](const store_reply& reply) {
                   handle_lease_reply(board, shard, action, record, started, reply);
               });
}

/// Address of the VM that holds the lease of a shard, as far as this VM knows; empty if it knows none.
std::string allocator_address(const gateway_board& board, std::size_t shard) {
    const auto& lease = board.quota.leases.at(shard);
    if (lease.revision.value == 0) {
        return {};
    }
    for (const auto& it : board.peers.peers) {
        if (hash_of(it.first) == lease.record.holder) {
            return it.second.record.peer_address;
        }
    }
    return {};
}

quota_tokens grant_to(gateway_board& board, const tenant_config& tenant, const quota_demand& demand,
                      std::size_t shard, time_point now) {
    auto& buckets = board.quota.buckets;
    auto found = buckets.find(demand.tenant);
    if (found == buckets.end()) {
        const auto since = board.quota.leases.at(shard).grants_from;
        found = buckets
                    .emplace(demand.tenant, make_quota_bucket(limit_of(tenant), bounds_of(board),
                                                              board.quota.starts_full.at(shard), since))
                    .first;
    }
    auto& bucket = found->second;
    if (bucket.limit != limit_of(tenant)) {
        set_limit(bucket, limit_of(tenant), bounds_of(board), now);
    }
    const auto decision =
        demand.is_extra ? grant_spare(bucket, demand.wanted, now) : grant_tokens(bucket, demand.wanted, now);
    return {demand.tenant, decision.tokens,
            static_cast<std::uint32_t>(
                std::chrono::ceil<std::chrono::milliseconds>(decision.retry_after).count())};
}

quota_grant_message answer_request(gateway_board& board, const quota_request_message& request) {
    quota_grant_message answer;
    answer.number = request.number;
    const auto now = boot_clock::now();
    for (const auto& demand : request.demands) {
        const auto shard = shard_of(demand.tenant);
        if (board.routes == nullptr || !may_grant(board.quota.leases.at(shard), now)) {
            continue;
        }
        const auto tenant = board.routes->tenants.by_hash.find(demand.tenant);
        if (tenant != board.routes->tenants.by_hash.end()) {
            answer.is_holder = true;
            answer.grants.push_back(grant_to(board, *tenant->second, demand, shard, now));
        }
    }
    return answer;
}

/// @return the request of a waiter if it is still open
gateway_request* open_request(gateway_board& board, const quota_waiter& waiter) {
    const auto found = board.requests.find(waiter.request);
    return found != board.requests.end() && found->second->exchange != nullptr ? found->second.get()
                                                                               : nullptr;
}

/// Sends a request that holds a token on its way to a server.
void resume(gateway_board& board, const quota_waiter& waiter, time_point token_expiry) {
    if (auto* it = open_request(board, waiter)) {
        it->token_expiry = token_expiry;
        enqueue_request(board, *it, waiter.purpose);
    }
}

void refuse(gateway_board& board, const quota_waiter& waiter, const error_response& response) {
    auto* it = open_request(board, waiter);
    if (it == nullptr) {
        return;
    }
    if (waiter.purpose == attempt_purpose::first) {
        respond_with_error(board, *it, response);
    } else {
        fail_unassigned(board, *it, waiter.purpose, response.reason, response.retry_after);
    }
}

error_response over_quota(gateway_board& board, const quota_reserve& reserve) {
    count(board, "quota_refusals_total{reason=\"over_quota\"}");
    return {status_too_many_requests, "quota of the tenant is used up", reserve.retry_after};
}

/// Removes the first open waiter of a tenant.
std::optional<quota_waiter> take_waiter(gateway_board& board, std::uint64_t tenant) {
    const auto found = board.quota.waiting.find(tenant);
    if (found == board.quota.waiting.end()) {
        return std::nullopt;
    }
    auto& waiters = found->second;
    while (!waiters.empty() && open_request(board, waiters.front()) == nullptr) {
        waiters.pop_front();
    }
    if (waiters.empty()) {
        board.quota.waiting.erase(found);
        return std::nullopt;
    }
    const auto first = waiters.front();
    waiters.pop_front();
    return first;
}

void apply_grant(gateway_board& board, const quota_tokens& granted, time_point asked_at, time_point now) {
    auto& reserve = board.quota.reserves[granted.tenant];
    add_tokens(reserve, granted.tokens, asked_at + token_lifetime(bounds_of(board)), now);
    // Sending or refusing a request may lead to others of the same tenant, so nothing in the table is held.
    while (has_token(reserve, now)) {
        const auto waiter = take_waiter(board, granted.tenant);
        if (!waiter) {
            break;
        }
        resume(board, *waiter, take_token(reserve, now));
    }
    if (granted.retry_after_ms == 0) {
        return;
    }
    reserve.retry_after = std::chrono::milliseconds(granted.retry_after_ms);
    reserve.refused_until = now + refusal_time(reserve.retry_after);
    if (const auto refused = board.quota.waiting.extract(granted.tenant)) {
        for (const auto& it : refused.mapped()) {
            refuse(board, it, over_quota(board, reserve));
        }
    }
}

/// Asks for one token.
void ask_allocator(gateway_board& board, std::uint64_t tenant, attempt_purpose purpose, time_point now) {
    auto& quota = board.quota;
    const auto shard = shard_of(tenant);
    quota_request_message request;
    request.vm = board.conf.vm;
    request.life = board.own_incarnation;
    if (quota.last_number == 0) {
        // A grant to a former process of this VM must not pass for one to this process.
        quota.last_number = XXH3_64bits(&board.own_incarnation.value, sizeof(board.own_incarnation.value));
    }
    request.number = ++quota.last_number;
    request.reply_to = board.conf.peer_address.text;
    request.demands.push_back({tenant, 1, purpose == attempt_purpose::hedge});
    count(board, "quota_asks_total");
    quota.asked.emplace(request.number, now);
    if (quota.asked.size() > max_open_asks) {
        quota.asked.erase(quota.asked.begin());
    }
    if (may_grant(quota.leases.at(shard), now)) {
        receive_quota_grant(board, answer_request(board, request));
        return;
    }
    if (const auto address = allocator_address(board, shard); !address.empty()) {
        board.peer_socket->send(socket_address(address), encode(request));
    }
}

/// Keeps the VMs among which the floors are divided.
void update_quota_fleet(gateway_board& board, time_point now) {
    auto& quota = board.quota;
    if (!board.peers.loaded || now - quota.fleet_updated_at < fleet_update_interval) {
        return;
    }
    quota.fleet_updated_at = now;
    quota.fleet.started = board.peers.started;
    std::vector<vm_hash> members{hash_of(board.conf.vm)};
    for (const auto& it : board.peers.peers) {
        members.push_back(hash_of(it.first));
    }
    update_fleet(quota.fleet, members, bounds_of(board), now);
}

/// Lets a request for which no allocator has answered pass by the floor of this VM, or refuses it.
void end_unanswered(gateway_board& board, const quota_waiter& waiter, time_point now) {
    const auto* request = open_request(board, waiter);
    if (request == nullptr) {
        return;
    }
    if (waiter.purpose == attempt_purpose::hedge) {
        return; // the first attempt goes on
    }
    const auto& tenant = *request->tenant;
    const auto key = hash_of(tenant.id);
    const auto bounds = bounds_of(board);
    auto& reserve = board.quota.reserves[key];
    const auto floor =
        own_floor(board.quota.fleet, hash_of(board.conf.vm), key, limit_of(tenant), bounds, now);
    if (const auto expiry = take_floor(reserve, floor, bounds, now); expiry != time_point{}) {
        count(board, "quota_floor_uses_total");
        resume(board, waiter, expiry);
    } else {
        count(board, "quota_refusals_total{reason=\"no_allocator\"}");
        refuse(board, waiter,
               {status_unavailable, "quota of the tenant cannot be checked", no_allocator_retry_after});
    }
}

} // namespace

bool has_quotas(const gateway_board& board) {
    return board.conf.quota_window > duration::zero() && board.routes != nullptr &&
           !board.routes->config.tenants.empty();
}

void dispatch_within_quota(gateway_board& board, gateway_request& it) {
    if (!has_quota(board, it)) {
        enqueue_request(board, it, attempt_purpose::first);
        return;
    }
    const auto now = boot_clock::now();
    const auto tenant = hash_of(it.tenant->id);
    auto& reserve = board.quota.reserves[tenant];
    if (const auto expiry = take_token(reserve, now); expiry != time_point{}) {
        it.token_expiry = expiry;
        enqueue_request(board, it, attempt_purpose::first);
        return;
    }
    if (now < reserve.refused_until) {
        respond_with_error(board, it, over_quota(board, reserve));
        return;
    }
    board.quota.waiting[tenant].push_back({it.number, now, 1, attempt_purpose::first});
    ask_allocator(board, tenant, attempt_purpose::first, now);
}

bool admit_attempt(gateway_board& board, gateway_request& it) {
    if (!has_quota(board, it)) {
        return true;
    }
    const auto now = boot_clock::now();
    const bool may_run_twice = may_have_run(proofs_of(it));
    if (now < it.token_expiry && !may_run_twice) {
        return true;
    }
    const auto tenant = hash_of(it.tenant->id);
    it.token_expiry = take_token(board.quota.reserves[tenant], now);
    if (it.token_expiry != time_point{}) {
        return true;
    }
    count(board, "quota_late_asks_total");
    auto purpose = attempt_purpose::first;
    if (!it.attempts.empty()) {
        purpose = it.attempts.back()->in_progress ? attempt_purpose::hedge : attempt_purpose::retry;
    }
    // The callers of this function are in the middle of the wait queue: the next review asks.
    board.quota.waiting[tenant].push_back({it.number, time_point{}, 0, purpose});
    return false;
}

void refund_token(gateway_board& board, gateway_request& it) {
    if (it.tenant == nullptr || it.token_expiry == time_point{}) {
        return;
    }
    add_tokens(board.quota.reserves[hash_of(it.tenant->id)], 1, std::exchange(it.token_expiry, {}),
               boot_clock::now());
}

void receive_quota_request(gateway_board& board, const quota_request_message& request) {
    board.peer_socket->send(socket_address(request.reply_to), encode(answer_request(board, request)));
}

void receive_quota_grant(gateway_board& board, const quota_grant_message& grant) {
    const auto asked = board.quota.asked.find(grant.number);
    if (asked == board.quota.asked.end()) {
        return;
    }
    const auto asked_at = asked->second;
    board.quota.asked.erase(asked);
    const auto now = boot_clock::now();
    for (const auto& it : grant.grants) {
        apply_grant(board, it, asked_at, now);
    }
}

void review_quota_waiters(gateway_board& board, time_point now) {
    if (has_quotas(board)) {
        update_quota_fleet(board, now);
    }
    std::vector<quota_waiter> unanswered;
    std::vector<std::pair<std::uint64_t, attempt_purpose>> ask_again;
    for (auto& [tenant, waiters] : board.quota.waiting) {
        for (auto& it : waiters) {
            if (now - it.asked_at < answer_limit) {
                continue;
            }
            if (it.asks >= max_asks) {
                unanswered.push_back(it);
            } else {
                ++it.asks;
                it.asked_at = now;
                ask_again.emplace_back(tenant, it.purpose);
            }
        }
        std::erase_if(waiters, [now](const quota_waiter& it) { return now - it.asked_at >= answer_limit; });
    }
    std::erase_if(board.quota.waiting, [](const auto& it) { return it.second.empty(); });
    for (const auto& [tenant, purpose] : ask_again) {
        ask_allocator(board, tenant, purpose, now);
    }
    for (const auto& it : unanswered) {
        end_unanswered(board, it, now);
    }
}

void maintain_quota_leases(gateway_board& board, time_point now) {
    if (!has_quotas(board) || !board.peers.loaded) {
        return;
    }
    const auto candidates = board.duties.is_head ? find_watchers(board.peers, now) : std::vector<vm_id>{};
    for (std::size_t shard = 0; shard < quota_shards; ++shard) {
        auto& lease = board.quota.leases.at(shard);
        const auto position = candidate_position(candidates, board.conf.vm, shard);
        const bool is_releasing = lease.is_holder && lease.is_stopping;
        // A holder that is no candidate any more renews its lease as long as it is a head.
        if (!position && !is_releasing && !(lease.is_holder && board.duties.is_head)) {
            continue;
        }
        if (lease.write_started == time_point{}) {
            lease.write_started = board.peers.started - quota_renewal_interval;
        }
        const auto action = next_action(lease, hash_of(board.conf.vm), position.value_or(0), now);
        if (action != quota_lease_action::none) {
            write_lease(board, shard, action,
                        next_record(lease, hash_of(board.conf.vm), board.own_incarnation,
                                    board.store_access.era, now));
        }
    }
}

void release_quota_leases(gateway_board& board) {
    for (auto& it : board.quota.leases) {
        stop_granting(it);
    }
    maintain_quota_leases(board, boot_clock::now());
}

std::vector<quota_lease_status> known_quota_leases(const gateway_board& board) {
    std::vector<quota_lease_status> known;
    for (std::size_t shard = 0; shard < quota_shards; ++shard) {
        const auto& lease = board.quota.leases.at(shard);
        if (lease.revision.value != 0 && lease.revision.era == board.store_access.era && !is_copied(lease)) {
            known.push_back({lease.revision.value, lease.record.holder, static_cast<std::uint8_t>(shard),
                             lease.record.released});
        }
    }
    return known;
}

void apply_known_quota_leases(gateway_board& board, const gateway_status_message& status, time_point now) {
    bool has_new_holder = false;
    for (const auto& it : status.quota_leases) {
        if (it.shard < quota_shards) {
            auto& lease = board.quota.leases.at(it.shard);
            const auto holder = lease.record.holder;
            quota_lease_record record{it.holder, {}, 0, it.released};
            record.era = status.store_era;
            note_seen(lease, {status.store_era, it.revision}, record, hash_of(board.conf.vm),
                      board.own_incarnation, now);
            has_new_holder = has_new_holder || lease.record.holder != holder;
        }
    }
    if (has_new_holder && board.duties.is_head) {
        send_status(board, true); // the VMs of this domain hear of it from their heads only
    }
}

} // namespace endivelever
