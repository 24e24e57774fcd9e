#pragma once

#include <cstddef>
#include <cstdint>

/// Upper limits on the fields of a message. Elements of a FlatBuffers vector may share storage, so the frame
/// size alone does not bound the memory that a decoded message needs.
namespace endivelever::wire_limits {

constexpr std::size_t name_bytes = 512;           ///< of one id, key or address
constexpr std::size_t document_bytes = 1'048'576; ///< of one document's payload; limit of the store as well
constexpr std::size_t kinds = 256;                ///< entries of a demand vector, one per kind
constexpr std::size_t digests = 4096;             ///< documents listed in a heartbeat
constexpr std::size_t members = 1024;             ///< entry VMs in a member table
constexpr std::size_t servers = 16'384;           ///< servers listed in an entry report
constexpr std::size_t failure_domains = 256;      ///< failure domains listed in a status
constexpr std::size_t quota_shards = 64;          ///< leases listed in a status
constexpr std::size_t quota_tenants = 1024;       ///< tenants in one request or grant
constexpr std::uint32_t depth = 8;                ///< nesting depth of tables
constexpr std::uint32_t tables = 8192;            ///< tables in one message

} // namespace endivelever::wire_limits
