#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/wire/messages.hpp"

#include <map>
#include <vector>

namespace endivelever {

/// A gateway VM's registration in the object store.
struct registered_vm {
    vm_id vm;
    endivelever::failure_domain failure_domain;
    std::string peer_address;   ///< receives status datagrams
    std::uint32_t capacity = 0; ///< processor share in hundredths of a core
};

/// Another gateway VM.
struct peer {
    registered_vm record;
    std::uint64_t rank = 0;           ///< see rank_of(); the highest ranks of a failure domain are its heads
    gateway_status_message status;    ///< last status received
    time_point last_heard{};          ///< receipt of the last status; default if none was received
    time_point head_expected_since{}; ///< start of the wait for its status as a head; default if not waiting
    time_point head_excluded_until{}; ///< not considered as a head until then, since it sent no status as one
    duration head_exclusion{};        ///< length of the last exclusion; 0 after a status
    time_point last_sent{};
};

/// Gateway VMs known to this one. The VMs with the highest rank in a failure domain are its heads: they
/// collect the status of the domain's VMs and send the result to all of them. Other VMs send their status to
/// the heads only, so that traffic grows linearly with the number of VMs instead of quadratically. A few
/// heads of the whole fleet watch the object store and inform the other heads, so that the number of store
/// calls does not depend on the number of failure domains.
struct peer_table {
    registered_vm own;
    std::string own_caller_address;
    std::map<vm_id, peer> peers;
    bool is_head = false;       ///< this VM is a head of its failure domain
    bool loaded = false;        ///< the list of VMs has been read from the store at least once
    time_point started{};       ///< start of this VM; heads are expected to send a status from then on
    time_point head_heard_at{}; ///< receipt of the last status from a head of the own domain
    /// Heads whose last status reported that the store answers, with the time of receipt.
    std::map<vm_id, time_point> heads_with_store;
    time_point member_heard_at{}; ///< receipt of the last status from a VM of the own domain that is no head
    std::vector<std::string> domain_addresses; ///< serving VMs of the own domain, as reported by its heads
    std::vector<std::string> other_addresses; ///< some serving VMs of other domains, as reported by the heads
    std::uint32_t fleet_size = 1; ///< number of serving VMs in all domains, as reported by the heads
    /// Until when peers' statuses show that the store held nothing newer than this VM's state.
    time_point confirmed_at{};
    /// The same, from peers of higher rank that read the store themselves.
    time_point confirmed_by_reader_at{};
};

/// Versions of the state that a VM holds.
struct known_versions {
    std::uint64_t routing_version = 0;
    object_revision servers_revision{};
    object_revision evacuations_revision{};
};

/// Hash of a VM's id. It is uniformly distributed and gives the same result on all VMs.
std::uint64_t hash_of(const vm_id& vm);

/// Rank of a VM, the same on all VMs. It orders by capacity first, since a head does additional work for its
/// failure domain, and then by a hash of the id.
/// @param capacity  processor share in hundredths of a core
std::uint64_t rank_of(const vm_id& vm, std::uint32_t capacity);

constexpr std::size_t heads_per_domain = 2;
/// Heads that watch the store while it answers them. Three tolerate one that fails and another that loses its
/// connection to the store at the same time.
constexpr std::size_t watchers_per_fleet = 3;
/// Interval between two status datagrams within a failure domain.
constexpr duration status_interval = std::chrono::milliseconds(250);
/// Interval between two status datagrams to heads of other failure domains; changes are sent at once.
constexpr duration cross_domain_status_interval = std::chrono::milliseconds(500);
/// A VM that sent no status for this long counts as failed. Three datagrams in a row may be lost.
constexpr duration peer_timeout = std::chrono::milliseconds(1050);

/// Applies the list of VMs that the store has registered.
void apply_registered(peer_table& table, const std::vector<registered_vm>& listed);

/// Applies a status. A status older than the known one is ignored, unless the peer had timed out.
/// @return true if the status was applied
bool merge_status(peer_table& table, const gateway_status_message& status, time_point now);

/// Heads of a failure domain as known to this VM, highest rank first, at most heads_per_domain.
/// VMs that timed out are skipped for a while. This VM is included if its rank is high enough.
std::vector<vm_id> find_heads(peer_table& table, const failure_domain& domain, time_point now);

/// Heads of the whole fleet that watch the store, as known to this VM, highest rank first, at most
/// watchers_per_fleet.
std::vector<vm_id> find_watchers(peer_table& table, time_point now);

/// Why a VM reads the object store itself.
enum class watch_reason {
    none,             ///< it does not
    rank,             ///< one of the watchers of the fleet
    unconfirmed,      ///< no peer has confirmed for too long that the state of this VM is current
    store_unreachable ///< no head that it hears reaches the store
};

/// @return the name of a reason, for logs
const char* to_string(watch_reason reason);

/// Coordination tasks that this VM currently has.
struct peer_duties {
    bool is_head = false; ///< collects and distributes the status of its failure domain
    bool watches = false; ///< reads the object store itself
    watch_reason reason = watch_reason::none;
};

/// True if a recent status of another head reports that the store answers. A VM that watches the store
/// considers heads of higher rank only, so that exactly one continues if several took over at the same time.
/// Also true shortly after this VM started, while such a status cannot be expected yet.
/// @param watches  true if this VM watches the store
bool head_reaches_store(const peer_table& table, bool watches, time_point now);

/// Updates the times up to which this VM's state is confirmed, from the statuses of its peers. A status
/// counts if it names no newer version than this VM holds, so a transfer that hangs leaves the state
/// unconfirmed although its sender is heard.
void update_confirmations(peer_table& table, const known_versions& own);

/// The same for the latest status of one peer.
void update_confirmations(peer_table& table, const peer& from, const known_versions& own);

/// A VM whose state was not confirmed for this long reads the store. With the check interval of the watchers,
/// the status intervals and one call to the store, a change is in force within two seconds whatever happens
/// to the peers of a VM.
constexpr duration head_confirmation_limit = std::chrono::milliseconds(900);
/// Heads go first, so that their members hear of them before they read the store as well.
constexpr duration confirmation_limit = std::chrono::milliseconds(1200);

/// Determines the tasks of this VM. The store is watched by the watchers of the fleet. Another VM watches it
/// as well if its state is not confirmed by its peers, or if no head had access to the store for some time.
/// That time grows with the VM's position among the VMs that serve callers, so that heads take over first and
/// an outage of the store does not make all VMs call it at once.
/// @param watches                  true if this VM watches the store now; it goes on until one of higher rank
///                                 reads the store, so that several do not leave it to each other
/// @param store_unreachable_since  when the last head known to this VM lost access to the store; default if
///                                 at least one has access
peer_duties find_duties(peer_table& table, bool watches, time_point store_unreachable_since, time_point now);

/// True if callers may be directed to the peer: its status is recent, it is not leaving, and it has a
/// configuration in force.
bool is_serving(const peer& it, time_point now);

/// Caller addresses of the serving VMs of the own domain whose status this VM received itself.
/// @param is_serving_itself  true if this VM's own address is to be included
std::vector<std::string> heard_addresses(const peer_table& table, bool is_serving_itself, time_point now);

/// Applies the serving addresses and the fleet size that a head of the own domain reports.
void apply_head_status(peer_table& table, const gateway_status_message& status, time_point now);

/// Selects the addresses returned to a caller, in random order. Large responses should not cross failure
/// domains, so VMs of the caller's domain come first; VMs of other domains are added only up to `min_count`
/// addresses.
/// @param same_domain    serving VMs of the caller's domain
/// @param other_domains  serving VMs of other domains
/// @param min_count      addresses to return if available, so that a caller can retry at another VM
std::vector<std::string> caller_addresses(std::vector<std::string> same_domain,
                                          std::vector<std::string> other_domains, std::size_t min_count,
                                          random_source& random);

} // namespace endivelever
