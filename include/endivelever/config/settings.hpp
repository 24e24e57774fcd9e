#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace endivelever {

/// IPv4 or IPv6 address and TCP port, for instance "127.0.0.1:8080" or "[::1]:8080".
using socket_address = strong_id<struct socket_address_tag>;

/// How an entry picks a server.
enum class choice_policy { estimated_wait, least_in_flight, two_choices, round_robin, random };

/// How an entry admits and orders calls.
enum class admission_policy { ranked, fifo };

/// What an entry without a preset lease does with new calls.
enum class isolation_policy { refuse, serve };

/// A group of equal servers. The servers themselves come from the platform's VM list.
struct service_settings {
    service_id id;
    std::uint32_t slots_per_server = 4;         ///< calls a server runs at the same time, 1 to 10,000
    std::uint32_t connections_per_server = 250; ///< connections a server accepts from all entries together
    choice_policy choice = choice_policy::estimated_wait;
    admission_policy admission = admission_policy::ranked;
};

/// A kind of work: what a call asks for, found by its path.
struct kind_settings {
    kind_id id;
    service_id service;
    std::string path_prefix;       ///< starts and ends with '/'; the longest match wins
    bool idempotent = false;       ///< true if a call may be repeated
    duration latency_target{};     ///< wanted p99 as seen by the caller
    duration default_deadline{};   ///< used when the caller names none
    duration max_deadline{};       ///< a longer deadline of the caller is cut to this
    byte_count max_request_body{}; ///< larger requests are refused with 413
};

/// An operator who may change presets.
struct operator_settings {
    operator_name name;
    std::string key;      ///< bearer key, at least 16 characters
    bool founder = false; ///< may pin a preset and release the pin
};

/// Limits of the listener for callers.
struct listener_limits {
    std::uint32_t max_connections = 4000;
    byte_count max_header_size{16'384};
    duration idle_timeout{};
};

/// Settings of the processes of one entry VM. All addresses are IP numbers.
struct settings {
    vm_id vm;
    endivelever::failure_domain failure_domain;
    socket_address caller_address;     ///< entry: callers connect here
    socket_address admin_address;      ///< entry: metrics, traces, state
    socket_address feed_address;       ///< control: entries and other controls connect here
    socket_address operator_address;   ///< control: the command line connects here
    socket_address platform_address;   ///< object store and VM list
    std::vector<socket_address> seeds; ///< feed addresses of other controls, used while the platform is down
    std::string cluster_key;           ///< authenticates frames between processes, at least 16 characters
    isolation_policy when_isolated = isolation_policy::refuse;
    duration graceful_stop_limit{}; ///< longest wait for calls in progress at a planned stop
    duration address_keep{};        ///< how long callers may keep an address response
    listener_limits limits;
    std::vector<operator_settings> operators;
    std::vector<service_settings> services;
    std::vector<kind_settings> kinds;
    std::string log_level = "info";
};

/// Parses settings from JSON with comments. Unknown keys are errors.
/// @param text    JSON document
/// @param source  name used in error messages, for instance a file name
/// @return the settings, or error [config.N] naming source and line or JSON pointer, value and what is
/// allowed
result<settings> parse_settings(const std::string& text, const std::string& source);

/// Reads and parses a settings file; errors as parse_settings(), or the file cannot be read.
result<settings> load_settings(const std::string& path);

/// @return JSON text that parse_settings() reads back to an equal value; it contains the keys
std::string to_json(const settings& value);

/// Splits an address into host and port.
/// @return host without brackets and port 0 to 65535, or error [config.N]
struct host_and_port {
    std::string host;
    std::uint16_t port = 0;
};
result<host_and_port> split_address(const socket_address& address);

} // namespace endivelever
