#pragma once

#include "endivelever/net/http_client.hpp"

#include <curl/curl.h>

#include <string>

namespace endivelever::detail {

struct client_core;

/// One transfer and its libcurl handle. Handles are reused, since creating one costs allocations.
struct transfer_state {
    client_core* core = nullptr;
    transfer_id id = 0;
    http_request request;
    transfer_handlers handlers;
    transfer_result result;
    CURL* easy = nullptr;
    curl_slist* header_list = nullptr;
    http_headers response_headers;
    time_point last_progress{};
    std::size_t head_bytes = 0; ///< interim heads and trailers included
    bool oversized_head = false;
    bool head_done = false;
    bool paused = false;
    bool cancelled = false;
    bool resume_requested = false;
    bool stalled = false;       ///< ended by the progress limit
    bool unframed_body = false; ///< response without length: it cannot be told from a truncated one
    bool added = false;
};

/// Sets all options of the handle for the request of the transfer.
void prepare_handle(transfer_state& it);

/// Fills result.failure from libcurl's code.
void conclude(transfer_state& it, CURLcode code);

} // namespace endivelever::detail
