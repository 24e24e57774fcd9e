#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivelever {

/// Parts of a call id "<vm>.<incarnation>.<generation>.<unique>". The VM id contains no dot.
struct call_id_parts {
    vm_id vm;
    incarnation life; ///< incarnation of the entry; lower-case hexadecimal without leading zeros in the text
    std::uint64_t generation = 0; ///< at least 1; decimal in the text
    std::string unique;           ///< 1 to 64 letters, digits, '-' or '_'
};

/// Parses a call id. Only the canonical spelling is accepted, because two spellings of one id would count as
/// two calls.
/// @return the parts, or error [call.1] with the reason
result<call_id_parts> parse_call_id(const call_id& id);

/// @return the prefix "<vm>.<incarnation>.<generation>" that callers put before their unique part
std::string call_id_prefix(const vm_id& vm, incarnation life, std::uint64_t generation);

/// State of a registered call. A call is `unknown` if it ended without a complete response.
enum class call_outcome { running, done, not_run, unknown };

/// Response of a finished call, kept to answer repeated arrivals of the same id.
struct cached_response {
    unsigned status = 0;
    std::string content_type;
    std::string body;
    bool complete = false; ///< false if the body was not cached: too large, or the cache is full
};

/// State of one call id.
struct registered_call {
    call_outcome outcome = call_outcome::running;
    std::uint64_t fingerprint = 0; ///< of method, target and declared length; a mismatch is refused
    cached_response response;
    std::vector<std::uint64_t> waiters; ///< repeated arrivals that wait for the response
};

/// Registered calls of one generation.
using call_table = std::unordered_map<call_id, registered_call>;

/// At-most-once registry of one incarnation of an entry. The number of calls and the size of cached responses
/// are bounded.
struct call_registry {
    vm_id vm;
    incarnation life;
    std::uint64_t generation = 1;
    time_point generation_start{};
    duration generation_length = std::chrono::minutes(5);
    std::size_t max_calls = 200'000;
    std::size_t max_waiters = 16; ///< per call
    byte_count max_cached_bytes{16'777'216};
    byte_count cached_bytes{};
    std::size_t registered = 0; ///< calls in all tables below
    std::map<std::uint64_t, call_table>
        by_generation;          ///< by generation; expired ones are emptied incrementally
    call_table expired_running; ///< calls of expired generations that are still running
};

/// How to handle an arriving call.
enum class arrival_action {
    run,            ///< first arrival: this entry may dispatch it once
    wait,           ///< the call is running; its response will be delivered to this arrival
    answer_done,    ///< finished: answer with the cached response
    answer_not_run, ///< certainly not run: the registry is full
    answer_unknown, ///< may have run: ended without a response, expired, or of another incarnation
    forward,        ///< the id was issued by another entry, which alone may dispatch the call
    refuse_invalid  ///< malformed id, or an id reused for a different request
};

/// Decision on an arriving call.
struct arrival {
    arrival_action action = arrival_action::refuse_invalid;
    vm_id issuer;                          ///< VM that issued the id; set for forward
    const registered_call* call = nullptr; ///< set for answer_done; valid until the registry changes
    std::string reason;                    ///< set for answer_not_run, answer_unknown and refuse_invalid
};

/// Advances the generation and removes ids of expired generations. Each invocation removes a limited number
/// of ids, because clearing a full registry at once would block other calls for milliseconds. Ids that are
/// still to be removed are already treated as expired.
void advance_generation(call_registry& registry, time_point now);

/// Advances the generation, decides how to handle an arriving call and registers the id if it is new.
/// @param waiter  identifies this arrival; stored if the action is wait
arrival register_arrival(call_registry& registry, const call_id& id, std::uint64_t fingerprint,
                         std::uint64_t waiter, time_point now);

/// Records the end of a call. Call it exactly once for each arrival with the action `run`; it has no effect
/// on a call that is not running. A call that ended not_run is removed immediately, so that a flood of
/// refused calls cannot fill the registry, and may be registered and run again under the same id.
/// @return arrivals that wait for this response
std::vector<std::uint64_t> finish_call(call_registry& registry, const call_id& id, call_outcome outcome,
                                       cached_response response);

/// Removes a waiting arrival whose caller has disconnected.
void remove_waiter(call_registry& registry, const call_id& id, std::uint64_t waiter);

} // namespace endivelever
