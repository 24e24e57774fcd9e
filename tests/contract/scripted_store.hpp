#pragma once

#include "contract/http_fixture.hpp"

#include <string>
#include <vector>

namespace endivelever::http_test {

/// HTTP server that answers the n-th request with the n-th scripted response, and closes the connection when
/// the script has ended.
struct scripted_store {
    /// How to answer a request; `close` sends the text, if any, before it closes the connection.
    enum class response_mode { respond, close, silent, delayed };
    struct scripted_response {
        response_mode mode = response_mode::respond;
        std::string text; ///< the response as sent, with status line and headers
    };

    raw_listener listener;
    std::vector<scripted_response> script;
    std::vector<std::string> requests; ///< with headers and body, as received
    std::vector<std::unique_ptr<raw_socket>> peers;
    timer poll_timer;
    timer delay_timer;

    scripted_store(struct ev_loop* loop, std::vector<scripted_response> responses)
        : script(std::move(responses)), poll_timer(loop, [this] { poll_connections(); }),
          delay_timer(loop, [this] { send_delayed_response(); }) {
        poll_timer.start(1ms, 1ms);
    }

    static std::string response(const std::string& status, const std::string& headers,
                                const std::string& body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
    static scripted_response object_response(std::uint64_t version, const std::string& body) {
        return {response_mode::respond,
                response("200 OK", "ETag: \"" + std::to_string(version) + "\"\r\n", body)};
    }
    static scripted_response empty_response(const std::string& status, const std::string& headers = "") {
        return {response_mode::respond, response(status, headers, "")};
    }

  private:
    raw_socket* m_delayed_peer = nullptr;
    std::string m_delayed_text;

    static bool is_complete_request(const std::string& text) {
        const auto end = text.find("\r\n\r\n");
        const auto length = text.find("Content-Length: ");
        const auto body = length == std::string::npos ? 0 : std::stoul(text.substr(length + 16));
        return end != std::string::npos && text.size() >= end + 4 + body;
    }
    void poll_connections() {
        while (auto peer = listener.accept_one()) {
            peers.push_back(std::move(peer));
        }
        for (auto& peer : peers) {
            peer->read_available();
            if (is_complete_request(peer->received)) {
                requests.push_back(std::exchange(peer->received, {}));
                send_response(*peer, requests.size() > script.size()
                                         ? scripted_response{response_mode::close, {}}
                                         : script[requests.size() - 1]);
            }
        }
    }
    void send_response(raw_socket& peer, const scripted_response& reply) {
        if (reply.mode == response_mode::close) {
            peer.send_some(reply.text);
            peer.close();
        } else if (reply.mode == response_mode::respond) {
            peer.send_some(reply.text);
        } else if (reply.mode == response_mode::delayed) {
            m_delayed_peer = &peer;
            m_delayed_text = reply.text;
            delay_timer.start(50ms);
        }
    }
    void send_delayed_response() { m_delayed_peer->send_some(m_delayed_text); }
};

} // namespace endivelever::http_test
