#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace endivelever {

enum class process_role : std::uint8_t { entry, control };
enum class member_state : std::uint8_t { live, leaving };

/// First message on each connection.
struct hello_message {
    vm_id vm;
    process_role role = process_role::control;
    incarnation life;
    endivelever::failure_domain failure_domain;
    std::string caller_address;
    std::string feed_address;
    std::string admin_address;
};

/// What one member says or repeats about a member.
struct member_record {
    vm_id vm;
    incarnation life;
    std::uint64_t sequence = 0; ///< rises with each heartbeat of this life
    member_state state = member_state::live;
    endivelever::failure_domain failure_domain;
    std::string caller_address;
    std::string feed_address;
    std::string admin_address;
    incarnation entry_life;            ///< life of the entry process; 0 while it is not connected
    std::uint64_t generation = 0;      ///< generation of the entry's call id prefix
    document_version applied;          ///< preset version that the entry applies
    std::vector<std::uint32_t> demand; ///< offered calls a second by kind, in the order of the settings
};

/// Key and version of a document.
struct document_digest {
    document_key key;
    document_version version;
};

/// Sent by each control to each peer at every heartbeat interval.
struct heartbeat_message {
    member_record self;
    std::vector<document_digest> digests;
    std::uint32_t store_age_ms = 0; ///< time since the sender last read the store successfully
};

/// A document as stored.
struct document_message {
    document_key key;
    document_version version;
    std::string payload;
};

/// All members that an entry names in address responses.
struct member_table_message {
    std::vector<member_record> members;
};

/// Permission to treat the preset as current.
struct lease_message {
    std::uint32_t valid_ms = 0; ///< from receipt; 0 withdraws the lease
};

/// What an entry reports to the control that feeds it.
struct entry_report_message {
    incarnation life;
    std::uint64_t generation = 0;
    document_version applied;
    member_state state = member_state::live;
    std::uint32_t open_calls = 0;
    std::vector<std::uint32_t> demand; ///< offered calls a second by kind, in the order of the settings
    std::vector<server_id> draining;   ///< servers that said they are draining
};

/// Datagram that each gateway VM sends to its peers.
struct gateway_status_message {
    vm_id vm;
    incarnation life;
    std::uint64_t sequence = 0;
    member_state state = member_state::live;
    endivelever::failure_domain failure_domain;
    std::string caller_address;
    std::string peer_address;
    std::string relay_address;          ///< serves configuration and server entries to peers
    std::uint64_t routing_version = 0;  ///< version of the routing configuration in force; 0 if none
    std::uint64_t servers_revision = 0; ///< store revision of the server entries; 0 if none
    bool is_head = false;               ///< collects the state of its failure domain; set with what follows
    bool store_answers = false;         ///< its last call to the store was answered
    std::uint32_t fleet_size = 0;       ///< serving VMs of all failure domains
    std::vector<std::string> domain_addresses; ///< serving VMs of the sender's failure domain
    std::vector<std::string> other_addresses;  ///< some serving VMs of other failure domains
    bool store_heard = false;   ///< the store answers this head, or a head of any domain that it hears
    std::uint32_t capacity = 0; ///< processor share in hundredths of a core
};

using message = std::variant<hello_message, heartbeat_message, document_message, member_table_message,
                             lease_message, entry_report_message, gateway_status_message>;

/// Encodes a message as FlatBuffers.
std::string encode(const message& value);

/// Verifies and decodes a payload.
/// @return the message, or error [wire.N] if verification fails or a required field is missing
result<message> decode(std::span<const std::uint8_t> payload);

} // namespace endivelever
