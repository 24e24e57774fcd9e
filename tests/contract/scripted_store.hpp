#pragma once

#include "contract/http_fixture.hpp"

#include <string>
#include <vector>

namespace endivelever::http_test {

/// HTTP server that answers the n-th request with the n-th scripted response, and closes the connection when
/// the script has ended.
struct scripted_store {
    /// How to answer a request; `close` sends the text, if any, before it closes the connection.
    enum class manner { answer, close, silent, slow };
    struct line {
        manner how = manner::answer;
        std::string text; ///< the response as sent, with status line and headers
    };

    raw_listener listener;
    std::vector<line> lines;
    std::vector<std::string> requests; ///< with headers and body, as received
    std::vector<std::unique_ptr<raw_socket>> peers;
    timer poll;
    timer late;

    scripted_store(struct ev_loop* loop, std::vector<line> responses)
        : lines(std::move(responses)), poll(loop, [this] { work(); }), late(loop, [this] { finish_late(); }) {
        poll.start(1ms, 1ms);
    }

    static std::string response(const std::string& status, const std::string& headers,
                                const std::string& body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
    static line value(std::uint64_t version, const std::string& body) {
        return {manner::answer, response("200 OK", "ETag: \"" + std::to_string(version) + "\"\r\n", body)};
    }
    static line plain(const std::string& status, const std::string& headers = "") {
        return {manner::answer, response(status, headers, "")};
    }

  private:
    raw_socket* m_late_peer = nullptr;
    std::string m_late_text;

    static bool is_whole(const std::string& text) {
        const auto end = text.find("\r\n\r\n");
        const auto length = text.find("Content-Length: ");
        const auto body = length == std::string::npos ? 0 : std::stoul(text.substr(length + 16));
        return end != std::string::npos && text.size() >= end + 4 + body;
    }
    void work() {
        while (auto peer = listener.accept_one()) {
            peers.push_back(std::move(peer));
        }
        for (auto& peer : peers) {
            peer->read_available();
            if (is_whole(peer->received)) {
                requests.push_back(std::exchange(peer->received, {}));
                answer(*peer,
                       requests.size() > lines.size() ? line{manner::close, {}} : lines[requests.size() - 1]);
            }
        }
    }
    void answer(raw_socket& peer, const line& reply) {
        if (reply.how == manner::close) {
            peer.send_some(reply.text);
            peer.close();
        } else if (reply.how == manner::answer) {
            peer.send_some(reply.text);
        } else if (reply.how == manner::slow) {
            m_late_peer = &peer;
            m_late_text = reply.text;
            late.start(50ms);
        }
    }
    void finish_late() { m_late_peer->send_some(m_late_text); }
};

} // namespace endivelever::http_test
