#include "endivelever/entry/controllers.hpp"

#include <algorithm>
#include <functional>

namespace endivelever {
namespace {

std::uint64_t fingerprint_of(const http_exchange& exchange) {
    const std::hash<std::string> hash;
    constexpr std::uint64_t odd = 0x9e3779b97f4a7c15U;
    auto value = hash(exchange.method());
    value = value * odd + hash(exchange.target());
    return value * odd + exchange.content_length().value_or(~std::uint64_t{0});
}

void answer_kept(entry_board& board, call& it, const cached_response& kept) {
    if (!kept.complete) {
        end_refused(board, it,
                    {.status = 503,
                     .id = 9,
                     .text = "the call was run and its response is no longer held",
                     .outcome = told_outcome::done});
        return;
    }
    it.status = kept.status;
    it.response_headers.clear();
    if (!kept.content_type.empty()) {
        it.response_headers.push_back({"Content-Type", kept.content_type});
    }
    it.response = kept.body;
    end_done(board, it);
}

void answer_unknown(entry_board& board, call& it) {
    end_refused(board, it,
                {.status = 503,
                 .id = 8,
                 .text = "it is not known whether the call was run",
                 .outcome = told_outcome::unknown});
}

/// Sends the call to its home entry, which alone may dispatch it.
bool forward(entry_board& board, call& it, const call_id& id, const vm_id& home) {
    const auto parts = parse_call_id(id);
    const auto member = std::find_if(board.members.begin(), board.members.end(),
                                     [&](const member_record& at) { return at.vm == home; });
    const bool known = parts && member != board.members.end() && member->entry_life == parts->life;
    if (!known || find_header(it.exchange->headers(), "Endivelever-Forwarded") != nullptr) {
        answer_unknown(board, it);
        return false;
    }
    it.forwarded = true;
    it.home = socket_address(member->caller_address);
    return true;
}

void answer_waiter(entry_board& board, call& it, call_outcome outcome, const cached_response& kept) {
    it.waits_for.reset();
    if (outcome == call_outcome::done) {
        answer_kept(board, it, kept);
    } else if (outcome == call_outcome::not_run) {
        end_refused(board, it, {.status = 503, .id = 7, .text = "the call was not run"});
    } else {
        answer_unknown(board, it);
    }
}

} // namespace

bool claim_call_id(entry_board& board, call& it) {
    const auto* header = find_header(it.exchange->headers(), "Idempotency-Key");
    if (header == nullptr) {
        end_refused(board, it,
                    {.status = 400, .id = 2, .text = "calls of this kind need the header Idempotency-Key"});
        return false;
    }
    const call_id id(*header);
    const auto arrived =
        register_arrival(board.registry, id, fingerprint_of(*it.exchange), it.number, it.arrived);
    switch (arrived.action) {
    case arrival_action::run:
        it.id = id;
        return true;
    case arrival_action::wait:
        it.waits_for = id;
        it.stage = call_stage::waiting;
        return false;
    case arrival_action::answer_done:
        answer_kept(board, it, arrived.call->response);
        return false;
    case arrival_action::answer_not_run:
        end_refused(board, it, {.status = 503, .id = 7, .text = "the call was not run: " + arrived.reason});
        return false;
    case arrival_action::answer_unknown:
        answer_unknown(board, it);
        return false;
    case arrival_action::forward:
        return forward(board, it, id, arrived.issuer);
    case arrival_action::refuse_invalid:
        break;
    }
    end_refused(board, it, {.status = 400, .id = 6, .text = "the call id is not valid: " + arrived.reason});
    return false;
}

void release_call_id(entry_board& board, call& it, call_outcome outcome, cached_response response) {
    if (it.waits_for) {
        remove_waiter(board.registry, *it.waits_for, it.number);
        it.waits_for.reset();
    }
    if (!it.id) {
        return;
    }
    const auto id = *std::exchange(it.id, std::nullopt);
    const auto kept = response;
    for (const auto number : finish_call(board.registry, id, outcome, std::move(response))) {
        const auto found = board.calls.find(number);
        if (found != board.calls.end()) {
            answer_waiter(board, *found->second, outcome, kept);
        }
    }
}

} // namespace endivelever
