#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/wire/messages.hpp"

#include <map>
#include <vector>

namespace endivelever {

/// Another gateway VM.
struct peer {
    gateway_status_message status; ///< as last heard; only the addresses are set before the first status
    time_point last_heard{};       ///< default if never
    time_point last_sent{};
    bool registered = false; ///< named by the list in the store
};

/// Gateway VMs that this one knows.
struct peer_table {
    std::map<vm_id, peer> peers;
    std::size_t most_known = 0; ///< largest number of VMs known at one time, this one included
    bool loaded = false;        ///< the list in the store was read once
};

/// How status datagrams are paced.
struct peer_pacing {
    duration interval = std::chrono::milliseconds(250); ///< wanted time between two datagrams to one peer
    std::uint32_t sends_per_second = 120;               ///< of one VM to all peers; stretches the interval
    duration suspect_after = std::chrono::milliseconds(1300);
};

/// A VM that registered in the store.
struct registered_vm {
    vm_id vm;
    endivelever::failure_domain failure_domain;
    std::string caller_address;
    std::string peer_address;
};

/// Takes over the list of registered VMs. Peers that were never heard and are no longer listed are dropped.
/// @param own  left out
void apply_registered(peer_table& table, const std::vector<registered_vm>& listed, const vm_id& own);

/// Takes over a status. One that is older than the known one is ignored, unless that peer fell silent.
/// @return true if it was taken over
bool merge_status(peer_table& table, const gateway_status_message& status, const peer_pacing& pacing,
                  time_point now);

/// Time between two datagrams to one peer at the present number of peers.
duration status_interval(const peer_table& table, const peer_pacing& pacing);

/// True if the peer was heard within the limit.
bool is_reachable(const peer_table& table, const peer& it, const peer_pacing& pacing, time_point now);

/// True if callers may be sent to the peer: reachable, not leaving, configuration in force.
bool is_serving(const peer_table& table, const peer& it, const peer_pacing& pacing, time_point now);

/// Peers to which a status is due now, longest waiting first; they count as sent.
std::vector<socket_address> due_peers(peer_table& table, const peer_pacing& pacing, time_point now);

/// Number of serving VMs, this one included.
std::uint32_t serving_vms(const peer_table& table, const peer_pacing& pacing, time_point now);

/// What is known of this VM for an address answer.
struct own_address {
    endivelever::failure_domain failure_domain;
    std::string caller_address;
    bool serving = false;
};

/// Addresses for a caller. Requests between failure domains cost more, so the caller's own domain comes
/// first; VMs of other domains are added where it has fewer than `enough`.
/// @param asked   failure domain of the caller
/// @param enough  addresses that make an answer complete; a caller that fails at one tries another
std::vector<std::string> caller_addresses(const peer_table& table, const own_address& own,
                                          const failure_domain& asked, std::size_t enough,
                                          const peer_pacing& pacing, time_point now, random_source& random);

} // namespace endivelever
