#pragma once

#include "endivelever/entry/board.hpp"

#include <memory>

namespace endivelever {

/// Connection of an entry to a control: its own one, or another after 2 s without it.
class feed_client {
  public:
    explicit feed_client(entry_board& board);
    ~feed_client();
    feed_client(const feed_client&) = delete;
    feed_client& operator=(const feed_client&) = delete;
    feed_client(feed_client&&) = delete;
    feed_client& operator=(feed_client&&) = delete;

    /// Sends a report now, for instance when a planned stop begins.
    void report();

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace endivelever
