#pragma once

#include "endivelever/gateway/board.hpp"

#include <optional>
#include <string>
#include <vector>

namespace endivelever {

/// A request whose placement is to be explained.
struct explain_query {
    std::string host;
    std::string path;
    std::string tenant; ///< name; empty for a request without a key
};

/// What would happen to a request.
enum class explain_outcome { send, wait, refuse };

/// What the choice of a server is based on.
enum class explain_basis {
    report,    ///< a recent load report; the request would be sent at once
    last_known ///< older information; the request would be sent after probes, maybe to another server
};

/// A server that was considered.
struct explained_server {
    server_id id;
    failure_domain domain;
    std::string denial;    ///< why it is out; empty if it can take the request
    duration report_age{}; ///< of its last load report; duration::max() if there is none
    duration predicted{};  ///< response time expected from that report
};

struct explanation {
    explain_outcome outcome = explain_outcome::refuse;
    std::string reason;     ///< of a wait or a refusal
    unsigned status = 0;    ///< of a refusal
    duration retry_after{}; ///< of a refusal; 0 if there is none
    duration wait{};        ///< expected wait for a server
    std::string route;      ///< empty if none matches
    std::string service;
    std::string tenant;
    std::uint32_t priority = 0;
    std::optional<std::size_t> quota_tokens; ///< that this VM holds for the tenant; empty without a quota
    std::size_t waiting = 0;                 ///< requests in the queue of the service
    bool room_exceeded = false;
    std::string server; ///< chosen one
    explain_basis basis = explain_basis::report;
    std::vector<explained_server> servers;
};

/// Finds what would happen to a request that arrives now, with the functions that place requests, on copies
/// of their state. Whether the allocator of the tenant's quota would grant a token is not considered.
explanation explain_request(const gateway_board& board, const explain_query& query, time_point now);

/// @return the explanation as a JSON object
std::string to_json(const explanation& it);

/// Answers GET /explain?host=HOST&path=PATH&tenant=TENANT. @return false if the path is another one
bool handle_explain(const gateway_board& board, http_exchange& exchange);

} // namespace endivelever
