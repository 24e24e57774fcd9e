#include "endivelever/decide/observe.hpp"
#include "endivelever/entry/controllers.hpp"

namespace endivelever {
namespace {

constexpr duration longest_review_gap = std::chrono::milliseconds(20);
constexpr duration probe_timeout = std::chrono::milliseconds(500);
constexpr byte_count max_probe_body{4096};

void end_expired_in_queue(entry_board& board, service_state& service, time_point now) {
    for (const auto& expired : take_expired(service.admission, now)) {
        const auto found = board.calls.find(expired.call);
        if (found == board.calls.end()) {
            continue;
        }
        auto& it = *found->second;
        end_refused(board, it,
                    {.status = 504,
                     .id = 16,
                     .text = "the call waited too long",
                     .outcome = it.may_have_run ? told_outcome::unknown : told_outcome::not_run});
    }
}

/// Ends calls whose deadline passed while no attempt was running.
void end_late_calls(entry_board& board, time_point now) {
    std::vector<call_number> late;
    for (const auto& entry : board.calls) {
        const auto stage = entry.second->stage;
        const bool idle = stage == call_stage::reading || stage == call_stage::waiting;
        if (idle && now >= entry.second->deadline) {
            late.push_back(entry.first);
        }
    }
    for (const auto number : late) {
        const auto found = board.calls.find(number);
        if (found == board.calls.end()) {
            continue;
        }
        const bool waits = found->second->stage == call_stage::waiting;
        end_refused(board, *found->second,
                    {.status = 504,
                     .id = 17,
                     .text = waits ? "the first arrival of the call is still running"
                                   : "the request did not arrive before the deadline",
                     .outcome = waits ? told_outcome::unknown : told_outcome::not_run});
    }
}

void note_probe(entry_board& board, std::size_t service, const server_id& server, const http_reply& reply) {
    auto& pool = board.services[service].pool;
    const auto at = find_server(pool, server);
    if (at == pool.servers.size() || reply.result.failure != transfer_failure::none) {
        ++counter(board.counters, "probe_failures_total");
        return;
    }
    const auto* text = find_header(reply.headers, "Endivelever-Load");
    const auto report = text != nullptr ? parse_load_report(*text) : fail("decide", 1, "no report");
    if (report) {
        note_report(pool.servers[at], *report, boot_clock::now());
    }
}

} // namespace

void review_calls(entry_board& board) {
    const auto now = boot_clock::now();
    advance_generation(board.registry, now);
    // After a pause of this process, responses that have arrived are still unread; the age of the calls
    // then says nothing about the servers.
    const bool paused = now - std::exchange(board.last_review, now) > longest_review_gap;
    for (std::size_t i = 0; i < board.services.size(); ++i) {
        auto& service = board.services[i];
        if (!paused) {
            review_servers(service.pool, now);
        }
        end_expired_in_queue(board, service, now);
        pump(board, i);
    }
    end_late_calls(board, now);
}

void send_probes(entry_board& board) {
    if (!board.in_force) {
        return;
    }
    const auto now = boot_clock::now();
    const double rate = board.in_force->content.probes_per_server_per_second;
    for (std::size_t i = 0; i < board.services.size(); ++i) {
        auto& pool = board.services[i].pool;
        while (const auto at = next_probe(pool, rate, now, board.random)) {
            ++counter(board.counters, "probes_total");
            http_request request;
            request.address = pool.servers[*at].listed.address;
            request.target = "/.well-known/load";
            request.timeout = probe_timeout;
            const auto server = pool.servers[*at].listed.id;
            fetch(*board.client, std::move(request), max_probe_body,
                  [&board, i, server](const http_reply& reply) { note_probe(board, i, server, reply); });
        }
    }
}

} // namespace endivelever
