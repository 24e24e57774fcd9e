#pragma once

#include "contract/gateway_fixture.hpp"

namespace endivelever::http_test {

/// Server whose bytes a test writes itself. It answers health checks and hands over all other requests.
struct raw_server {
    raw_listener listener;
    std::vector<std::unique_ptr<raw_socket>> peers;
    std::vector<std::string> ran;   ///< ids in the order of arrival
    std::vector<std::string> heads; ///< of the requests that ran

    static std::size_t body_length(const std::string& head) {
        const std::string name = "Content-Length: ";
        const auto at = head.find(name);
        return at == std::string::npos ? 0 : std::stoul(head.substr(at + name.size()));
    }

    /// Handles what has arrived. `answer` writes the response to the request with that id.
    void serve(const std::function<void(raw_socket&, const std::string& id)>& answer) {
        while (auto peer = listener.accept_one()) {
            peers.push_back(std::move(peer));
        }
        for (auto& it : peers) {
            it->read_available();
            const auto end = it->received.find("\r\n\r\n");
            if (end == std::string::npos) {
                continue;
            }
            const auto head = it->received.substr(0, end + 2);
            const auto size = end + 4 + body_length(head);
            if (it->received.size() < size) {
                continue;
            }
            it->received.erase(0, size);
            if (head.starts_with("GET /health")) {
                it->send_some("HTTP/1.1 200 OK\r\nX-Instance-Load: 0,0,4\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const std::string name = "X-Request-Id: ";
            const auto at = head.find(name) + name.size();
            ran.push_back(head.substr(at, head.find("\r\n", at) - at));
            heads.push_back(head);
            answer(*it, ran.back());
        }
    }
};

struct raw_server_fixture : gateway_fixture {
    raw_server server;

    gateway_process& start_with_raw_server() {
        auto& gateway = start(0);
        auto entry = fake_target(loop.get(), "i-raw").entry("desk");
        entry["address"] = server.listener.address().text;
        store.put("servers", "i-raw", entry);
        EXPECT_TRUE(loop.run_until([&] { return gateway.board().registry.entries.size() == 1; }));
        return gateway;
    }

    caller_result& call_raw(gateway_process& gateway, const std::string& target, const std::string& id,
                            const std::function<void(raw_socket&, const std::string&)>& answer) {
        results.push_back(std::make_unique<caller_result>());
        auto& result = *results.back();
        send(gateway, target, id, result);
        EXPECT_TRUE(loop.run_until([&] {
            server.serve(answer);
            return result.done;
        }));
        return result;
    }
};

} // namespace endivelever::http_test
