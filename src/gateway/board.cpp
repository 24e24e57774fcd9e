#include "endivelever/gateway/board.hpp"

namespace endivelever {

std::vector<not_run_proof> proofs_of(const gateway_request& it) {
    std::vector<not_run_proof> proofs;
    proofs.reserve(it.attempts.size());
    for (const auto& attempt : it.attempts) {
        proofs.push_back(attempt->proof);
    }
    return proofs;
}

std::string describe_attempts(const gateway_request& it) {
    std::string text;
    for (const auto& attempt : it.attempts) {
        text += text.empty() ? "" : ", ";
        text += attempt->server.text + " ";
        text += name_of(attempt->proof);
    }
    return text;
}

bool has_state(const gateway_board& board) {
    const bool knows_evacuations =
        board.conf.evacuation_limit == duration::zero() || is_known(board.evacuations);
    return board.routes != nullptr && board.registry.loaded && knows_evacuations;
}

bool is_ready(const gateway_board& board) {
    return has_state(board) && !board.stop;
}

bool may_serve_keys(const gateway_board& board, time_point now) {
    const bool has_tenants = board.routes != nullptr && !board.routes->config.tenants.empty();
    return !has_tenants || is_current(board.currency, board.conf.revocation_limit, now);
}

bool accepts_request(const gateway_board& board, time_point now, time_point deadline) {
    return !board.stop || accepts_request(*board.stop, now, deadline);
}

void count(gateway_board& board, const std::string& series) {
    ++counter(board.counters, "gateway_" + series);
}

} // namespace endivelever
