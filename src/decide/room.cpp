#include "endivelever/decide/room.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

// Weight of a new response in the estimate of the work of its route. The speed of servers changes every
// 300 ms, so that an estimate over about 30 responses covers several speeds.
constexpr double work_weight = 1.0 / 32;
// A VM sends about ten requests a second to a service, so that a shorter period holds too few of them.
constexpr duration rate_period = 2s;
// Tenants send less than one request a second to one VM.
constexpr duration tenant_period = 10s;
// What is usual for a tenant follows its requests over minutes, and only up to a multiple of what was usual
// before, so that a flood does not become usual while operators react to it. A state that is new takes the
// first requests as usual.
constexpr duration usual_period = 300s;
constexpr double max_usual_growth = 4.0;
constexpr double forgotten_requests = 1e-3;
constexpr duration first_usual_period = 10s;
// Work exceeds the room if requests wait for a slot for this part of the last seconds; slow servers cause
// shorter waits. Early refusals shorten the queue, so that the end is judged by a lower share.
constexpr double exceeded_share = 0.5;
constexpr double exceeded_end_share = 0.2;
// Part of a rank's room that is promised to callers who return; the rest stays with new requests.
constexpr double return_share = 0.15;
// Shortest time in which a caller can return and find another state of the servers.
constexpr duration min_return = 50ms;
constexpr duration max_return = 10s;
// Keeps forecasts finite for work that others displace.
constexpr double min_share = 0.01;
// A longer time between reviews is a pause of the process, not a wait for slots.
constexpr duration max_review_period = 100ms;
constexpr duration share_interval = 100ms;
// A tenant is over its share if that is no chance: by more than this many standard deviations.
constexpr double chance_deviations = 3.0;
// Tenants must be served at least a quarter as often as all; the rest is a margin for the delay of the
// measurement.
constexpr double neglected_ratio = 0.35;
// More tenants than that in one rank are treated alike.
constexpr std::size_t max_tenants = 2000;
// Work of requests without an estimate.
constexpr duration default_work = 50ms;

double value_now(const decayed_sum& sum, duration period, time_point now) {
    const auto age = std::max(duration::zero(), now - sum.updated_at);
    return sum.value == 0.0 ? 0.0 : sum.value * std::exp(-to_seconds(age) / to_seconds(period));
}

void add(decayed_sum& sum, double amount, duration period, time_point now) {
    sum.value = value_now(sum, period, now) + amount;
    sum.updated_at = now;
}

duration work_of(const waiting_request& it) {
    return it.expected_work > duration::zero() ? it.expected_work : default_work;
}

/// Requests that are kept until their deadline: their caller has already waited for an earlier attempt.
bool is_kept(const waiting_request& it) {
    return it.purpose != attempt_purpose::first || it.prior_attempts_time > duration::zero();
}

/// When a response is of no or little use to the caller.
time_point due_at(const waiting_request& it) {
    return it.latency_target > duration::zero() && !is_kept(it)
               ? std::min(it.deadline, it.arrived + it.latency_target)
               : it.deadline;
}

/// Works that differ by less than a factor of two count as equal, so that a small difference of estimates
/// does not displace older requests.
int work_class(const waiting_request& it) {
    return std::ilogb(std::max(1.0, to_milliseconds(work_of(it))));
}

const tenant_use* find_tenant_use(const room_state& state, const waiting_request& it) {
    const auto rank = state.tenants.find(it.rank);
    if (rank == state.tenants.end()) {
        return nullptr;
    }
    const auto found = rank->second.find(it.tenant);
    return found == rank->second.end() ? nullptr : &found->second;
}

tenant_use* add_tenant_use(room_state& state, const waiting_request& it) {
    if (it.tenant.empty()) {
        return nullptr;
    }
    auto& rank = state.tenants[it.rank];
    if (const auto found = rank.find(it.tenant); found != rank.end()) {
        return &found->second;
    }
    return rank.size() < max_tenants ? &rank[it.tenant] : nullptr;
}

/// True if the new requests of a rank got less than their floor.
bool is_new_below_floor(const room_state& state, std::uint32_t rank, time_point now) {
    const auto found = state.ranks.find(rank);
    if (found == state.ranks.end()) {
        return false;
    }
    const auto& use = found->second;
    const double sent = value_now(use.sent, rate_period, now);
    return sent > 0.0 && value_now(use.sent_new, rate_period, now) < new_request_floor * sent;
}

