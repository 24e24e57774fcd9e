#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/decide/wait_queue.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endivelever {

/// Share of the room that each rank with waiting requests keeps.
constexpr double rank_floor = 0.1;

/// Share of a rank's room that new requests keep, however many callers return. Callers that cannot return,
/// for instance because of a short deadline, are served from it.
constexpr double new_request_floor = 0.15;

/// Time that requests of one route occupy a slot of a server of one service.
struct work_estimate {
    duration mean{};
    duration spread{}; ///< mean absolute deviation
    std::uint32_t samples = 0;
};

/// Adds an observed response time to an estimate.
void learn_work(work_estimate& estimate, duration observed);

/// Sum whose parts lose weight exponentially with their age.
struct decayed_sum {
    double value = 0.0;
    time_point updated_at{};
};

/// Work of one rank at one service, in seconds.
struct rank_use {
    std::map<int, decayed_sum> arrived; ///< new requests, by class of work (see room.cpp)
    decayed_sum returned;               ///< callers that returned after a refusal
    decayed_sum sent;                   ///< sent to servers
    decayed_sum sent_new;               ///< part of it for new requests
    time_point next_return{};           ///< when the next refused caller may return
};

/// Requests of one tenant with one rank at one service.
struct tenant_use {
    decayed_sum arrived;     ///< requests of the last seconds
    decayed_sum served;      ///< those of them that were sent to servers
    double usual = 0.0;      ///< requests of tenant_period that are usual for it
    bool over_share = false; ///< it got more than its max-min share
    bool neglected = false;  ///< it is served far less often than all requests of the rank
};

/// What one service has done for its waiting requests.
struct room_state {
    time_point reviewed_at{};          ///< default before the first review
    time_point shares_updated_at{};    ///< when the shares of the tenants were last computed
    time_point first_share_at{};       ///< when they were first computed
    bool exceeded = false;             ///< as in room_forecast, at the last review
    bool had_backlog = false;          ///< requests waited for a slot at the last review
    double sent_since_review = 0.0;    ///< seconds of work
    double drained_since_review = 0.0; ///< part of it that waited at the last review
    decayed_sum backlog_time;          ///< seconds during which requests waited for a slot
    decayed_sum backlog_sent;          ///< seconds of work sent to servers in that time
    std::map<std::uint32_t, rank_use> ranks;
    std::map<std::uint32_t, std::map<std::string, tenant_use>> tenants;
};

/// Room of a service for this VM's requests.
struct room_forecast {
    bool exceeded = false; ///< requests have waited for slots for a considerable part of the last seconds
    double work_per_second = 0.0; ///< seconds of work that start each second while requests wait
    std::uint32_t free_slots = 0; ///< slots that are usable now
};

/// Why a waiting request is refused.
enum class room_refusal_reason {
    too_late, ///< it cannot finish in time even if it starts now
    no_room   ///< the work that goes before it takes the room until it is too late
};

/// @return the name of a reason, for metrics and logs
const char* to_string(room_refusal_reason reason);

/// A waiting request to refuse now.
struct room_refusal {
    request_number request = 0;
    std::uint32_t rank = 0;
    room_refusal_reason reason = room_refusal_reason::no_room;
    duration retry_after{}; ///< a caller that returns then goes before new ones
};

/// Position of a request in the order in which requests get room, and its expected start.
struct room_place {
    std::size_t position = 0; ///< index into the queue
    duration starts_in{};     ///< expected wait for a slot
};

/// Records a request that enters the queue.
void note_arrival(room_state& state, const waiting_request& it, time_point now);

/// Records a request that is sent to a server.
void note_sent(room_state& state, const waiting_request& it, time_point now);

/// Updates the measured room and the shares of the tenants. To be called at short intervals while requests
/// are open.
void review_room(room_state& state, const wait_queue& queue, time_point now);

/// Describes the room at the last review.
/// @param free_slots  slots that recent load reports show as free
room_forecast forecast_room(const room_state& state, std::uint32_t free_slots, time_point now);

/// Part of the room that is left to a request: without the work that keeps arriving and goes before it (more
/// urgent ranks, returning callers and shorter work of its rank) and without the floors of less urgent ranks.
/// At least rank_floor for a rank, and new_request_floor of that for its new requests of the shortest work.
double room_share(const room_state& state, const room_forecast& room, const waiting_request& it,
                  time_point now);

/// Orders the queue: by rank; within a rank, tenants that are served far too little, then those within their
/// share; new requests while they have less than new_request_floor; callers that return before new ones;
/// short work before long; older requests before newer. Hedges are last.
std::vector<room_place> plan_room(const wait_queue& queue, const room_state& state, const room_forecast& room,
                                  time_point now);

/// Selects the request to send to a server. While room suffices, this is select_request(). Otherwise ranks
/// that got less than rank_floor of the room go first, and the order is that of plan_room().
std::optional<std::size_t> select_for_room(const wait_queue& queue, const room_state& state,
                                           const room_forecast& room, const server_offer& offer,
                                           duration typical_time, time_point now);

/// Finds the requests to refuse now because they would not finish in time, if the work exceeds the room.
/// Callers that return, retries and hedges are not among them. Books the times at which the callers may
/// return.
std::vector<room_refusal> refuse_for_room(const wait_queue& queue, room_state& state,
                                          const room_forecast& room, time_point now, random_source& random);

} // namespace endivelever
