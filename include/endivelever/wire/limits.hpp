#pragma once

#include <cstddef>
#include <cstdint>

/// Upper bounds of a message. Elements of a FlatBuffers vector may share their storage, so the size of the
/// frame alone does not bound the memory that a decoded message takes.
namespace endivelever::wire_limits {

constexpr std::size_t name_bytes = 512;           ///< one id, key or address
constexpr std::size_t document_bytes = 1'048'576; ///< payload of one document, as in the store
constexpr std::size_t kinds = 256;                ///< kinds of work
constexpr std::size_t digests = 4096;             ///< documents named in a heartbeat
constexpr std::size_t members = 1024;             ///< entry VMs in a member table
constexpr std::size_t servers = 16'384;           ///< servers named in an entry report
constexpr std::uint32_t depth = 8;                ///< nested tables
constexpr std::uint32_t tables = 8192;            ///< tables in one message

} // namespace endivelever::wire_limits
