#pragma once

#include "endivelever/base/time.hpp"
#include "endivelever/net/event_loop.hpp"
#include "endivelever/net/http_server.hpp"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace endivelever::http_test {

/// In-process stand-in of a server on the platform: runs requests, tells its load, and misbehaves as told.
class fake_target {
  public:
    enum class manner {
        serves,
        errors,           ///< runs the request and answers 500
        sheds,            ///< answers 503 and states that it did not run the request
        sheds_without_id, ///< runs the request; then a late health answer that states that nothing ran
                          ///< arrives
        denies,           ///< runs the request and answers 503 without that statement
        breaks,           ///< runs the request and closes the connection
        hangs,            ///< runs the request and never answers
        wrong_id,         ///< answers with the id of another request
        without_id,       ///< answers 200 without id and signature, as a late health answer would look
        truncates,        ///< breaks off in the middle of the body
        misdirects        ///< runs nothing and answers 421 in the name of `misdirected_by`
    };

    fake_target(struct ev_loop* loop, std::string id);
    ~fake_target() { m_server.reset(); }
    fake_target(const fake_target&) = delete;
    fake_target& operator=(const fake_target&) = delete;
    fake_target(fake_target&&) = delete;
    fake_target& operator=(fake_target&&) = delete;

    [[nodiscard]] socket_address address() const;
    /// Entry of this server in the store.
    [[nodiscard]] nlohmann::json entry(const std::string& service, const std::string& state = "ready") const;

    manner behaviour = manner::serves;
    std::string load = "0,0,4,100";
    std::string body = "answer";
    duration work_time{};                      ///< before a successful response
    std::string misdirected_by;                ///< instance named with 421; empty to name none
    http_headers directives;                   ///< added to each response
    bool directives_in_probes = true;          ///< also to responses to health checks
    std::vector<time_point> arrivals;          ///< of requests, also of those that it rejects
    std::vector<http_headers> received_heads;  ///< of requests, also of those that it rejects
    std::size_t probes = 0;                    ///< health checks received
    std::vector<std::string> ran;              ///< ids of the requests that began to run
    std::vector<time_point> ran_at;            ///< when each of them began
    std::vector<std::string> left;             ///< ids whose connection closed before the response
    std::map<std::string, http_headers> heads; ///< by request id
    std::map<std::string, std::string> bodies; ///< received, by request id

  private:
    void answer(http_exchange& exchange);

    void answer_later(http_exchange& exchange, http_headers headers);

    struct ev_loop* m_loop;
    std::string m_id;
    std::vector<std::unique_ptr<timer>> m_timers; ///< of responses that wait for the work time
    std::map<http_exchange*, std::string> m_received;
    std::map<http_exchange*, std::string> m_open;
    std::unique_ptr<http_server> m_server;
};

} // namespace endivelever::http_test
