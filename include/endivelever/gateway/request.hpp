#pragma once

#include "endivelever/decide/route_table.hpp"
#include "endivelever/decide/server_view.hpp"
#include "endivelever/decide/wait_queue.hpp"
#include "endivelever/net/http_client.hpp"
#include "endivelever/net/http_server.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endivelever {

/// One sending of a request to a server.
struct request_attempt {
    transfer_id transfer = 0;
    server_id server;
    std::string server_address;
    time_point started{};
    load_report known;    ///< load of the server when it was chosen
    duration known_age{}; ///< age of that report; the largest value if there was none
    bool in_progress = true;
    bool head_arrived = false;
    bool not_run = false; ///< certain: nothing was sent, or the server says so
    unsigned status = 0;
    http_headers headers;
    std::optional<std::uint64_t> length; ///< of the response body
    std::string body;                    ///< response bytes held
    std::optional<load_report> report;
    std::string failure; ///< why it ended without a usable response
};

/// One request of a caller in progress.
struct gateway_request {
    request_number number = 0;
    http_exchange* exchange = nullptr; ///< nullptr after the response was complete or the caller left
    std::shared_ptr<const route_table> table;
    const route* rule = nullptr; ///< points into `table`
    service_id service;
    std::string id;
    std::string body;
    bool has_body = false;
    time_point arrived{};
    duration spent_before{}; ///< in earlier attempts of the caller, as its deadline tells
    time_point final_at{};   ///< the final response is due: route's timeout or caller's deadline
    std::vector<std::unique_ptr<request_attempt>> attempts;
    request_attempt* streaming = nullptr; ///< attempt whose response already goes to the caller
    bool hedged = false;                  ///< a second server was looked for
    bool may_have_run = false;            ///< an attempt ended without proof that it did not run
};

} // namespace endivelever
