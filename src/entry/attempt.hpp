#pragma once

#include "endivelever/decide/observe.hpp"
#include "endivelever/entry/board.hpp"

namespace endivelever::detail {

/// Takes the head of a server's response.
void note_response_head(entry_board& board, call& it, unsigned status, const http_headers& headers);

/// Takes part of a server's response body. @return false to pause the server
bool take_response_body(entry_board& board, call& it, std::string_view data);

/// Ends an attempt: delivers the response, retries, or refuses.
void finish_attempt(entry_board& board, call& it, const transfer_result& end);

/// Ends the attempt in the server's view and in admission.
void release_server(entry_board& board, call& it, attempt_end end, time_point now);

} // namespace endivelever::detail