using order_key = std::tuple<bool, std::uint32_t, int, int, int, time_point>;

order_key order_of(const waiting_request& it, const room_state& state, time_point now) {
    const auto* tenant = find_tenant_use(state, it);
    int share = 1;
    if (tenant != nullptr && (tenant->neglected || tenant->over_share)) {
        share = tenant->neglected ? 0 : 2;
    }
    int turn = 1;
    if (!is_kept(it)) {
        turn = is_new_below_floor(state, it.rank, now) ? 0 : 2;
    }
    return {it.purpose == attempt_purpose::hedge, it.rank, share, turn, work_class(it), it.arrived};
}

/// Updates the usual requests of the tenants of a rank and marks those that got more than their max-min
/// share. The share of a tenant is proportional to its usual requests, so that large tenants are not refused
/// for their size.
/// @param period  time since the last update
/// @param is_new  true if the usual requests are not known yet
void update_shares(std::map<std::string, tenant_use>& tenants, duration period, bool is_new, time_point now) {
    struct demand {
        tenant_use* use;
        double weight;
        double arrived;
        double served;
    };
    std::vector<demand> all;
    double arrived = 0.0;
    double served = 0.0;
    double usual = 0.0;
    for (auto& [name, it] : tenants) {
        all.push_back({&it, it.usual, value_now(it.arrived, tenant_period, now),
                       value_now(it.served, tenant_period, now)});
        arrived += all.back().arrived;
        served += all.back().served;
        usual += it.usual;
    }
    if (all.empty() || arrived <= 0.0) {
        return;
    }
    // A tenant that was idle for minutes still has a part of the mean.
    constexpr double min_weight_share = 0.1;
    const double min_weight = std::max(1e-3, min_weight_share * usual / static_cast<double>(all.size()));
    const double step = std::min(1.0, to_seconds(period) / to_seconds(usual_period));
    for (auto& it : all) {
        it.weight = std::max(it.weight, min_weight);
        auto& own = it.use->usual;
        own = is_new ? it.arrived : own + step * (std::min(it.arrived, max_usual_growth * it.weight) - own);
    }
    std::sort(all.begin(), all.end(),
              [](const demand& a, const demand& b) { return a.arrived * b.weight < b.arrived * a.weight; });
    double left = served;
    double weights = 0.0;
    for (const auto& it : all) {
        weights += it.weight;
    }
    double level = 0.0; // requests per weight of the tenants whose demand exceeds their share
    for (const auto& it : all) {
        level = left / weights;
        if (it.arrived > level * it.weight) {
            break;
        }
        left -= it.arrived;
        weights -= it.weight;
    }
    const double overall = served / arrived;
    for (auto& it : all) {
        const double share = std::max(level * it.weight, 1.0);
        it.use->over_share = it.served > share + chance_deviations * std::sqrt(share);
        it.use->neglected = it.served + 1.0 < neglected_ratio * overall * it.arrived;
    }
}

double sent_work(const room_state& state, time_point now) {
    double sum = 0.0;
    for (const auto& [rank, use] : state.ranks) {
        sum += value_now(use.sent, rate_period, now);
    }
    return sum;
}

/// True if a rank got less than its floor.
bool is_below_floor(const room_state& state, std::uint32_t rank, double sent, time_point now) {
    const auto found = state.ranks.find(rank);
    return found != state.ranks.end() && sent > 0.0 &&
           value_now(found->second.sent, rate_period, now) < rank_floor * sent;
}

/// Time after which a refused caller should return. The times of a rank are spaced so that its room holds
/// all who return; a caller without a time before its deadline, or of a tenant over its share, is told to
/// wait until after that.
duration book_return(room_state& state, const room_forecast& room, const waiting_request& it, time_point now,
                     random_source& random) {
    auto& use = state.ranks[it.rank];
    const double rate = std::max(1e-3, room.work_per_second * room_share(state, room, it, now));
    const auto spacing = std::min<duration>(
        max_return, from_milliseconds(1000.0 * to_seconds(work_of(it)) / (rate * return_share)));
    const auto first = std::max(now + min_return, use.next_return);
    const auto at = first + from_milliseconds(random_unit(random) * to_milliseconds(spacing));
    const auto* tenant = find_tenant_use(state, it);
    const bool may_book = tenant == nullptr || !tenant->over_share;
    // Half of the time left after the return is for its wait.
    if (may_book && at + 2 * (work_of(it) + it.work_spread) <= it.deadline && at - now <= max_return) {
        use.next_return = first + spacing;
        return at - now;
    }
    const auto left = std::max<duration>(min_return, std::max(it.deadline, first) - now);
    return std::min<duration>(max_return,
                              left + from_milliseconds(random_unit(random) * to_milliseconds(left)));
}

} // namespace

