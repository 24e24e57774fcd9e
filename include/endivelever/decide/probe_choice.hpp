#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/decide/server_view.hpp"

#include <optional>
#include <vector>

namespace endivelever {

/// Choice of a server by asking a few of them for their load right before a request is sent. The speed of a
/// server changes several times a second, so that reports of earlier responses say little by then.
struct probe_choice_limits {
    std::size_t first_round = 2; ///< servers asked at first
    std::size_t next_round = 3;  ///< servers asked when none of the first answers is good
    std::size_t max_rounds = 3;
    /// Answers take one round trip; a server that does not answer in this time is taken as silent.
    duration round_limit = std::chrono::milliseconds(15);
};

/// Work of a server takes longer from this share of busy slots on.
constexpr double nearly_full_share = 0.8;
constexpr double nearly_full_factor = 1.7;
/// Up to this slowdown a server counts as running at its usual speed.
constexpr double good_slowdown = 1.3;

/// @param usual  time of a request at the usual speed of a server with free slots
/// @return expected time to the response of a request that is sent now, as the report tells
duration predicted_time(const load_report& report, std::uint32_t slots, duration usual);

/// True if a server with this report is worth no further question: free slots, usual speed.
bool is_good(const load_report& report, std::uint32_t slots);

/// Names servers to ask. Those that are known to be slow, silent or failing come last, those of the own
/// failure domain first.
/// @param excluded     servers that may not be used: tried or already asked
/// @param keep_domain  true if a response is so large that it should not cross failure domains
/// @return at most `n` servers
std::vector<server_index> pick_candidates(const server_pool& pool, const std::vector<server_id>& excluded,
                                          std::size_t n, bool keep_domain, time_point now,
                                          random_source& random);

/// Picks the best of the servers that answered.
/// @param since  answers before this time are not counted
/// @return the server, or nothing if none of them answered since then
std::optional<server_index> best_answer(const server_pool& pool, const std::vector<server_id>& asked,
                                        time_point since, duration usual, bool keep_domain);

/// Notes that a server did not answer a question in time.
void note_silent(server_view& view, time_point now);

} // namespace endivelever
