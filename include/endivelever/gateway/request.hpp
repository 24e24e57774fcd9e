#pragma once

#include "endivelever/decide/route_table.hpp"
#include "endivelever/decide/server_view.hpp"
#include "endivelever/net/http_client.hpp"
#include "endivelever/net/http_server.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endivelever {

using request_number = std::uint64_t;

/// One sending of a request to a server.
struct request_attempt {
    transfer_id transfer = 0;
    server_id server;
    std::string server_address;
    time_point started{};
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

/// What a server is chosen for.
enum class choice_purpose { first, retry, hedge };

/// Search for a server: some are asked for their load, the best answer wins.
struct server_search {
    choice_purpose purpose = choice_purpose::first;
    time_point began{};
    std::vector<server_id> asked;
    std::size_t rounds = 0;
    std::size_t open_questions = 0;
    time_point round_ends{}; ///< servers that did not answer by then are taken as silent
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
    time_point caller_deadline{};
    time_point final_at{}; ///< the final response is due: route's timeout or caller's deadline
    std::vector<std::unique_ptr<request_attempt>> attempts;
    std::unique_ptr<server_search> search; ///< set while a server is looked for
    request_attempt* streaming = nullptr;  ///< attempt whose response already goes to the caller
    bool may_have_run = false;             ///< an attempt ended without proof that it did not run
    std::string last_failure;
};

} // namespace endivelever
