#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/wire/messages.hpp"

#include <map>
#include <string>
#include <vector>

namespace endivelever {

constexpr std::size_t max_documents = 1024;
constexpr byte_count max_document_size{1U << 20U}; ///< size limit of a value in the object store

/// Highest known version of each document. Versions never decrease.
struct document_table {
    std::map<document_key, document_message> documents;
    std::uint64_t conflicts = 0; ///< known version with another payload: a fault of the store or a peer
    std::uint64_t refused = 0;   ///< documents beyond max_documents or max_document_size
};

/// Keys of the documents (section 5.1 of docs/design.md).
inline const document_key in_force_key{"preset/in-force"};
inline const document_key drains_key{"drains"};
inline const document_key vm_list_key{"vm-list"};
inline const std::string definition_prefix = "preset/definition/";

/// Stores a document if its version is higher than the known one and the table has room.
/// @return true if the table changed
bool merge_document(document_table& table, const document_message& incoming);

/// @return version of a document; 0 if unknown
document_version version_of(const document_table& table, const document_key& key);

/// @return key and version of every document
std::vector<document_digest> digests_of(const document_table& table);

/// Returns the documents that are newer here than in a peer's digests, the preset in force first.
/// @param limit  maximum number of payload bytes, so that one exchange does not fill a link's send queue; the
///               next heartbeat continues. At least one document is returned if any is newer.
std::vector<document_message> documents_newer_than(const document_table& table,
                                                   const std::vector<document_digest>& digests,
                                                   byte_count limit = max_document_size);

} // namespace endivelever
