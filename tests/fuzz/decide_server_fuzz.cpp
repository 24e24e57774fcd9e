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

/// The pool under test and the model with which it is compared.
struct pool_model {
    server_pool pool;
    random_source random{1, 1};
    time_point now{1000s};
    std::vector<listed_server> listed;
    std::vector<server_id> drained;
    std::unordered_map<server_id, time_point> reported_draining;
    std::unordered_map<server_id, time_point> probed;
    std::vector<open_call> open;
};

void update(pool_model& model) {
    update_servers(model.pool, model.listed, model.drained, entries, model.now);
    std::erase_if(model.open, [&](const open_call& it) {
        return find_server(model.pool, it.server) == model.pool.servers.size();
    });
}

void change_list(pool_model& model, const fuzz_step& step) {
    const server_id id("s" + std::to_string(step.first % 8));
    const auto it =
        std::find_if(model.listed.begin(), model.listed.end(), [&](const auto& s) { return s.id == id; });
    if (it == model.listed.end()) {
        listed_server added;
        added.id = id;
        added.connections = entries * 3;
        added.failure_domain = failure_domain(step.first % 2 == 0 ? "a" : "b");
        model.listed.push_back(added);
    } else if (step.second % 3 == 0) {
        model.listed.erase(it);
        model.reported_draining.erase(id);
    } else if (step.second % 3 == 1) {
        it->leaving = !it->leaving;
    } else if (std::erase(model.drained, id) == 0) {
        model.drained.push_back(id);
    }
    update(model);
}

bool must_not_be_chosen(const pool_model& model, const server_view& view) {
    const auto& id = view.listed.id;
    const auto reported = model.reported_draining.find(id);
    const bool reports_draining =
        reported != model.reported_draining.end() && model.now - reported->second <= 5s;
    const bool is_drained = std::find(model.drained.begin(), model.drained.end(), id) != model.drained.end();
    return reports_draining || is_drained || view.listed.leaving;
}

void choose(pool_model& model, const fuzz_step& step) {
    std::vector<server_id> excluded;
    for (unsigned i = 0; i < step.first % 3; ++i) {
        excluded.emplace_back("s" + std::to_string((step.second + i) % 8));
    }
    std::size_t staying = 0;
    std::size_t usable = 0;
    bool any = false;
    for (const auto& it : model.pool.servers) {
        const bool serves = !is_draining(it) && it.state != server_state::ejected;
        staying += is_draining(it) ? 0 : 1;
        usable += serves ? 1 : 0;
        // A drain reported by the server lasts until a later report ends it, so the model only requires
        // servers that never reported one to be available.
        const bool available = !must_not_be_chosen(model, it) &&
                               model.reported_draining.count(it.listed.id) == 0 &&
                               it.state != server_state::ejected &&
                               std::count(excluded.begin(), excluded.end(), it.listed.id) == 0;
        any = any || (available && it.in_flight.size() < it.connection_share);
    }
    const auto chosen = choose_server(model.pool, excluded, model.now, model.random);
    RC_ASSERT((chosen || !any));
    if (!chosen) {
        return;
    }
    auto& view = model.pool.servers[*chosen];
    RC_ASSERT(!must_not_be_chosen(model, view));
    RC_ASSERT(std::count(excluded.begin(), excluded.end(), view.listed.id) == 0);
    RC_ASSERT(view.in_flight.size() < 3U);
    RC_ASSERT((view.state != server_state::ejected || 2 * usable < staying));
    note_dispatch(view, model.now);
    model.open.push_back({view.listed.id, model.now});
}

std::optional<load_report> report_of(pool_model& model, const server_id& id, const fuzz_step& step) {
    if (step.second % 4 == 0) {
        return std::nullopt;
    }
    const bool draining = step.second % 50 == 1;
    if (draining) {
        model.reported_draining[id] = model.now;
    }
    return load_report{
        .running = step.second % 5, .queued = step.first % 20, .service_time = 5ms, .draining = draining};
}

void end_call(pool_model& model, const fuzz_step& step) {
    if (model.open.empty()) {
        return;
    }
    const auto index = step.first % model.open.size();
    const auto call = model.open[index];
    model.open.erase(model.open.begin() + static_cast<std::ptrdiff_t>(index));
    auto& view = model.pool.servers[find_server(model.pool, call.server)];
    const auto end = static_cast<attempt_end>(step.second % 5);
    note_end(model.pool, view, call.started, model.now, end, report_of(model, call.server, step));
}

void probe(pool_model& model) {
    while (const auto next = next_probe(model.pool, probe_rate, model.now, model.random)) {
        const auto& id = model.pool.servers[*next].listed.id;
        const auto last = model.probed.find(id);
        RC_ASSERT((last == model.probed.end() || model.now - last->second >= 1000ms * entries / 10));
        model.probed[id] = model.now;
    }
}

void pass_time(pool_model& model, const fuzz_step& step) {
    const std::chrono::microseconds small(step.second * 20);
    model.now += step.first % 8 == 0 ? 1s : step.first % 8 == 1 ? 20 * small : small;
}

void check_counts(const pool_model& model) {
    for (const auto& it : model.pool.servers) {
        const auto open = std::count_if(model.open.begin(), model.open.end(),
                                        [&](const auto& call) { return call.server == it.listed.id; });
        RC_ASSERT(it.in_flight.size() == static_cast<std::size_t>(open));
        RC_ASSERT(std::is_sorted(it.in_flight.begin(), it.in_flight.end()));
        RC_ASSERT((it.failure_ratio >= 0.0 && it.failure_ratio <= 1.0));
    }
}

// Guards against choosing a draining, excluded or full server, against a call that is counted twice or not at
// all, and against probes beyond the budget.
TEST(server_fuzz, choice_and_views_agree_with_the_model) {
    check_with_seed(20261204, cases, [] {
        pool_model model;
        model.pool.service.choice = static_cast<choice_policy>(*rc::gen::inRange(0, 5));
        model.pool.own_domain = failure_domain("a");
        for (const auto& step : any_steps(8, 500)) {
            switch (step.action) {
            case 0:
                change_list(model, step);
                break;
            case 1:
            case 2:
            case 3:
                choose(model, step);
                break;
            case 4:
            case 5:
                end_call(model, step);
                break;
            case 6:
                pass_time(model, step);
                break;
            default:
                review_servers(model.pool, model.now);
                probe(model);
            }
            check_counts(model);
        }
    });
}

} // namespace
} // namespace endivelever
