#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/decide/server_view.hpp"

#include <optional>
#include <vector>

namespace endivelever {

/// Servers asked when a request arrives. The speed of a server changes several times a second, so that
/// reports of earlier responses say little; two of three servers run at their usual speed.
constexpr std::size_t first_questions = 2;
/// Servers asked next when none of the first is at ease, and for one request in all before the best is taken.
constexpr std::size_t further_questions = 3;
constexpr std::size_t enough_questions = 8;
/// Servers asked at each review for all requests that still wait after that.
constexpr std::size_t review_questions = 1;
/// Servers of a service that a VM prefers, so that its connections are used again before they are closed as
/// idle. One request that asks as many as it may leaves some to others; those beyond follow when these are
/// busy.
constexpr std::uint32_t preferred_servers = 12;
/// Answers take one round trip; a server that does not answer in this time is taken as silent.
constexpr duration answer_limit = std::chrono::milliseconds(15);

/// Limits how many questions one VM asks the servers of one service.
struct probe_budget {
    double tokens = 0.0;
    time_point credited_at{}; ///< default until the first credit
};

/// Credits the time since the last credit. All VMs together stay below the limit.
/// @param per_server_and_second  limit of the platform over all VMs
void credit_probes(probe_budget& budget, double per_server_and_second, std::size_t servers, std::uint32_t vms,
                   time_point now);

/// @return how many of `wanted` questions may be asked now; they are taken from the budget
std::size_t take_probes(probe_budget& budget, std::size_t wanted);

/// Work of a server takes longer from this share of busy slots on.
constexpr double nearly_full_share = 0.8;
constexpr double nearly_full_factor = 1.7;

/// @param usual  time of a request at the usual speed of a server with free slots
/// @return expected time to the response of a request that is sent now, as the report tells
duration predicted_time(const load_report& report, std::uint32_t slots, duration usual);

/// @return the last report, with the requests added that this VM sent since
load_report present_report(const server_view& view);

/// True if a slot of the server is free.
bool has_room(const load_report& report, std::uint32_t slots);

/// True if the server runs at its usual speed and another request would not slow it down.
bool is_at_ease(const load_report& report, std::uint32_t slots);

/// Names servers to ask. Those that are known to be slow, silent or failing come last, those of the own
/// failure domain and the
/// preferred ones first.
/// Servers that were asked and may still answer in time are left out.
/// @param excluded     servers that may not be used
/// @param keep_domain  true if a response is so large that it should not cross failure domains
/// @return at most `n` servers
std::vector<server_index> pick_candidates(const server_pool& pool, const std::vector<server_id>& excluded,
                                          std::size_t n, bool keep_domain, time_point now,
                                          random_source& random);

/// Notes that a server did not answer a question in time.
void note_silent(server_view& view, time_point now);

} // namespace endivelever
