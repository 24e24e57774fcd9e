#pragma once

#include "contract/http_fixture.hpp"
#include "endivelever/base/random.hpp"
#include "fakes/fake_object_store.hpp"
#include "fakes/fake_target.hpp"
#include "fakes/platform_settings.hpp"
#include "testbed/process.hpp"

#include <csignal>
#include <list>
#include <set>

namespace endivelever::http_test {

/// One gateway process on a loopback address of its own.
struct fleet_gateway {
    std::string host;
    std::string settings_file;
    std::string log_file;
    testbed::process process;
    bool ready = false;    ///< by its last answer
    bool stopping = false; ///< was sent SIGTERM
    bool asked = false;    ///< an answer to the question for readiness is due
    time_point stopped_at{};
};

/// Caller that keeps one connection until it is closed, and sends one request at a time.
struct keeping_caller {
    std::size_t gateway = 0;
    std::unique_ptr<raw_socket> connection; ///< nullptr while not connected
    std::string open_id;                    ///< request without a complete response; empty while idle
    time_point sent_at{};
    time_point next_at{};
};

/// Response that a caller received.
struct fleet_response {
    std::string id;
    unsigned status = 0;
    bool gateway_stopping = false; ///< the gateway had been sent SIGTERM
};

/// Request whose connection ended without a response.
struct cut_request {
    std::string id;
    duration age{}; ///< since it was sent
};

/// Real gateway processes, a fake store, fake servers of the service "desk", and callers that keep their
/// connections.
struct gateway_fleet {
    test_loop loop;
    fake_object_store store{loop.get()};
    std::vector<std::unique_ptr<fake_target>> targets;
    testbed::temporary_folder folder;
    std::vector<fleet_gateway> gateways;
    std::list<keeping_caller> callers;
    std::vector<fleet_response> responses;
    std::vector<cut_request> cut;
    random_source random;
    http_client client{loop.get(), 0};
    std::string path = "/once/x";
    duration shortest_pause{};
    std::uint32_t pause_spread_ms = 1;
    int grace_period_s = 3;
    nlohmann::json more_bounds = nlohmann::json::object(); ///< added to the settings of gateways
    std::vector<nlohmann::json> tenants;                   ///< added to configurations
    std::string request_fields;                            ///< lines added to the heads of requests
    std::map<std::string, time_point> sent_at;             ///< by id of the request
    std::uint32_t sent = 0;
    std::uint32_t version = 0;

    explicit gateway_fleet(std::uint64_t seed) : random(seed) {}

    static nlohmann::json route(const char* name, const char* path_prefix, const char* type) {
        return {{"resource_kind", "routes"},
                {"metadata", {{"name", name}}},
                {"spec",
                 {{"host", "desk.example"},
                  {"path_prefix", path_prefix},
                  {"type", type},
                  {"timeout_ms", 1200},
                  {"aim_ms", 1000},
                  {"priority", 0},
                  {"service", "desk"},
                  {"max_attempts", 2}}}};
    }

    void put_config() {
        nlohmann::json resources{route("r1", "/once/", "non_idempotent"),
                                 route("r2", "/again/", "idempotent"),
                                 {{"resource_kind", "services"},
                                  {"metadata", {{"name", "desk"}}},
                                  {"spec", {{"health_check_path", "/health"}, {"max_connections", 100}}}}};
        if (++version % 2 == 0) {
            resources.push_back(route("r3", "/extra/", "idempotent"));
        }
        for (const auto& it : tenants) {
            resources.push_back(it);
        }
        std::array<char, 16> text{};
        std::snprintf(text.data(), text.size(), "%08x", version);
        store.put("config", "main", {{"version", text.data()}, {"resources", std::move(resources)}});
    }

    void add_target(duration work_time, const char* load) {
        const auto id = "i-" + std::to_string(targets.size());
        targets.push_back(std::make_unique<fake_target>(loop.get(), id));
        targets.back()->work_time = work_time;
        targets.back()->load = load;
        store.put("servers", id, targets.back()->entry("desk"));
    }

    void add_gateway() { start(prepare_gateway()); }

    /// Writes the settings of a gateway that is not started.
    /// @param store_address  of the store, or of a forwarder to it
    fleet_gateway& prepare_gateway(const socket_address& store_address) {
        const auto pid = static_cast<unsigned>(getpid());
        auto& it = gateways.emplace_back();
        const auto vm = "vm-" + std::to_string(gateways.size());
        it.host = "127." + std::to_string(20 + pid % 200) + "." + std::to_string(pid / 200 % 250) + "." +
                  std::to_string(100 + gateways.size());
        auto settings = platform_settings(vm, it.host, store_address, grace_period_s);
        settings["bounds"].update(more_bounds);
        it.settings_file = folder.write(vm + ".json", settings.dump());
        it.log_file = folder.path(vm + ".log");
        return it;
    }

    fleet_gateway& prepare_gateway() { return prepare_gateway(store.address()); }

    static void start(fleet_gateway& it) {
        it.process = std::move(*testbed::process::start(
            {ENDIVELEVER_BIN_DIR "/endivelever-gateway", {"--settings=" + it.settings_file}, it.log_file}));
        it.ready = false;
        it.stopping = false;
    }

