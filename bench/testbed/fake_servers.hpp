#pragma once

#include "endivelever/base/ids.hpp"
#include "endivelever/base/result.hpp"
#include "endivelever/config/settings.hpp"
#include "testbed/server_model.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct ev_loop;

namespace endivelever::testbed {

/// One server to play.
struct fake_server_spec {
    server_id id;
    service_id service;
    endivelever::failure_domain failure_domain;
    socket_address address = socket_address("127.0.0.1:0");
    std::uint32_t connections = 250; ///< further connections wait in the listen backlog
    server_behaviour behaviour;
};

/// A server as it listens.
struct fake_server_info {
    server_id id;
    service_id service;
    endivelever::failure_domain failure_domain;
    socket_address address;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

/// Runs by Idempotency-Key, or by request target for calls without one. A run counts when it starts.
using run_ledger = std::map<std::string, std::uint32_t>;

/// Many servers in one process, with a control port:
/// - `GET /fake/servers`: ids, services, addresses
/// - `POST /fake/servers/<id>`: JSON object with the keys of apply_json(), `"silence_connections": true` (the
///   connections open now accept requests and never answer, new ones work) and `"closed"` (true resets all
///   connections and refuses new ones)
/// - `GET /fake/ledger?min=<n>`: keys that ran at least n times
/// - `GET /fake/counts`: counts by server
class fake_servers {
  public:
    /// @return the servers, or error [net.N] if an address cannot be bound
    static result<std::unique_ptr<fake_servers>> open(struct ev_loop* loop, const socket_address& control,
                                                      const std::vector<fake_server_spec>& specs,
                                                      std::uint64_t seed);
    ~fake_servers();
    fake_servers(const fake_servers&) = delete;
    fake_servers& operator=(const fake_servers&) = delete;
    fake_servers(fake_servers&&) = delete;
    fake_servers& operator=(fake_servers&&) = delete;

    [[nodiscard]] std::uint16_t control_port() const;
    [[nodiscard]] std::vector<fake_server_info> list() const;
    [[nodiscard]] const run_ledger& ledger() const;
    /// @return the model of a server, or nullptr
    server_model* find(const server_id& id);
    /// Makes the open connections of a server silent. @return false if there is no such server
    bool silence_connections(const server_id& id);

  private:
    struct state;
    explicit fake_servers(std::unique_ptr<state> it);
    std::unique_ptr<state> m_state;
};

/// Parses `{"servers":[{"id","service","failure_domain","address","connections", keys of apply_json()}]}`.
result<std::vector<fake_server_spec>> parse_server_specs(const std::string& text);

} // namespace endivelever::testbed