const char* to_string(room_refusal_reason reason) {
    return reason == room_refusal_reason::too_late ? "too_late" : "no_room";
}

void learn_work(work_estimate& estimate, duration observed) {
    observed = std::max(observed, duration::zero());
    ++estimate.samples;
    const double weight = std::max(work_weight, 1.0 / estimate.samples);
    const auto error = observed - estimate.mean;
    const auto part = [weight](duration value) { return from_milliseconds(weight * to_milliseconds(value)); };
    estimate.mean += part(error);
    estimate.spread +=
        estimate.samples == 1 ? duration::zero() : part(std::chrono::abs(error) - estimate.spread);
}

void note_arrival(room_state& state, const waiting_request& it, time_point now) {
    if (it.purpose != attempt_purpose::first) {
        return;
    }
    if (!is_kept(it)) {
        add(state.ranks[it.rank].arrived[work_class(it)], to_seconds(work_of(it)), rate_period, now);
    } else {
        add(state.ranks[it.rank].returned, to_seconds(work_of(it)), rate_period, now);
    }
    if (auto* tenant = add_tenant_use(state, it)) {
        add(tenant->arrived, 1.0, tenant_period, now);
    }
}

void note_sent(room_state& state, const waiting_request& it, time_point now) {
    const double work = to_seconds(work_of(it));
    add(state.ranks[it.rank].sent, work, rate_period, now);
    if (!is_kept(it)) {
        add(state.ranks[it.rank].sent_new, work, rate_period, now);
    }
    state.sent_since_review += work;
    state.drained_since_review += it.queued_at <= state.reviewed_at ? work : 0.0;
    if (it.purpose == attempt_purpose::first) {
        if (auto* tenant = add_tenant_use(state, it)) {
            add(tenant->served, 1.0, tenant_period, now);
        }
    }
}

void review_room(room_state& state, const wait_queue& queue, time_point now) {
    const bool backlog = std::any_of(queue.begin(), queue.end(), [](const waiting_request& it) {
        return it.probing_done && it.purpose == attempt_purpose::first;
    });
    if (state.had_backlog) {
        // If the queue became empty meanwhile, later requests met free slots and show nothing of the room.
        const double part = backlog ? 1.0 : 0.5;
        const auto period = std::min<duration>(max_review_period, now - state.reviewed_at);
        add(state.backlog_time, part * to_seconds(period), rate_period, now);
        add(state.backlog_sent, backlog ? state.sent_since_review : state.drained_since_review, rate_period,
            now);
    }
    state.had_backlog = backlog;
    state.reviewed_at = now;
    state.sent_since_review = 0.0;
    state.drained_since_review = 0.0;
    const double waited = value_now(state.backlog_time, rate_period, now) / to_seconds(rate_period);
    state.exceeded = waited > (state.exceeded ? exceeded_end_share : exceeded_share);
    if (now - state.shares_updated_at < share_interval) {
        return;
    }
    if (state.first_share_at == time_point{}) {
        state.first_share_at = now;
        state.shares_updated_at = now;
    }
    for (auto& [rank, tenants] : state.tenants) {
        std::erase_if(tenants, [now](const auto& it) {
            return it.second.usual < forgotten_requests &&
                   value_now(it.second.arrived, tenant_period, now) < forgotten_requests;
        });
        update_shares(tenants, now - state.shares_updated_at, now - state.first_share_at < first_usual_period,
                      now);
    }
    state.shares_updated_at = now;
}

room_forecast forecast_room(const room_state& state, std::uint32_t free_slots, time_point now) {
    const double waited = value_now(state.backlog_time, rate_period, now);
    room_forecast room;
    room.free_slots = free_slots;
    room.exceeded = state.exceeded;
    if (waited > 0.0) {
        room.work_per_second = value_now(state.backlog_sent, rate_period, now) / waited;
    }
    return room;
}

