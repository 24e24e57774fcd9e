#include "endivelever/decide/room.hpp"

#include <gtest/gtest.h>
#include <map>
#include <vector>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};
constexpr duration tick = 10ms;
constexpr duration run_time = 60s;
constexpr std::size_t slots = 4;

/// Callers of one kind: those that were refused before and return within a long deadline, and those that send
/// once with a short one.
struct caller_kind {
    double per_second = 0.0;
    duration work{};
    duration deadline{};
    duration prior_attempts{};
    std::size_t arrived = 0;
    std::size_t served = 0;
    double due = 0.0; ///< part of the next arrival
};

struct return_case {
    const char* name;
    double returning_per_second;
    double once_per_second;
};

/// Slots of servers that take requests as decided by the functions under test.
struct full_service {
    caller_kind returning{0.0, 300ms, 2500ms, 700ms};
    caller_kind once{0.0, 270ms, 1s, 0ms};
    wait_queue queue;
    room_state state;
    std::map<request_number, caller_kind*> callers;
    std::vector<time_point> slot_free = std::vector<time_point>(slots, start);
    random_source random{5};
    request_number last = 0;

    void arrive(caller_kind& kind, time_point now) {
        kind.due += kind.per_second * to_seconds(tick);
        for (; kind.due >= 1.0; kind.due -= 1.0) {
            waiting_request it;
            it.request = ++last;
            it.arrived = now;
            it.queued_at = now;
            it.latency_target = 1s;
            it.deadline = now + kind.deadline;
            it.probing_done = true;
            it.expected_work = kind.work;
            it.prior_attempts_time = kind.prior_attempts;
            note_arrival(state, it, now);
            queue.push_back(it);
            callers[it.request] = &kind;
            ++kind.arrived;
        }
    }

    void remove(request_number number) {
        std::erase_if(queue, [number](const waiting_request& it) { return it.request == number; });
    }

    void fill_slots(time_point now) {
        server_offer offer;
        offer.server = server_id("s");
        offer.predicted_latency = 300ms;
        offer.has_free_slot = true;
        offer.usable = true;
        for (auto& it : slot_free) {
            const auto room = forecast_room(state, 0, now);
            const auto position = it <= now ? select_for_room(queue, state, room, offer, 300ms, now)
                                            : std::optional<std::size_t>();
            if (position) {
                const auto chosen = queue[*position];
                note_sent(state, chosen, now);
                it = now + chosen.expected_work;
                callers[chosen.request]->served += it <= chosen.deadline ? 1U : 0U;
                remove(chosen.request);
            }
        }
    }

    void run() {
        for (auto now = start; now < start + run_time; now += tick) {
            arrive(returning, now);
            arrive(once, now);
            std::erase_if(queue, [now](const waiting_request& it) { return now >= it.deadline; });
            fill_slots(now);
            review_room(state, queue, now);
            for (const auto& it : refuse_for_room(queue, state, forecast_room(state, 0, now), now, random)) {
                remove(it.request);
            }
        }
    }
};

double served_share(const caller_kind& it) {
    return static_cast<double>(it.served) / static_cast<double>(it.arrived);
}

struct callers_that_send_once : testing::TestWithParam<return_case> {};

// Guards against a route whose callers cannot return, such as one that was added lately and has a short
// deadline, that is served far less often than others because callers who return take all the room.
TEST_P(callers_that_send_once, are_served_beside_those_that_return) {
    full_service service;
    service.returning.per_second = GetParam().returning_per_second;
    service.once.per_second = GetParam().once_per_second;
    service.run();
    EXPECT_TRUE(service.state.exceeded);
    EXPECT_GE(served_share(service.once), 0.25 * served_share(service.returning));
    EXPECT_GE(served_share(service.returning), 0.25 * served_share(service.once));
}

// The four slots take 13 requests a second.
INSTANTIATE_TEST_SUITE_P(loads, callers_that_send_once,
                         testing::Values(return_case{"twice_the_room", 25.0, 1.0},
                                         return_case{"three_times_the_room", 38.0, 2.0},
                                         return_case{"many_send_once", 25.0, 6.0}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever
