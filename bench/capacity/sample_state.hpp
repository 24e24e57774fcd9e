#pragma once

#include "endivelever/config/vm_list.hpp"
#include "endivelever/wire/messages.hpp"

#include <cstddef>
#include <vector>

namespace endivelever::bench {

constexpr std::size_t target_targets = 12'000; // letter 1: servers two years out
constexpr std::size_t target_services = 460;   // letter 1

/// A VM list with this many servers spread over services and failure domains.
vm_list sample_vm_list(std::size_t servers, std::size_t services);

/// Servers of one service.
std::vector<listed_server> sample_servers(std::size_t servers);

/// A member as heartbeats and member tables carry it.
member_record sample_member(std::size_t number);

/// A heartbeat with this many document digests.
heartbeat_message sample_heartbeat(std::size_t digests);

} // namespace endivelever::bench
