#include "endivelever/cli/operator_client.hpp"

#include "endivelever/net/event_loop.hpp"

#include <ev.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>

namespace endivelever {
namespace {

/// Above the time that a control needs to decide on a change and to read it back.
constexpr duration call_timeout = std::chrono::seconds(20);
constexpr duration connect_timeout = std::chrono::seconds(2);
constexpr duration read_timeout = std::chrono::seconds(3);
constexpr byte_count max_response{16'777'216};

bool says_unknown(const std::string& body) {
    const auto value = nlohmann::json::parse(body, nullptr, false);
    return value.is_object() && value.contains("outcome") && value["outcome"] == "unknown";
}

} // namespace

struct operator_client::state {
    struct loop_owner {
        struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
        loop_owner() = default;
        ~loop_owner() { ev_loop_destroy(loop); }
        loop_owner(const loop_owner&) = delete;
        loop_owner& operator=(const loop_owner&) = delete;
        loop_owner(loop_owner&&) = delete;
        loop_owner& operator=(loop_owner&&) = delete;
    };
    socket_address address;
    std::string key;
    loop_owner owner;
    http_client client{owner.loop, 0};
};

operator_client::operator_client(socket_address address, std::string key)
    : m_state(std::make_unique<state>()) {
    m_state->address = std::move(address);
    m_state->key = std::move(key);
}

operator_client::~operator_client() = default;

http_reply operator_client::run(http_request request) {
    std::optional<http_reply> reply;
    fetch(m_state->client, std::move(request), max_response, [&](const http_reply& it) {
        reply = it;
        ev_break(m_state->owner.loop, EVBREAK_ONE);
    });
    while (!reply) {
        ev_run(m_state->owner.loop, 0);
    }
    return *reply;
}

http_reply operator_client::call(const std::string& method, const std::string& target,
                                 const std::string& body) {
    http_request request;
    request.method = method;
    request.address = m_state->address;
    request.target = target;
    request.headers = {{"Authorization", "Bearer " + m_state->key}};
    request.timeout = call_timeout;
    request.connect_timeout = connect_timeout;
    if (!body.empty()) {
        request.headers.push_back({"Content-Type", "application/json"});
        request.has_body = true;
        request.content_length = body.size();
        request.body = body;
    }
    return run(std::move(request));
}

http_reply operator_client::get(const socket_address& address, const std::string& target) {
    http_request request;
    request.address = address;
    request.target = target;
    request.timeout = read_timeout;
    request.connect_timeout = connect_timeout;
    return run(std::move(request));
}

void operator_client::pause(duration length) {
    struct ev_loop* loop = m_state->owner.loop;
    bool over = false;
    timer wait(loop, [&] {
        over = true;
        ev_break(loop, EVBREAK_ONE);
    });
    ev_now_update(loop);
    wait.start(length);
    while (!over) {
        ev_run(loop, 0);
    }
}

result<std::string> read_key_file(const std::string& path) {
    std::ifstream file(path);
    std::string key;
    std::getline(file, key);
    key.erase(key.find_last_not_of(" \t\r") + 1);
    if (key.empty()) {
        return fail("cli", 2, path + ": key file cannot be read or is empty");
    }
    return key;
}

exit_code exit_code_of(const http_reply& reply, bool change) {
    constexpr unsigned ok = 200;
    constexpr unsigned bad_request = 400;
    constexpr unsigned too_large = 413;
    if (reply.result.failure != transfer_failure::none) {
        return change && reply.result.sent ? exit_code::unknown : exit_code::unreachable;
    }
    if (change && says_unknown(reply.body)) {
        return exit_code::unknown;
    }
    switch (reply.result.status) {
    case ok:
        return exit_code::done;
    case bad_request:
    case too_large:
        return exit_code::invalid;
    default:
        return exit_code::refused;
    }
}

} // namespace endivelever
