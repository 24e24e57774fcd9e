#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/store/object_protocol.hpp"

#include <string>
#include <unordered_set>
#include <vector>

namespace endivelever {

/// List of all objects of a kind, as far as its pages have been read.
struct object_listing {
    std::vector<stored_object> objects;
    object_revision revision; ///< of the first page; a watch from it returns what changed between the pages
    std::string after;        ///< name after which the next page begins; empty for the first page
    std::unordered_set<std::string> names; ///< of `objects`
    bool is_complete = false;
};

/// Adds the next page. The page after it begins behind the last name that a request can hold as it is, so
/// that odd names of other writers stay out of requests where possible; objects behind that name are read
/// again.
/// @return an error if the page contains no object that has not been listed, so that the list would not end,
/// or if the store gave it in another era than the first page
result<void> add_page(object_listing& listing, object_page page);

} // namespace endivelever