double room_share(const room_state& state, const room_forecast& room, const waiting_request& it,
                  time_point now) {
    if (room.work_per_second <= 0.0) {
        return 1.0;
    }
    const double all = room.work_per_second * to_seconds(rate_period);
    const auto part = [&](const decayed_sum& sum) { return value_now(sum, rate_period, now) / all; };
    double left = 1.0;
    double own_returned = 0.0;
    double own_shorter = 0.0;
    for (const auto& [rank, use] : state.ranks) {
        const double returned = part(use.returned);
        double arrived = 0.0;
        for (const auto& [work, sum] : use.arrived) {
            arrived += rank != it.rank || work < work_class(it) ? part(sum) : 0.0;
        }
        if (rank == it.rank) {
            own_returned = returned;
            own_shorter = arrived;
        } else {
            left -= rank < it.rank ? returned + arrived : std::min(returned + arrived, rank_floor);
        }
    }
    const double rank_room = std::max(rank_floor, left);
    const double before = std::min(own_returned, (1.0 - new_request_floor) * rank_room) + own_shorter;
    return std::max(min_share, rank_room - before);
}

std::vector<room_place> plan_room(const wait_queue& queue, const room_state& state, const room_forecast& room,
                                  time_point now) {
    std::vector<std::pair<order_key, std::size_t>> order;
    order.reserve(queue.size());
    for (std::size_t i = 0; i < queue.size(); ++i) {
        order.emplace_back(order_of(queue[i], state, now), i);
    }
    std::sort(order.begin(), order.end());
    std::vector<room_place> plan;
    plan.reserve(queue.size());
    double ahead = 0.0;
    for (std::size_t i = 0; i < order.size(); ++i) {
        const auto& it = queue[order[i].second];
        const double rate = room.work_per_second * room_share(state, room, it, now);
        duration starts_in{};
        if (i >= room.free_slots) {
            // A slot becomes free after half of the time that a request takes, on average.
            const double own = to_seconds(work_of(it));
            const double before = ahead + own / 2;
            ahead += own;
            starts_in = rate > 0.0 ? std::min<duration>(max_return, from_milliseconds(1000.0 * before / rate))
                                   : max_return;
        }
        plan.push_back({order[i].second, starts_in});
    }
    return plan;
}

std::optional<std::size_t> select_for_room(const wait_queue& queue, const room_state& state,
                                           const room_forecast& room, const server_offer& offer,
                                           duration typical_time, time_point now) {
    if (!room.exceeded) {
        return select_request(queue, offer, typical_time, now);
    }
    if (!offer.usable) {
        return std::nullopt;
    }
    const double sent = sent_work(state, now);
    const double slowdown = typical_time > duration::zero()
                                ? to_seconds(offer.predicted_latency) / to_seconds(typical_time)
                                : 1.0;
    std::optional<std::size_t> best;
    std::tuple<bool, bool, order_key> best_order{};
    for (std::size_t i = 0; i < queue.size(); ++i) {
        const auto& it = queue[i];
        const auto work = it.expected_work > duration::zero() ? it.expected_work : typical_time;
        auto own_offer = offer;
        own_offer.predicted_latency = from_milliseconds(slowdown * to_milliseconds(work));
        if (!can_use(it, own_offer, work, now)) {
            continue;
        }
        const std::tuple order{now + own_offer.predicted_latency > due_at(it),
                               !is_below_floor(state, it.rank, sent, now), order_of(it, state, now)};
        if (!best || order < best_order) {
            best = i;
            best_order = order;
        }
    }
    return best;
}

std::vector<room_refusal> refuse_for_room(const wait_queue& queue, room_state& state,
                                          const room_forecast& room, time_point now, random_source& random) {
    std::vector<room_refusal> refused;
    if (!room.exceeded) {
        return refused;
    }
    // Work of refused requests does not delay those behind them, so each refusal shortens their wait.
    double freed = 0.0;
    for (const auto& place : plan_room(queue, state, room, now)) {
        const auto& it = queue[place.position];
        if (is_kept(it)) {
            continue;
        }
        const auto needed = work_of(it) + it.work_spread;
        const double rate = room.work_per_second * room_share(state, room, it, now);
        const auto gained = rate > 0.0 ? from_milliseconds(1000.0 * freed / rate) : duration::zero();
        const auto starts_in = std::max(duration::zero(), place.starts_in - gained);
        if (now + starts_in + needed <= due_at(it)) {
            continue;
        }
        freed += to_seconds(work_of(it));
        refused.push_back(
            {it.request, it.rank,
             now + needed > due_at(it) ? room_refusal_reason::too_late : room_refusal_reason::no_room,
             book_return(state, room, it, now, random)});
    }
    return refused;
}

} // namespace endivelever
