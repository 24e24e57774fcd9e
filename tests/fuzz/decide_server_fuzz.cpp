#include "endivelever/decide/choose_server.hpp"
#include "endivelever/decide/observe.hpp"

#include "fuzz/fixed_seed.hpp"
#include "fuzz/fuzz_step.hpp"

#include <algorithm>
#include <unordered_map>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr int cases = 1000;

constexpr double probe_rate = 10.0;
constexpr std::uint32_t entries = 4;

struct open_call {
    server_id server;
    time_point started{};
};

/// The pool under test beside what the test itself knows.
struct server_world {
    server_pool pool;
    random_source random{1, 1};
    time_point now{1000s};
    std::vector<listed_server> listed;
    std::vector<server_id> drained;
    std::unordered_map<server_id, time_point> reported_draining;
    std::unordered_map<server_id, time_point> probed;
    std::vector<open_call> open;
};

void update(server_world& w) {
    update_servers(w.pool, w.listed, w.drained, entries, w.now);
    std::erase_if(
        w.open, [&](const open_call& it) { return find_server(w.pool, it.server) == w.pool.servers.size(); });
}

void change_list(server_world& w, const fuzz_step& step) {
    const server_id id("s" + std::to_string(step.first % 8));
    const auto it = std::find_if(w.listed.begin(), w.listed.end(), [&](const auto& s) { return s.id == id; });
    if (it == w.listed.end()) {
        listed_server added;
        added.id = id;
        added.connections = entries * 3;
        added.failure_domain = failure_domain(step.first % 2 == 0 ? "a" : "b");
        w.listed.push_back(added);
    } else if (step.second % 3 == 0) {
        w.listed.erase(it);
        w.reported_draining.erase(id);
    } else if (step.second % 3 == 1) {
        it->leaving = !it->leaving;
    } else if (std::erase(w.drained, id) == 0) {
        w.drained.push_back(id);
    }
    update(w);
}

bool must_not_be_chosen(const server_world& w, const server_view& view) {
    const auto& id = view.listed.id;
    const auto reported = w.reported_draining.find(id);
    const bool says_draining = reported != w.reported_draining.end() && w.now - reported->second <= 5s;
    const bool is_drained = std::find(w.drained.begin(), w.drained.end(), id) != w.drained.end();
    return says_draining || is_drained || view.listed.leaving;
}

void choose(server_world& w, const fuzz_step& step) {
    std::vector<server_id> excluded;
    for (unsigned i = 0; i < step.first % 3; ++i) {
        excluded.emplace_back("s" + std::to_string((step.second + i) % 8));
    }
    std::size_t staying = 0;
    std::size_t usable = 0;
    bool any = false;
    for (const auto& it : w.pool.servers) {
        const bool serves = !is_draining(it) && it.state != server_state::ejected;
        staying += is_draining(it) ? 0 : 1;
        usable += serves ? 1 : 0;
        // A drain that the server reported lasts until a later report ends it, so only servers that never
        // reported one must be available.
        const bool available = !must_not_be_chosen(w, it) && w.reported_draining.count(it.listed.id) == 0 &&
                               it.state != server_state::ejected &&
                               std::count(excluded.begin(), excluded.end(), it.listed.id) == 0;
        any = any || (available && it.in_flight.size() < it.connection_share);
    }
    const auto chosen = choose_server(w.pool, excluded, w.now, w.random);
    RC_ASSERT((chosen || !any));
    if (!chosen) {
        return;
    }
    auto& view = w.pool.servers[*chosen];
    RC_ASSERT(!must_not_be_chosen(w, view));
    RC_ASSERT(std::count(excluded.begin(), excluded.end(), view.listed.id) == 0);
    RC_ASSERT(view.in_flight.size() < 3U);
    RC_ASSERT((view.state != server_state::ejected || 2 * usable < staying));
    note_dispatch(view, w.now);
    w.open.push_back({view.listed.id, w.now});
}

std::optional<load_report> report_of(server_world& w, const server_id& id, const fuzz_step& step) {
    if (step.second % 4 == 0) {
        return std::nullopt;
    }
    const bool draining = step.second % 50 == 1;
    if (draining) {
        w.reported_draining[id] = w.now;
    }
    return load_report{
        .running = step.second % 5, .queued = step.first % 20, .service_time = 5ms, .draining = draining};
}

void end_call(server_world& w, const fuzz_step& step) {
    if (w.open.empty()) {
        return;
    }
    const auto index = step.first % w.open.size();
    const auto call = w.open[index];
    w.open.erase(w.open.begin() + static_cast<std::ptrdiff_t>(index));
    auto& view = w.pool.servers[find_server(w.pool, call.server)];
    const auto end = static_cast<attempt_end>(step.second % 5);
    note_end(w.pool, view, call.started, w.now, end, report_of(w, call.server, step));
}

void probe(server_world& w) {
    while (const auto next = next_probe(w.pool, probe_rate, w.now, w.random)) {
        const auto& id = w.pool.servers[*next].listed.id;
        const auto last = w.probed.find(id);
        RC_ASSERT((last == w.probed.end() || w.now - last->second >= 1000ms * entries / 10));
        w.probed[id] = w.now;
    }
}

void pass_time(server_world& w, const fuzz_step& step) {
    const std::chrono::microseconds small(step.second * 20);
    w.now += step.first % 8 == 0 ? 1s : step.first % 8 == 1 ? 20 * small : small;
}

void check_counts(const server_world& w) {
    for (const auto& it : w.pool.servers) {
        const auto open = std::count_if(w.open.begin(), w.open.end(),
                                        [&](const auto& call) { return call.server == it.listed.id; });
        RC_ASSERT(it.in_flight.size() == static_cast<std::size_t>(open));
        RC_ASSERT(std::is_sorted(it.in_flight.begin(), it.in_flight.end()));
        RC_ASSERT((it.failure_ratio >= 0.0 && it.failure_ratio <= 1.0));
    }
}

// Guards against a draining, excluded or full server that is chosen, a call counted twice or never, and
// probes over the budget.
TEST(server_fuzz, choice_and_views_agree_with_the_model) {
    check_with_seed(20261204, cases, [] {
        server_world w;
        w.pool.service.choice = static_cast<choice_policy>(*rc::gen::inRange(0, 5));
        w.pool.own_domain = failure_domain("a");
        for (const auto& step : any_steps(8, 500)) {
            switch (step.action) {
            case 0:
                change_list(w, step);
                break;
            case 1:
            case 2:
            case 3:
                choose(w, step);
                break;
            case 4:
            case 5:
                end_call(w, step);
                break;
            case 6:
                pass_time(w, step);
                break;
            default:
                review_servers(w.pool, w.now);
                probe(w);
            }
            check_counts(w);
        }
    });
}

} // namespace
} // namespace endivelever