    void stop(fleet_gateway& it) {
        ::kill(it.process.pid(), SIGTERM);
        it.stopped_at = it.stopping ? it.stopped_at : boot_clock::now();
        it.stopping = true;
    }

    void ask_readiness(std::size_t index) {
        auto& it = gateways[index];
        if (it.asked || it.stopping || it.ready) {
            return;
        }
        it.asked = true;
        http_request request;
        request.address = socket_address(it.host + ":7002");
        request.target = "/api/ready";
        request.timeout = 1s;
        fetch(client, std::move(request), byte_count{4096}, [this, index](const http_reply& reply) {
            gateways[index].asked = false;
            gateways[index].ready = reply.result.status == 200 && !gateways[index].stopping;
        });
    }

    bool wait_until_ready() {
        return loop.run_until([&] {
            for (std::size_t i = 0; i < gateways.size(); ++i) {
                ask_readiness(i);
            }
            return std::all_of(gateways.begin(), gateways.end(), [](const auto& it) { return it.ready; });
        });
    }

    time_point next_request_at() {
        return boot_clock::now() + shortest_pause +
               std::chrono::milliseconds(random_below(random, pause_spread_ms));
    }

    void add_callers(std::size_t n) {
        for (std::size_t i = 0; i < n; ++i) {
            auto& it = callers.emplace_back();
            it.next_at = next_request_at();
            connect(it);
        }
    }

    /// Connects to a gateway that is ready, if there is one.
    void connect(keeping_caller& it) {
        std::vector<std::size_t> ready;
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            if (gateways[i].ready && !gateways[i].stopping) {
                ready.push_back(i);
            }
        }
        if (!ready.empty()) {
            it.gateway = ready[random_below(random, static_cast<std::uint32_t>(ready.size()))];
            it.connection =
                std::make_unique<raw_socket>(raw_socket::connect_to(caller_port, gateways[it.gateway].host));
        }
    }

    [[nodiscard]] std::size_t runs_of(const std::string& id) const {
        std::size_t n = 0;
        for (const auto& it : targets) {
            n += static_cast<std::size_t>(std::count(it->ran.begin(), it->ran.end(), id));
        }
        return n;
    }

    /// @return true if the response to the open request is complete
    bool read_response(keeping_caller& it) {
        auto& received = it.connection->received;
        const std::string name = "Content-Length: ";
        const auto head_end = received.find("\r\n\r\n");
        const auto at = received.find(name);
        if (head_end == std::string::npos || at > head_end ||
            received.size() < head_end + 4 + std::stoul(received.substr(at + name.size()))) {
            return false;
        }
        responses.push_back({it.open_id, static_cast<unsigned>(std::stoul(received.substr(9, 3))),
                             gateways[it.gateway].stopping});
        received.clear();
        it.open_id.clear();
        it.next_at = next_request_at();
        return true;
    }

    /// Request with its body.
    [[nodiscard]] std::string request_text(const std::string& id) const {
        return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
               "\r\nX-Deadline-Ms: 6000\r\n" + request_fields + "Content-Length: 4\r\n\r\nbody";
    }

    void play(keeping_caller& it) {
        if (it.connection == nullptr) {
            connect(it);
            return;
        }
        it.connection->read_available();
        if (!it.open_id.empty()) {
            read_response(it);
        }
        if (it.connection->closed()) {
            if (!it.open_id.empty()) {
                cut.push_back({it.open_id, boot_clock::now() - it.sent_at});
                it.open_id.clear();
                it.next_at = next_request_at();
            }
            it.connection.reset();
            return;
        }
        if (it.open_id.empty() && boot_clock::now() >= it.next_at) {
            it.open_id = "id-" + std::to_string(++sent);
            it.sent_at = boot_clock::now();
            sent_at[it.open_id] = it.sent_at;
            it.connection->send_some(request_text(it.open_id));
        }
    }

    void play_all() {
        for (auto& it : callers) {
            play(it);
        }
    }

    /// Requests that were cut although they had run, or later than they can have crossed the close of their
    /// connection.
    std::vector<std::string> lost() {
        constexpr duration crossing_time = 200ms;
        std::vector<std::string> ids;
        for (const auto& it : cut) {
            if (runs_of(it.id) > 0 || it.age > crossing_time) {
                ids.push_back(it.id);
            }
        }
        return ids;
    }

    /// Requests that ran although a response states that they did not.
    std::vector<std::string> falsely_refused() {
        std::vector<std::string> ids;
        for (const auto& it : responses) {
            const bool promises =
                it.status == 408 || it.status == 421 || it.status == 429 || it.status == 503;
            if (promises && runs_of(it.id) > 0) {
                ids.push_back(it.id);
            }
        }
        return ids;
    }

    std::vector<std::string> ran_twice() {
        std::map<std::string, std::size_t> runs;
        for (const auto& it : targets) {
            for (const auto& id : it->ran) {
                ++runs[id];
            }
        }
        std::vector<std::string> ids;
        for (const auto& [id, n] : runs) {
            if (n > 1) {
                ids.push_back(id);
            }
        }
        return ids;
    }
};

} // namespace endivelever::http_test
