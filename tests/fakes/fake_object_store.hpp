#pragma once

#include "endivelever/net/http_server.hpp"

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace endivelever::http_test {

/// In-process stand-in of the platform's object store: lists in pages, watches, creates and replaces (also on
/// condition of a revision), and misbehaves as a test tells it to. It rejects request targets that are not
/// valid by RFC 3986.
class fake_object_store {
  public:
    enum class manner { serves, refuses, limits, silent, closes };

    explicit fake_object_store(struct ev_loop* loop, std::size_t objects_per_page = 500);
    ~fake_object_store() { m_server.reset(); }
    fake_object_store(const fake_object_store&) = delete;
    fake_object_store& operator=(const fake_object_store&) = delete;
    fake_object_store(fake_object_store&&) = delete;
    fake_object_store& operator=(fake_object_store&&) = delete;

    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    void remove(const std::string& kind, const std::string& name);
    /// Drops the history: watches from earlier revisions get 410.
    void forget_history();
    /// Cuts the watches that wait.
    void cut_watches();
    /// Takes the copy from which restore() brings the store back.
    void copy() { m_copy = {m_revision, m_history_begin, m_objects, m_history}; }
    /// Brings the store back from its copy, in the next era. Watches that wait are cut.
    void restore();
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// Leaves the watches that wait now without any response, while other calls are served.
    void mute_watches() { m_waiting.clear(); }

    [[nodiscard]] socket_address address() const;
    [[nodiscard]] bool has(const std::string& kind, const std::string& name) const;

    manner behaviour = manner::serves;
    std::uint64_t era = 0; ///< named in each response; 0 names none
    std::size_t page_size;
    std::string silent_kind;         ///< calls for this kind get no response
    bool repeats_pages = false;      ///< each page of a list is the first one
    std::size_t invalid_targets = 0; ///< requests that were rejected for their target
    int lost_writes = 0;             ///< so many writes are done and not answered
    std::size_t lists = 0;
    std::size_t watches = 0;
    std::size_t writes = 0;

  private:
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };
    struct waiting_watch {
        http_exchange* exchange = nullptr;
        std::string kind;
        std::uint64_t since = 0;
    };

    struct content_copy {
        std::uint64_t revision = 0;
        std::uint64_t history_begin = 0;
        std::map<std::string, std::map<std::string, nlohmann::json>> objects;
        std::vector<change> history;
    };

    void respond(http_exchange& exchange, unsigned status, std::string body) const;
    void answer(http_exchange& exchange, const std::string& body);
    void answer_list(http_exchange& exchange, const std::string& kind, const std::string& after);
    void answer_get(http_exchange& exchange, const std::string& kind, const std::string& name);
    void answer_watch(http_exchange& exchange, const std::string& kind, std::uint64_t since, bool waits);
    void answer_write(http_exchange& exchange, const std::string& kind, const std::string& body);
    bool answer_changes(const waiting_watch& it);
    void note_change(const std::string& kind, const nlohmann::json& object, bool deleted);

    std::uint64_t m_revision = 10;
    std::uint64_t m_history_begin = 10;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<change> m_history;
    content_copy m_copy;
    std::vector<waiting_watch> m_waiting;
    std::map<http_exchange*, std::string> m_bodies;
    std::unique_ptr<http_server> m_server;
};

} // namespace endivelever::http_test
