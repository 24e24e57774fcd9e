#pragma once

#include "contract/gateway_fixture.hpp"
#include "endivelever/gateway/controllers.hpp"

#include <sys/mman.h>

namespace endivelever::http_test {

/// Gateways of a deployment with tenants, evacuations and cold servers. Logs are kept for inspection.
struct tenant_fixture : gateway_fixture {
    using key_list = std::vector<std::string>;

    int log_fd = memfd_create("log", MFD_CLOEXEC);
    gateway_settings bounds; ///< only the bounds over the whole fleet are used
    nlohmann::json service_spec{{"health_check_path", "/health"}, {"max_connections", 100}};
    std::uint32_t version = 0;

    ~tenant_fixture() override { close(log_fd); }

    static nlohmann::json public_route(const std::string& name, const std::string& path) {
        auto it = route(name, path, "idempotent");
        it["spec"]["public"] = true;
        return it;
    }

    static nlohmann::json tenant(const std::string& name, const key_list& keys,
                                 std::optional<int> priority = std::nullopt) {
        nlohmann::json spec{{"api_keys", keys}};
        if (priority) {
            spec["priority"] = *priority;
        }
        return {{"resource_kind", "tenants"}, {"metadata", {{"name", name}}}, {"spec", std::move(spec)}};
    }

    /// Stores the next version of the configuration.
    void put_resources(const std::vector<nlohmann::json>& tenants) {
        nlohmann::json resources{
            route("r1", "/once/", "non_idempotent"), route("r2", "/again/", "idempotent"),
            route("r3", "/upload/", "upload"), public_route("r4", "/open/"),
            nlohmann::json{
                {"resource_kind", "services"}, {"metadata", {{"name", "desk"}}}, {"spec", service_spec}}};
        for (const auto& it : tenants) {
            resources.push_back(it);
        }
        store.put("config", "main", {{"version", version_text(++version)}, {"resources", resources}});
    }

    static std::string version_text(std::uint32_t number) {
        std::array<char, 16> text{};
        std::snprintf(text.data(), text.size(), "%08x", number);
        return text.data();
    }

    gateway_process& open_gateway(const std::string& vm, const std::string& domain = "zone-a") {
        auto conf = make_settings(vm, store.address());
        conf.failure_domain = failure_domain(domain);
        conf.evacuation_limit = bounds.evacuation_limit;
        conf.revocation_limit = bounds.revocation_limit;
        conf.warm_up_overage = bounds.warm_up_overage;
        conf.warm_up_tolerance = bounds.warm_up_tolerance;
        auto opened = gateway_process::open(loop.get(), conf, platform::make_dialect(conf.store_address));
        EXPECT_TRUE(opened) << (opened ? "" : opened.error().message);
        gateways.push_back(std::move(*opened));
        gateways.back()->board().log.fd = log_fd;
        return *gateways.back();
    }

    bool wait_until_ready(gateway_process& gateway) {
        return loop.run_until([&] { return is_ready(gateway.board()) && gateway.board().peers.loaded; });
    }

    bool wait_for_version(gateway_process& gateway) {
        return loop.run_until([&] { return gateway.board().routes->config.version.value == version; });
    }

    std::string log_text() const {
        std::string text(static_cast<std::size_t>(lseek(log_fd, 0, SEEK_END)), '\0');
        EXPECT_EQ(static_cast<ssize_t>(text.size()), pread(log_fd, text.data(), text.size(), 0));
        return text;
    }

    caller_result& get(const socket_address& address, const std::string& target) {
        results.push_back(std::make_unique<caller_result>());
        auto& result = *results.back();
        http_request request;
        request.address = address;
        request.target = target;
        request.timeout = 5s;
        request.headers = {{"Host", address.text}};
        transfer_handlers handlers;
        handlers.on_head = [&result](unsigned status, const http_headers&) { result.status = status; };
        handlers.on_body = [&result](std::string_view data) {
            result.body.append(data);
            return true;
        };
        handlers.on_done = [&result](const transfer_result&) { result.done = true; };
        client->start(std::move(request), std::move(handlers));
        EXPECT_TRUE(loop.run_until([&] { return result.done; }));
        return result;
    }

    unsigned readiness(gateway_process& gateway) {
        return get(gateway.board().conf.ready_address, "/api/ready").status;
    }

    /// Connection of a caller to a gateway.
    static std::unique_ptr<raw_socket> connect_caller(gateway_process& gateway) {
        const auto address = gateway.board().conf.caller_address.text;
        return std::make_unique<raw_socket>(
            raw_socket::connect_to(caller_port_number, address.substr(0, address.find(':'))));
    }

    /// Head of a request.
    /// @param fields  lines with their line ends
    static std::string head_of(const std::string& method, const std::string& target, const std::string& id,
                               const std::string& fields) {
        return method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
               "\r\nX-Deadline-Ms: 1000\r\n" + fields + "\r\n";
    }

    /// Waits for the response on a connection. @return its status, or 0 if the connection was closed
    unsigned wait_for_status(raw_socket& connection) {
        EXPECT_TRUE(loop.run_until([&] {
            connection.read_available();
            return connection.received.find("\r\n\r\n") != std::string::npos || connection.closed();
        }));
        return connection.received.size() < 12
                   ? 0
                   : static_cast<unsigned>(std::stoul(connection.received.substr(9, 3)));
    }

    unsigned ask(gateway_process& gateway, const std::string& target, const std::string& fields,
                 const std::string& id = "id-1") {
        const auto connection = connect_caller(gateway);
        connection->send_some(head_of("GET", target, id, fields));
        last_response.clear();
        const auto status = wait_for_status(*connection);
        last_response = connection->received;
        return status;
    }

    static constexpr std::uint16_t caller_port_number = 7001;
    std::string last_response;
};

} // namespace endivelever::http_test
