#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/decide/server_directives.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace endivelever {

/// Where a directive was read.
enum class directive_source {
    response, ///< to a request of a caller
    probe     ///< to a health check
};

/// Place of a VM in the order of all VMs for one server. The order differs from server to server.
struct fleet_position {
    std::size_t position = 0; ///< 0 is the first
    std::size_t vms = 1;
};

/// Requests that a VM may send to one incarnation of a server, from what that server said last. A server that
/// said nothing gets any number of requests.
struct request_allowance {
    std::optional<double> fleet_limit; ///< requests per second from all VMs together
    double rate = 0.0;                 ///< share of this VM, in requests per second
    double tokens = 0.0;               ///< requests that may be sent now
    time_point credited_at{};          ///< when `tokens` was computed
    bool named_in_probes = false;      ///< probes show the limit too, so one without it ends the limit
    time_point paused_until{};         ///< the server wants no request and no probe until then
};

/// A server cannot keep requests away for longer than this with one response.
constexpr duration max_pause = std::chrono::minutes(5);

/// Rendezvous hashing: order of the VMs for a server, the same on all VMs that know the same VMs.
fleet_position position_for(const server_id& server, const vm_id& own, const std::vector<vm_id>& others);

/// Share of a server's limit. Few VMs get nearly all of it if the limit is low, since each VM may send a
/// whole request at any time; the others get a small part, so that they notice when the limit has ended.
/// @return requests per second
double share_of_limit(double fleet_limit, const fleet_position& position);

/// Applies what a response says. A response without a limit ends it; a probe without one only if probes of
/// this server have named it.
/// @param phase  0 to 1, spreads the first requests of VMs that have a small share
/// @return true if the limit changed
bool apply_directives(request_allowance& allowance, const server_directives& said, directive_source source,
                      const fleet_position& position, double phase, time_point now);

/// @return when the next request may be sent: not later than `now` if one may be sent now; time_point::max()
/// if that is not foreseeable
time_point next_request_at(const request_allowance& allowance, time_point now);

/// True if a request may be sent now.
bool may_send(const request_allowance& allowance, time_point now);

/// True if the server has asked for a pause that is not over.
bool is_paused(const request_allowance& allowance, time_point now);

/// Records that a request was sent.
void note_request_sent(request_allowance& allowance, time_point now);

} // namespace endivelever
