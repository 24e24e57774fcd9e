#pragma once

#include "endivelever/base/object_revision.hpp"
#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace endivelever {

/// Type of object in a store that identifies objects by kind and name.
using object_kind = strong_id<struct object_kind_tag>;

/// One object as read from the store.
struct stored_object {
    std::string name;
    object_revision mod_revision; ///< store revision of its last change
    nlohmann::json content;
};

/// One page of a list of objects.
struct object_page {
    std::vector<stored_object> objects;
    bool has_more = false;    ///< further objects follow on the next page
    object_revision revision; ///< store revision at which the page was read
};

struct object_change {
    stored_object object;
    bool removed = false;
};

/// Changes since a revision, as returned by a watch.
struct object_changes {
    std::vector<object_change> changes;
    object_revision revision; ///< revision to watch from next
};

/// Builds the requests of a store and parses its responses. The adapter of a platform supplies the functions;
/// the caller sets timeouts and does the retries. A response is parsed with the era in which it was given.
struct object_protocol {
    /// @param after  name of the last object of the previous page; empty for the first page
    std::function<http_request(const object_kind&, const std::string& after)> list;
    /// List that may be seconds old, at a lower cost to the store.
    std::function<http_request(const object_kind&, const std::string& after)> list_stale;
    /// Reads the changes after a revision without waiting for one. The response may be seconds old, at a
    /// lower cost to the store.
    std::function<http_request(const object_kind&, object_revision)> changes_stale;
    /// Reads the changes after a revision without waiting for one.
    std::function<http_request(const object_kind&, object_revision)> changes;
    /// Waits for changes after a revision, for at most `wait`.
    std::function<http_request(const object_kind&, object_revision, duration wait)> watch;
    std::function<http_request(const object_kind&, const std::string& name, const nlohmann::json&)> create;
    std::function<http_request(const object_kind&, const std::string& name, const nlohmann::json&)> replace;
    /// Replaces an object on condition that its last change has the given revision; otherwise the response is
    /// 409.
    std::function<http_request(const object_kind&, const std::string& name, object_revision,
                               const nlohmann::json&)>
        replace_if;
    std::function<http_request(const object_kind&, const std::string& name)> read;
    std::function<result<stored_object>(const std::string& body, store_era)> parse_object;
    /// Removes an object on condition that its last change has the given revision.
    std::function<http_request(const object_kind&, const std::string& name, object_revision)> remove;
    std::function<result<object_page>(const std::string& body, store_era)> parse_page;
    std::function<result<object_changes>(const std::string& body, store_era)> parse_changes;
    /// Era that the head of a response names; nullopt if it names none.
    std::function<std::optional<store_era>(const http_headers&)> read_era;
};

} // namespace endivelever
