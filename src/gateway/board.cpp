#include "endivelever/gateway/board.hpp"

namespace endivelever {

bool is_ready(const gateway_board& board) {
    return board.routes != nullptr && board.registry.loaded && !board.stopping;
}

void count(gateway_board& board, const std::string& series) {
    ++counter(board.counters, "gateway_" + series);
}

} // namespace endivelever
