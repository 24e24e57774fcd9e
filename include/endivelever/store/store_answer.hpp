#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/net/http_client.hpp"
#include "endivelever/wire/messages.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivelever {

enum class store_status {
    ok,         ///< read: the object was returned; write: accepted
    unchanged,  ///< watch: no newer version before the wait ended
    absent,     ///< no such object
    conflict,   ///< write: the expected version is not current; the write had no effect
    unknown,    ///< write: no conclusive response; the write may have taken effect
    unavailable ///< no valid response; a write certainly had no effect
};

struct store_answer {
    store_status status = store_status::unavailable;
    document_version version; ///< current version; 0 if unknown
    std::string payload;      ///< the object, if a read returned it
    time_point started{};     ///< start of the call; an object read is at least as recent
    std::string detail;       ///< cause if `unknown` or `unavailable`, for logs
};

struct store_list_answer {
    store_status status = store_status::unavailable;
    std::vector<document_digest> objects;
    std::string detail;
};

/// Parses an ETag header: a quoted decimal version of at least 1.
/// @return the version, or nullopt for any other value, including weak tags
std::optional<document_version> parse_etag(std::string_view text);

/// Classifies the reply to a read or a watch.
store_answer classify_read_reply(const http_reply& reply);

/// Classifies the reply to a conditional write. Only a complete response with status 200 or 412 is
/// conclusive; any other outcome is `unknown` once any part of the request may have been sent.
store_answer classify_write_reply(const http_reply& reply);

/// Classifies the reply to a list request. Items without a key or a version are left out.
store_list_answer classify_list_reply(const http_reply& reply);

} // namespace endivelever
