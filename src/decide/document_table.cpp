#include "endivelever/decide/document_table.hpp"

#include <algorithm>

namespace endivelever {
namespace detail {

bool can_store(const document_table& table, const document_message& incoming) {
    if (incoming.payload.size() > max_document_size.value) {
        return false;
    }
    return table.documents.contains(incoming.key) || table.documents.size() < max_documents;
}

// The preset in force is sent first, so that a long list of definitions does not delay a switch.
int send_priority(const document_key& key) {
    if (key == in_force_key) {
        return 0;
    }
    return key == drains_key || key == vm_list_key ? 1 : 2;
}

document_version find_version(const std::vector<document_digest>& digests, const document_key& key) {
    const auto it = std::find_if(digests.begin(), digests.end(),
                                 [&key](const document_digest& digest) { return digest.key == key; });
    return it == digests.end() ? document_version{} : it->version;
}

} // namespace detail

bool merge_document(document_table& table, const document_message& incoming) {
    const auto known = version_of(table, incoming.key);
    if (incoming.version < known || incoming.version.value == 0) {
        return false;
    }
    if (incoming.version == known) {
        const bool same = table.documents.at(incoming.key).payload == incoming.payload;
        table.conflicts += same ? 0 : 1;
        return false;
    }
    if (!detail::can_store(table, incoming)) {
        ++table.refused;
        return false;
    }
    table.documents.insert_or_assign(incoming.key, incoming);
    return true;
}

document_version version_of(const document_table& table, const document_key& key) {
    const auto it = table.documents.find(key);
    return it == table.documents.end() ? document_version{} : it->second.version;
}

std::vector<document_digest> digests_of(const document_table& table) {
    std::vector<document_digest> digests;
    digests.reserve(table.documents.size());
    for (const auto& [key, document] : table.documents) {
        digests.push_back({key, document.version});
    }
    return digests;
}

std::vector<document_message> documents_newer_than(const document_table& table,
                                                   const std::vector<document_digest>& digests,
                                                   byte_count limit) {
    std::vector<const document_message*> newer;
    for (const auto& [key, document] : table.documents) {
        if (detail::find_version(digests, key) < document.version) {
            newer.push_back(&document);
        }
    }
    std::stable_sort(newer.begin(), newer.end(), [](const auto* first, const auto* second) {
        return detail::send_priority(first->key) < detail::send_priority(second->key);
    });
    std::vector<document_message> chosen;
    std::uint64_t bytes = 0;
    for (const auto* document : newer) {
        bytes += document->payload.size();
        if (!chosen.empty() && bytes > limit.value) {
            break;
        }
        chosen.push_back(*document);
    }
    return chosen;
}

} // namespace endivelever
