#pragma once

#include "endivelever/net/http_server.hpp"
#include "testbed/body_pattern.hpp"
#include "testbed/delayed_calls.hpp"
#include "testbed/fake_servers.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivelever::testbed::detail {

/// Shared by all servers of the process.
struct server_farm {
    explicit server_farm(struct ev_loop* ev) : loop(ev), timers(ev) {}

    struct ev_loop* loop;
    delayed_calls timers;
    random_source random;
    run_ledger ledger;
};

/// A listening socket with its connections; replaced when the open connections go silent.
struct server_listener {
    std::unique_ptr<http_server> server;
    bool silent = false;
};

/// One request in progress.
struct open_call {
    std::uint64_t number = 0;
    const server_listener* listener = nullptr;
    std::string ledger_key;
    body_pattern pattern;
    std::uint64_t body_size = 0;
    std::uint64_t body_sent = 0;
};

/// One played server.
class fake_server {
  public:
    static result<std::unique_ptr<fake_server>> open(server_farm& farm, const fake_server_spec& spec);

    [[nodiscard]] fake_server_info info() const;
    server_model& model() { return m_model; }
    /// Silences the open connections and listens anew on the same port. @return error [net.N]
    result<void> silence_connections();
    /// Resets all connections and refuses new ones, or listens again. Running calls go on unseen.
    result<void> set_closed(bool closed);

  private:
    fake_server(server_farm& farm, const fake_server_spec& spec);
    result<void> listen();
    http_server::handlers handlers_for(server_listener& listener);
    void on_head(http_exchange& exchange, const server_listener& listener);
    http_exchange* answerable(std::uint64_t number);
    void on_request(http_exchange& exchange);
    void on_closed(http_exchange& exchange);
    void apply(const call_step& step);
    void start_run(const call_step& step);
    void end_run(std::uint64_t number);
    void respond_body(http_exchange& exchange);
    void fill(http_exchange& exchange);
    http_headers headers(bool ran);

    server_farm& m_farm;
    fake_server_spec m_spec;
    server_model m_model;
    std::uint64_t m_last_number = 0;
    std::unordered_map<http_exchange*, open_call> m_calls;
    std::unordered_map<std::uint64_t, http_exchange*> m_exchanges; ///< by call number
    std::unordered_map<std::uint64_t, std::string> m_ledger_keys;  ///< of calls not yet started
    std::vector<std::unique_ptr<server_listener>> m_listeners;     ///< the last one is current
};

} // namespace endivelever::testbed::detail
