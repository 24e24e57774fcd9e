#pragma once

#include "endivelever/base/histogram.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/decide/admission.hpp"
#include "endivelever/decide/call_registry.hpp"
#include "endivelever/decide/server_view.hpp"
#include "endivelever/net/http_client.hpp"
#include "endivelever/net/http_server.hpp"
#include "endivelever/trace/traceparent.hpp"

#include <optional>
#include <string>
#include <vector>

namespace endivelever {

/// Request or response bytes held in memory so that an attempt can be repeated.
constexpr std::size_t max_held_body = 65'536;

/// Where calls of one kind go, with what is counted for them.
struct kind_route {
    kind_settings kind;
    std::size_t service = 0;  ///< position in entry_board::services
    std::size_t position = 0; ///< position in service_admission::kinds
    std::uint64_t arrived_since_report = 0;
    std::uint32_t demand = 0; ///< offered calls a second
    histogram latency;        ///< from the request head to the end of the response
    histogram added;          ///< part of the latency that was not spent on an attempt
    std::uint64_t* done = nullptr;
    std::uint64_t* not_run = nullptr;
    std::uint64_t* unknown = nullptr;
};

enum class call_stage {
    reading, ///< the request body is being received
    queued,  ///< waits for admission
    waiting, ///< another arrival of the same call id is running
    attempt, ///< sent to a server or to the home entry
};

/// One call in progress.
struct call {
    call_number number = 0;
    http_exchange* exchange = nullptr; ///< nullptr after the caller left
    kind_route* route = nullptr;
    call_stage stage = call_stage::reading;
    time_point arrived{};
    time_point deadline{};
    std::int64_t start_us = 0;
    trace_context trace; ///< its span is the one of this hop
    std::uint64_t parent_span = 0;

    std::string body;            ///< request bytes held
    std::size_t body_sent = 0;   ///< bytes of `body` already passed on
    std::uint64_t body_size = 0; ///< bytes received so far
    bool body_ended = false;
    bool streams_body = false; ///< the request body goes on while the attempt runs
    bool body_dropped = false; ///< bytes passed on were released, so the call cannot be sent again

    std::optional<call_id> id; ///< set if this arrival owns the entry in the registry
    std::optional<call_id> waits_for;
    bool may_have_run = false; ///< an attempt ended without proof that it did not run
    bool in_progress = false;  ///< counted as in progress by admission

    std::uint32_t attempts = 0;
    std::uint32_t caller_retries = 0; ///< retries by hops before this one, from Endivelever-Retries
    std::vector<server_id> tried;
    bool forwarded = false; ///< sent to the home entry
    socket_address home;
    transfer_id transfer = 0;
    server_id server;
    server_index server_position = 0;
    std::uint64_t attempt_span = 0;
    time_point attempt_started{};
    duration attempt_time{}; ///< sum over all attempts

    time_point head_at{};
    unsigned status = 0;
    http_headers response_headers;
    std::optional<std::uint64_t> response_length;
    std::string response;
    std::optional<load_report> report;
    bool stated_not_run = false;
    bool response_begun = false; ///< part of the response went to the caller
};

} // namespace endivelever
