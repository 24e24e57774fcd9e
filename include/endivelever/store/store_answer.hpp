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
    value,      ///< read: the object; write: accepted
    unchanged,  ///< watch: no newer version within the wait
    absent,     ///< no such object
    conflict,   ///< write: another version is present; this write did not take effect
    unknown,    ///< write: the answer was lost, the write may have taken effect
    unavailable ///< no usable answer; a write certainly did not take effect
};

struct store_answer {
    store_status status = store_status::unavailable;
    document_version version; ///< present version; 0 if not known
    std::string payload;      ///< set for a read value
    time_point started{};     ///< when the call started; a read value is at least as recent as this
    std::string detail;       ///< cause of unknown and unavailable, for logs
};

struct store_list_answer {
    store_status status = store_status::unavailable;
    std::vector<document_digest> objects;
    std::string detail;
};

/// Parses the value of an ETag header: a quoted decimal version from 1 up, not weak.
std::optional<document_version> parse_etag(std::string_view text);

/// Classifies the reply to a read or a watch.
store_answer read_answer(const http_reply& reply);

/// Classifies the reply to a conditional write. Only a complete 200 or 412 tells what happened; any other
/// end after the request may have left this process is unknown.
store_answer write_answer(const http_reply& reply);

/// Classifies the reply to a list request.
store_list_answer list_answer(const http_reply& reply);

} // namespace endivelever
