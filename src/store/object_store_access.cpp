#include "endivelever/store/object_store_access.hpp"

namespace endivelever {

void note_era(object_store_access& access, store_era era) {
    if (era <= access.era) {
        return;
    }
    const auto before = std::exchange(access.era, era);
    if (access.on_new_era) {
        access.on_new_era(before);
    }
}

transfer_id call_store(object_store_access& access, http_request request, byte_count max_body,
                       std::function<void(const store_reply&)> on_reply) {
    ++access.counts.calls;
    return fetch(*access.client, std::move(request), max_body,
                 [&access, take = std::move(on_reply)](const http_reply& reply) {
                     const auto named = access.protocol.read_era(reply.headers);
                     note_era(access, named.value_or(access.era));
                     const auto era = named.value_or(access.era);
                     const bool is_outdated = era < access.era;
                     access.counts.outdated += is_outdated ? 1 : 0;
                     take({reply, era, is_outdated});
                 });
}

} // namespace endivelever
