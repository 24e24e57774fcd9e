#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/wire/messages.hpp"

#include <map>
#include <vector>

namespace endivelever {

/// A VM that registered in the store.
struct registered_vm {
    vm_id vm;
    endivelever::failure_domain failure_domain;
    std::string peer_address;   ///< datagrams
    std::uint32_t capacity = 0; ///< processor share in hundredths of a core
};

/// Another gateway VM.
struct peer {
    registered_vm record;
    std::uint64_t rank = 0;        ///< see rank_of(); the highest ones of a domain are its heads
    gateway_status_message status; ///< as last heard
    time_point last_heard{};       ///< default if never
    time_point tried_since{};      ///< since when it is expected to act as a head; default if it is not
    time_point dead_until{};       ///< it was silent as a head and is not tried before this time
    time_point last_sent{};
};

/// Gateway VMs that this one knows. In each failure domain the VMs with the highest rank are its heads: they
/// collect the state of the domain's VMs and tell all of them. The others send their state to the heads only,
/// so that the traffic grows with the number of VMs and not with its square. A few heads of the whole fleet
/// watch the store and tell the other heads, so that calls to the store do not grow with the failure domains.
struct peer_table {
    registered_vm own;
    std::map<vm_id, peer> peers;
    bool is_head = false;       ///< this VM is one of the heads of its domain
    bool loaded = false;        ///< the list in the store was read once
    time_point started{};       ///< from when on a status of a head is expected
    time_point head_heard_at{}; ///< last status of a head of the own domain
    /// Heads whose last status told that the store answers, and when it came.
    std::map<vm_id, time_point> reach_store;
    time_point asked_as_head{};                ///< last status that another VM of the domain sent to this one
    std::vector<std::string> domain_addresses; ///< serving VMs of the own domain, as its heads tell
    std::vector<std::string> other_addresses;  ///< some serving VMs of other domains, as the heads tell
    std::uint32_t fleet_size = 1;              ///< serving VMs of all domains, as the heads tell
};

/// Hash of a VM's id, the same on all VMs and spread evenly.
std::uint64_t hash_of(const vm_id& vm);

/// Order of the VMs, the same on all of them: by capacity first, since a head does the work of its domain,
/// and by a hash of the id.
std::uint64_t rank_of(const vm_id& vm, std::uint32_t capacity);

constexpr std::size_t heads_per_domain = 2;
/// Heads that watch the store while it answers them. One may die and one may lose the store at the same time.
constexpr std::size_t watchers_per_fleet = 3;
/// Time between two status datagrams.
constexpr duration status_interval = std::chrono::milliseconds(250);
/// Heads of different domains hear of each other at this interval, and at once of a change.
constexpr duration domain_interval = std::chrono::milliseconds(500);
/// A head or member that is silent for this long counts as gone: three datagrams in a row may be lost.
constexpr duration silence_limit = std::chrono::milliseconds(1050);

/// Takes over the list of registered VMs.
void apply_registered(peer_table& table, const std::vector<registered_vm>& listed);

/// Takes over a status. One that is older than the known one is ignored, unless that peer fell silent.
/// @return true if it was taken over
bool merge_status(peer_table& table, const gateway_status_message& status, time_point now);

/// Heads of a failure domain as far as this VM knows, highest rank first, at most heads_per_domain.
/// Silent ones are passed over for a while. This VM is among them if it ranks high enough.
std::vector<vm_id> find_heads(peer_table& table, const failure_domain& domain, time_point now);

/// Heads of the whole fleet that watch the store, as far as this VM knows, highest rank first.
std::vector<vm_id> find_watchers(peer_table& table, time_point now);

/// What this VM has to do at present.
struct peer_duties {
    bool is_head = false; ///< collects and tells the state of its domain
    bool watches = false; ///< reads the store itself
};

/// True if the store answers a head that this VM heard lately. A VM that watches counts those above it only,
/// so that of several which took over at the same time one goes on.
bool hears_of_store(const peer_table& table, bool watches, time_point now);

/// The watchers of the fleet watch the store. Another VM does so as well if it hears no head, or if the heads
/// have said for a while that the store answers none of them; the time grows with its rank, heads come first,
/// so that an outage of the store does not make all VMs call it.
/// @param store_bad_since  since when no head that this VM hears has access to the store; default if one has
peer_duties find_duties(peer_table& table, time_point store_bad_since, time_point now);

/// True if callers may be sent to the peer: heard lately, not leaving, configuration in force.
bool is_serving(const peer& it, time_point now);

/// Addresses of the serving VMs of the own domain that this VM heard itself, its own one included if it
/// serves.
std::vector<std::string> heard_addresses(const peer_table& table, const std::string& own_caller_address,
                                         bool own_serves, time_point now);

/// Takes over what a head of the own domain tells about the domain and the others.
void apply_head_status(peer_table& table, const gateway_status_message& status, time_point now);

/// Addresses for a caller. Large responses should not cross failure domains, so the VMs of the caller's
/// domain come first; others are added where there are fewer than `enough`.
/// @param near    serving VMs of the caller's domain
/// @param far     serving VMs of other domains
/// @param enough  addresses that make an answer complete; a caller that fails at one tries another
std::vector<std::string> caller_addresses(std::vector<std::string> near, std::vector<std::string> far,
                                          std::size_t enough, random_source& random);

} // namespace endivelever
