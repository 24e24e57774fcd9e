#pragma once

#include "endivelever/base/time.hpp"
#include "endivelever/wire/messages.hpp"

#include <deque>

namespace endivelever {

/// What this VM can prove about the age of its routing configuration. The receipt of a status proves nothing,
/// since datagrams wait in the socket while the VM is paused; an echo of a status that this VM has sent does.
struct currency_proof {
    struct sent_status {
        std::uint64_t sequence = 0;
        time_point at{};
    };
    std::deque<sent_status> sent; ///< latest statuses of this VM, oldest first
    time_point proven_at{};       ///< no change before this time is missing; default if that is not proven
};

/// Most statuses that are remembered. An echo of an older one proves nothing of interest.
constexpr std::size_t max_sent_statuses = 64;

/// Records that this VM has created a status.
void note_status_sent(currency_proof& proof, std::uint64_t sequence, time_point now);

/// Records a read of the store that returned the configuration in force.
/// @param started  when the read was sent
void note_current_read(currency_proof& proof, time_point started);

/// Applies the proof of a peer: its status was created after this VM sent the status that it echoes.
/// @param own_vm       hash of this VM's id
/// @param own_version  version of the routing configuration that this VM holds
/// @return true if the proof is later than the known one
bool apply_peer_proof(currency_proof& proof, const gateway_status_message& status, std::uint64_t own_vm,
                      incarnation own_life, std::uint64_t own_version);

/// @return age of the proof for a status, in whole milliseconds and not less than it is; the maximum if there
/// is none
std::uint32_t proof_age_ms(const currency_proof& proof, time_point now);

/// Part of the bound on revocations after which a VM without a newer proof refuses requests with a key.
constexpr double max_proof_share = 0.6;

/// True if requests with a key may be served.
/// @param limit  bound within which a revoked key has to be refused; 0 if there is none
bool is_current(const currency_proof& proof, duration limit, time_point now);

} // namespace endivelever
