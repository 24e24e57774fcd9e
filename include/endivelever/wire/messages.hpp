#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/object_revision.hpp"
#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"

#include <cstdint>
#include <limits>
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

/// State of one member, as sent by that member or forwarded by another.
struct member_record {
    vm_id vm;
    incarnation life;
    std::uint64_t sequence = 0; ///< increases with each heartbeat of this incarnation
    member_state state = member_state::live;
    endivelever::failure_domain failure_domain;
    std::string caller_address;
    std::string feed_address;
    std::string admin_address;
    incarnation entry_life;            ///< incarnation of the entry process; 0 while it is not connected
    std::uint64_t generation = 0;      ///< of the entry's call id prefix
    document_version applied;          ///< preset version that the entry applies
    std::vector<std::uint32_t> demand; ///< offered calls per second by kind, in the order of the settings
};

/// Key and version of a document, without its payload.
struct document_digest {
    document_key key;
    document_version version;
};

/// Sent by each control process to each of its peers at every heartbeat interval.
struct heartbeat_message {
    member_record self;
    std::vector<document_digest> digests;
    std::uint32_t store_age_ms = 0; ///< time since the sender last read the store successfully
};

/// A document as read from the object store.
struct document_message {
    document_key key;
    document_version version;
    std::string payload;
};

/// All members that an entry lists in address responses.
struct member_table_message {
    std::vector<member_record> members;
};

/// Lease on the preset in force: while it is valid, the entry may treat its preset as current.
struct lease_message {
    std::uint32_t valid_ms = 0; ///< counted from receipt; 0 revokes the lease
};

/// Status report of an entry process to the control process that sends it its documents.
struct entry_report_message {
    incarnation life;
    std::uint64_t generation = 0;
    document_version applied;
    member_state state = member_state::live;
    std::uint32_t open_calls = 0;
    std::vector<std::uint32_t> demand; ///< offered calls per second by kind, in the order of the settings
    std::vector<server_id> draining;   ///< servers that reported that they are draining
};

/// Last status that a VM has received from another. It shows the other VM that a status was created after
/// it had sent the echoed one.
struct status_echo {
    std::uint64_t vm = 0; ///< hash of the VM's id
    incarnation life;
    std::uint64_t sequence = 0;
};

/// Lease on one shard of the tenants, as known to the sender of a status.
struct quota_lease_status {
    std::uint64_t revision = 0; ///< of the lease's object in the store, in the era of the status
    std::uint64_t holder = 0;   ///< hash of the holder's id
    std::uint8_t shard = 0;
    bool released = false; ///< the holder grants nothing more
};

/// Tokens of one tenant that a VM needs, and unused ones that it gives back.
struct quota_demand {
    std::uint64_t tenant = 0; ///< hash of the tenant's id
    std::uint32_t wanted = 0;
    bool is_extra = false; ///< for second attempts of requests in progress
};

/// Sent by a VM to the allocator of a shard.
struct quota_request_message {
    vm_id vm;
    incarnation life;
    std::uint64_t number = 0; ///< the grant repeats it
    std::string reply_to;     ///< address for the grant
    std::vector<quota_demand> demands;
};

/// Tokens granted for one tenant.
struct quota_tokens {
    std::uint64_t tenant = 0; ///< hash of the tenant's id
    std::uint32_t tokens = 0;
    std::uint32_t retry_after_ms = 0; ///< until the next token, if fewer were granted than wanted
};

/// Response of an allocator to a quota_request_message.
struct quota_grant_message {
    std::uint64_t number = 0;
    bool is_holder = false; ///< false if the sender does not hold the lease
    std::uint32_t lifetime_ms = 0;
    std::vector<quota_tokens> grants;
};

/// Status datagram that each gateway VM sends to its peers.
struct gateway_status_message {
    vm_id vm;
    incarnation life;
    std::uint64_t sequence = 0;
    member_state state = member_state::live;
    endivelever::failure_domain failure_domain;
    std::string caller_address;
    std::string peer_address;
    std::string relay_address;         ///< serves configuration and server entries to peers
    std::uint64_t routing_version = 0; ///< version of the routing configuration in force; 0 if none
    object_revision servers_revision;  ///< of the server entries; 0 if none
    /// Collects the state of its failure domain. Only a head sets the fields about the store and the fleet.
    bool is_head = false;
    bool store_answers = false;                ///< the store answered the sender's last call
    std::uint32_t fleet_size = 0;              ///< serving VMs of all failure domains
    std::vector<std::string> domain_addresses; ///< serving VMs of the sender's failure domain
    std::vector<std::string> other_addresses;  ///< some serving VMs of other failure domains
    bool store_heard = false;   ///< the store answers this head, or any head from which it receives status
    std::uint32_t capacity = 0; ///< processor share in hundredths of a core
    /// Milliseconds since the store is known to have held nothing newer than the versions above.
    std::uint32_t knowledge_age_ms = std::numeric_limits<std::uint32_t>::max();
    object_revision evacuations_revision; ///< of the evacuations; 0 if they are not known
    std::vector<endivelever::failure_domain>
        evacuated_domains;                        ///< failure domains whose servers get no requests
    std::vector<status_echo> echoes;              ///< VMs heard lately
    std::vector<quota_lease_status> quota_leases; ///< known to the sender, written in store_era
    /// Milliseconds since the routing configuration of the sender is proven to have been in force.
    std::uint32_t proof_age_ms = std::numeric_limits<std::uint32_t>::max();
    endivelever::store_era store_era; ///< latest that the sender knows
};

using message =
    std::variant<hello_message, heartbeat_message, document_message, member_table_message, lease_message,
                 entry_report_message, gateway_status_message, quota_request_message, quota_grant_message>;

/// Encodes a message as FlatBuffers.
std::string encode(const message& value);

/// Verifies and decodes a payload.
/// @return the message, or error [wire.N] if verification fails or a required field is missing
result<message> decode(std::span<const std::uint8_t> payload);

} // namespace endivelever
