#pragma once

#include "endivelever/net/http_client.hpp"

#include <curl/curl.h>

#include <string>

namespace endivelever::detail {

struct client_core;

/// One transfer and its libcurl handle, which no other transfer uses.
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
    std::size_t head_bytes = 0; ///< received header bytes, including interim responses and trailers
    bool oversized_head = false;
    bool status_line_done = false; ///< the status line of the current head was read
    bool malformed_head = false;
    bool head_done = false;
    bool paused = false;
    bool cancelled = false;
    bool resume_requested = false;
    bool stalled = false;                  ///< ended by progress_timeout
    bool rejected_close_delimited = false; ///< rejected, because truncation could not be detected
    bool added = false;
};

/// Sets the options of the libcurl handle for the request.
void prepare_handle(transfer_state& it);

/// Sets failure, detail and new_connection of the result from libcurl's code.
void set_result(transfer_state& it, CURLcode code);

} // namespace endivelever::detail
