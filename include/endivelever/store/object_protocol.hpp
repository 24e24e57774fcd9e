#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace endivelever {

/// Kind of object in a store that keeps objects by kind and name.
using object_kind = strong_id<struct object_kind_tag>;

/// Position in the history of the whole store; rises with every change. 0 means not known.
using object_revision = strong_number<struct object_revision_tag, std::uint64_t>;

/// One object as stored.
struct stored_object {
    std::string name;
    object_revision changed_at; ///< revision of its last change
    nlohmann::json content;
};

/// Part of a list of objects.
struct object_page {
    std::vector<stored_object> objects;
    bool more = false;        ///< further objects follow the last one of this page
    object_revision revision; ///< of the store when the page was read
};

struct object_change {
    stored_object object;
    bool removed = false;
};

/// What changed since a revision.
struct object_changes {
    std::vector<object_change> changes;
    object_revision revision; ///< to go on from
};

/// How a store's calls are written and its answers read. The adapter of a platform fills it in; addresses,
/// deadlines and retries are up to the caller.
struct object_protocol {
    std::function<http_request(const object_kind&, const std::string& after)> list;
    /// Cheap list that may be seconds old.
    std::function<http_request(const object_kind&, const std::string& after)> list_stale;
    /// Cheap read of one object that may be seconds old.
    std::function<http_request(const object_kind&, const std::string& name)> get_stale;
    std::function<http_request(const object_kind&, object_revision, duration wait)> watch;
    std::function<http_request(const object_kind&, const std::string& name, const nlohmann::json&)> create;
    std::function<http_request(const object_kind&, const std::string& name, const nlohmann::json&)> replace;
    /// Removes an object if its last change is the one named.
    std::function<http_request(const object_kind&, const std::string& name, object_revision)> remove;
    std::function<result<object_page>(const std::string& body)> parse_page;
    std::function<result<object_changes>(const std::string& body)> parse_changes;
};

} // namespace endivelever
