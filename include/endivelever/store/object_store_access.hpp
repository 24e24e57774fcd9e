#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/store/object_protocol.hpp"

#include <functional>

struct ev_loop;

namespace endivelever {

/// Counters of the calls of one process to an object store.
struct object_store_counts {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t lists = 0;    ///< pages of lists requested
    std::uint64_t changes = 0;  ///< watch responses with at least one change
    std::uint64_t outdated = 0; ///< responses of an earlier era, which were ignored
};

/// Connection to an object store, shared by all calls of a process.
struct object_store_access {
    struct ev_loop* loop = nullptr;
    http_client* client = nullptr;
    random_source* random = nullptr;
    object_protocol protocol;
    object_store_counts counts;
    store_era era; ///< latest that a response or a peer has named
    /// Called when a later era becomes known, with the one before.
    std::function<void(store_era before)> on_new_era;
};

/// Records an era that a response of the store or a peer has named. An earlier one than the known one changes
/// nothing.
void note_era(object_store_access& access, store_era era);

/// Response of the store and the era in which it was given.
struct store_reply {
    const http_reply& http;
    store_era era;
    bool is_outdated = false; ///< given in an earlier era than the latest known one
};

/// Sends a call to the store. The era of its response is recorded before `on_reply` is called. A response
/// that names none counts as one of the latest era.
transfer_id call_store(object_store_access& access, http_request request, byte_count max_body,
                       std::function<void(const store_reply&)> on_reply);

} // namespace endivelever
