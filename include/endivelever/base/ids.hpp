#pragma once

#include "endivelever/base/strong_id.hpp"

#include <cstdint>

namespace endivelever {

using vm_id = strong_id<struct vm_id_tag>;                   ///< an entry VM
using server_id = strong_id<struct server_id_tag>;           ///< a server
using service_id = strong_id<struct service_id_tag>;         ///< a group of equal servers
using kind_id = strong_id<struct kind_id_tag>;               ///< a kind of work
using failure_domain = strong_id<struct failure_domain_tag>; ///< VMs that can fail together
using preset_name = strong_id<struct preset_name_tag>;       ///< name of a preset
using operator_name = strong_id<struct operator_name_tag>;   ///< who made a change
using operation_id = strong_id<struct operation_id_tag>;     ///< identifies one change request
using document_key = strong_id<struct document_key_tag>;     ///< key of an object in the store
using call_id = strong_id<struct call_id_tag>;               ///< value of the Idempotency-Key header

/// Life of one process on a VM. A higher number is a later life.
using incarnation = strong_number<struct incarnation_tag, std::uint64_t>;

/// Version that the object store gave a document; rises with each write. 0 means not known.
using document_version = strong_number<struct document_version_tag, std::uint64_t>;

/// Number of bytes.
using byte_count = strong_number<struct byte_count_tag, std::uint64_t>;

} // namespace endivelever
