#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/random.hpp"
#include "endivelever/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace endivelever::testbed {

/// One address of an address answer.
struct answered_address {
    socket_address address;
    std::string call_id_prefix;
};

/// One simulated caller: asks an entry which addresses to use, keeps the answer and connects itself.
class caller {
  public:
    struct counts {
        std::uint64_t address_requests = 0;
        std::uint64_t address_failures = 0;
    };

    /// @param entries  asked for addresses in random order; empty in direct mode
    caller(struct ev_loop* loop, const std::vector<socket_address>& entries, random_source& random,
           counts& shared);

    http_client& client() { return m_client; }

    /// Calls `use` with the kept addresses in order of preference, at once if there are any. Asks again when
    /// the answer is too old; the old answer stays in use until the new one arrives.
    /// `use` gets an empty list if no entry answered.
    void with_addresses(std::function<void(const std::vector<answered_address>&)> use);
    /// An address could not be connected to: it moves to the end, and the next call asks again.
    void note_unreachable(const socket_address& address);

  private:
    void ask(std::size_t attempts_left);
    void on_answer(const http_reply& reply, std::size_t attempts_left);
    void release_waiting();

    http_client m_client;
    const std::vector<socket_address>& m_entries;
    random_source& m_random;
    counts& m_counts;
    std::vector<answered_address> m_addresses;
    time_point m_keep_until{};
    bool m_asking = false;
    std::vector<std::function<void(const std::vector<answered_address>&)>> m_waiting;
};

/// Parses an address answer (section 7.1 of the design). @return addresses, empty if the text is invalid
std::vector<answered_address> parse_address_answer(const std::string& text, duration& keep);

} // namespace endivelever::testbed
