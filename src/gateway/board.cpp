#include "endivelever/gateway/board.hpp"

namespace endivelever {

bool is_ready(const gateway_board& board) {
    return board.routes != nullptr && board.registry.loaded && !board.stop;
}

bool accepts_request(const gateway_board& board, time_point now, time_point deadline) {
    return !board.stop || accepts_request(*board.stop, now, deadline);
}

void count(gateway_board& board, const std::string& series) {
    ++counter(board.counters, "gateway_" + series);
}

} // namespace endivelever
