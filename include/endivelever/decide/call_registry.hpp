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

/// Parts of a call id "<vm>.<incarnation>.<generation>.<unique>"; the VM id may contain no dot.
struct call_id_parts {
    vm_id vm;
    incarnation life;             ///< lower-case hexadecimal in the text, without leading zeros
    std::uint64_t generation = 0; ///< decimal in the text, from 1
    std::string unique;           ///< 1 to 64 letters, digits, '-' or '_'
};

/// Each id has exactly one spelling, because two spellings of one id would count as two calls.
/// @return the parts, or error [call.1] naming what is wrong
result<call_id_parts> parse_call_id(const call_id& id);

/// @return prefix "<vm>.<incarnation>.<generation>" that callers put before their unique part
std::string call_id_prefix(const vm_id& vm, incarnation life, std::uint64_t generation);

enum class call_outcome { running, done, not_run, unknown };

/// Finished response kept for a repeated arrival, if it was small enough to keep.
struct kept_response {
    unsigned status = 0;
    std::string content_type;
    std::string body;
    bool complete = false; ///< false if the body was too large to keep
};

struct registered_call {
    call_outcome outcome = call_outcome::running;
    std::uint64_t fingerprint = 0; ///< of method, target and declared length; a mismatch is refused
    kept_response response;
    std::vector<std::uint64_t> waiters; ///< arrivals that wait for the first one's response
};

/// Calls registered in one generation.
using call_table = std::unordered_map<call_id, registered_call>;

/// At-most-once registry of one entry's life. Bounded in calls and bytes of kept responses.
struct call_registry {
    vm_id vm;
    incarnation life;
    std::uint64_t generation = 1;
    time_point generation_start{};
    duration generation_length = std::chrono::minutes(5);
    std::size_t max_calls = 200'000;
    std::size_t max_waiters = 16;
    byte_count max_kept_bytes{16'777'216};
    byte_count kept_bytes{};
    std::size_t registered = 0;                   ///< calls in all tables below
    std::map<std::uint64_t, call_table> accepted; ///< by generation; expired ones are emptied step by step
    call_table outlived; ///< calls that are still running although their generation has expired
};

enum class arrival_action {
    run,            ///< first arrival: this entry may dispatch it, once
    wait,           ///< the first arrival is running; its response will be passed on
    answer_done,    ///< finished; answer with the kept response
    answer_not_run, ///< certainly not run: the registry is full
    answer_unknown, ///< may have run: ended without a response, expired, or of another life
    forward,        ///< another entry is the home entry
    refuse_invalid  ///< malformed id, or reused for a different request
};

struct arrival {
    arrival_action action = arrival_action::refuse_invalid;
    vm_id home;                            ///< set for forward
    const registered_call* call = nullptr; ///< set for answer_done; valid until the registry changes
    std::string reason;                    ///< set for answer_not_run, answer_unknown and refuse_invalid
};

/// Advances the generation and forgets ids of generations that are no longer accepted. One call forgets a
/// limited number of ids, because forgetting a full registry at once would hold up calls for milliseconds;
/// ids that are still to be forgotten are answered as forgotten.
void advance_generation(call_registry& registry, time_point now);

/// Decides on an arriving call id and registers it if it is new here. Advances the generation first.
/// @param waiter  number of this arrival, kept if the action is wait
arrival register_arrival(call_registry& registry, const call_id& id, std::uint64_t fingerprint,
                         std::uint64_t waiter, time_point now);

/// Records the end of a call; call it exactly once for each arrival with the action `run`. A call that
/// ended not_run is forgotten at once, so that a flood of refused calls cannot fill the registry, and may be
/// registered and run again under the same id. Ignored for a call that is not running.
/// @return arrivals that wait for this response
std::vector<std::uint64_t> finish_call(call_registry& registry, const call_id& id, call_outcome outcome,
                                       kept_response response);

/// Removes a waiting arrival whose caller left.
void remove_waiter(call_registry& registry, const call_id& id, std::uint64_t waiter);

} // namespace endivelever
