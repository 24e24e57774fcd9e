#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"

#include <cstddef>
#include <vector>

namespace endivelever {

/// Requests that this VM may send to one server while that is cold. A cold server fails if all VMs together
/// send more than it tolerates, and VMs that are cut off count too, so a few VMs use it and the others do
/// not.
struct warm_up_allowance {
    time_point cold_until{};  ///< default if the server is not known to be cold
    bool is_sender = false;   ///< this VM is one of those that use the server while it is cold
    double tokens = 0.0;      ///< requests that may be sent now
    time_point credited_at{}; ///< when `tokens` was computed
};

/// Requests per second that each of the VMs that use a cold server sends to it.
constexpr double warm_up_sender_rate = 1.0;
/// Most requests that one such VM sends in one second: one that it has saved and one that it gains.
constexpr double warm_up_sender_peak = 2.0;
/// Senders for which room is left, because VMs may know different members for a while.
constexpr std::size_t warm_up_spare_senders = 3;

/// @param limit  requests that a cold server tolerates in any second from all VMs together
/// @return how many VMs may use it, each at warm_up_sender_rate
std::size_t warm_up_senders(double limit);

/// A VM that may use a cold server.
struct warm_up_member {
    vm_id vm;
    endivelever::failure_domain failure_domain;
};

/// True if this VM is one of the `n` that use a cold server. VMs of the server's failure domain come first,
/// then rendezvous hashing decides, so that all VMs that know the same members agree.
bool is_warm_up_sender(const server_id& server, const failure_domain& server_domain,
                       const warm_up_member& own, const std::vector<warm_up_member>& others, std::size_t n);

/// Records that the server is cold until `until`; not cold if that has passed.
void note_cold(warm_up_allowance& allowance, time_point until, bool is_sender, time_point now);

bool is_cold(const warm_up_allowance& allowance, time_point now);

/// @return when the next request may be sent: not later than `now` if one may be sent now
time_point next_request_at(const warm_up_allowance& allowance, time_point now);

/// Records that a request was sent.
void note_request_sent(warm_up_allowance& allowance, time_point now);

} // namespace endivelever
