#pragma once

#include "endivelever/config/drains.hpp"
#include "endivelever/config/in_force.hpp"
#include "endivelever/config/vm_list.hpp"
#include "endivelever/entry/board.hpp"
#include "endivelever/entry/entry_process.hpp"
#include "endivelever/net/frame_link.hpp"
#include "http_fixture.hpp"
#include "testbed/fake_servers.hpp"

#include <vector>

namespace endivelever::entry_test {

using namespace http_test;

constexpr const char* cluster_key = "test-cluster-key-0001";

/// Stand-in for the control that feeds an entry.
struct control_double {
    link_counts counts;
    std::unique_ptr<frame_listener> listener;
    std::vector<std::unique_ptr<frame_link>> links;
    std::vector<message> greeting; ///< sent to each entry that connects
    std::vector<entry_report_message> reports;
    std::optional<hello_message> hello;

    explicit control_double(struct ev_loop* loop) {
        auto opened = frame_listener::open(loop, socket_address("127.0.0.1:0"), [this, loop](int fd) {
            const auto index = links.size();
            frame_link::handlers on;
            on.on_ready = [this, index] {
                for (const auto& it : greeting) {
                    links[index]->send(it);
                }
            };
            on.on_message = [this](const message& it) {
                if (const auto* report = std::get_if<entry_report_message>(&it)) {
                    reports.push_back(*report);
                } else if (const auto* first = std::get_if<hello_message>(&it)) {
                    hello = *first;
                }
            };
            on.on_closed = [](const std::string& /*reason*/) {};
            links.push_back(frame_link::accept(loop, fd, cluster_key, std::move(on), counts));
        });
        EXPECT_TRUE(opened.has_value());
        listener = std::move(*opened);
    }
    void send(const message& it) {
        for (auto& link : links) {
            link->send(it);
        }
    }
    [[nodiscard]] socket_address address() const { return loopback(listener->port()); }
};

inline settings entry_settings(const std::string& vm) {
    settings conf;
    conf.vm = vm_id(vm);
    conf.failure_domain = failure_domain("kr-a");
    conf.caller_address = socket_address("127.0.0.1:0");
    conf.admin_address = socket_address("127.0.0.1:0");
    conf.cluster_key = cluster_key;
    conf.graceful_stop_limit = 20s;
    conf.address_keep = 10s;
    conf.services = {{.id = service_id("status-lookup")}, {.id = service_id("confirmation")}};
    const auto kind = [](const char* id, const char* service, const char* path, bool idempotent) {
        return kind_settings{.id = kind_id(id),
                             .service = service_id(service),
                             .path_prefix = path,
                             .idempotent = idempotent,
                             .latency_target = 50ms,
                             .default_deadline = 10s,
                             .max_deadline = 20s,
                             .max_request_body = byte_count{50'000'000}};
    };
    conf.kinds = {kind("job-status", "status-lookup", "/status/", true),
                  kind("run-confirmation", "confirmation", "/confirm/", false)};
    return conf;
}

inline in_force_record ordinary_preset() {
    in_force_record record;
    record.operation = operation_id("op-1");
    record.who = operator_name("founder");
    record.content.name = preset_name("ordinary");
    record.content.kinds = {
        {.kind = kind_id("job-status"), .served_as = rank::low, .guaranteed_share = 1.0},
        {.kind = kind_id("run-confirmation"), .served_as = rank::urgent, .guaranteed_share = 1.0}};
    record.content.retry_budget_ratio = 0.5;
    return record;
}

inline vm_list listed(const testbed::fake_servers& servers) {
    vm_list list;
    for (const auto& it : servers.list()) {
        listed_server at;
        at.id = it.id;
        at.service = it.service;
        at.failure_domain = it.failure_domain;
        at.address = it.address;
        at.slots = it.slots;
        at.connections = it.connections;
        list.servers.push_back(at);
    }
    return list;
}

/// Entries, two servers for each service, and a control, all on one loop.
struct entry_world {
    test_loop loop;
    std::unique_ptr<testbed::fake_servers> servers;
    control_double control{loop.get()};
    std::vector<std::unique_ptr<entry_process>> entries;
    std::unique_ptr<http_client> caller = std::make_unique<http_client>(loop.get(), 0);

    explicit entry_world(std::size_t entry_count = 1, duration work = 2ms,
                         std::size_t servers_per_service = 2) {
        std::vector<testbed::fake_server_spec> specs;
        for (const auto* service : {"status-lookup", "confirmation"}) {
            for (std::size_t i = 0; i < servers_per_service; ++i) {
                testbed::fake_server_spec spec;
                spec.id = server_id(std::string(service) + "-" + std::to_string(i));
                spec.service = service_id(service);
                spec.failure_domain = failure_domain("kr-a");
                spec.behaviour.work = {{.kind = "", .median = work}};
                specs.push_back(spec);
            }
        }
        servers =
            std::move(*testbed::fake_servers::open(loop.get(), socket_address("127.0.0.1:0"), specs, 1));
        for (std::size_t i = 0; i < entry_count; ++i) {
            auto conf = entry_settings("vm-0" + std::to_string(i + 1));
            conf.feed_address = control.address();
            entries.push_back(std::move(*entry_process::open(loop.get(), std::move(conf))));
        }
    }
    ~entry_world() {
        caller.reset();
        entries.clear();
    }
    entry_world(const entry_world&) = delete;
    entry_world& operator=(const entry_world&) = delete;
    entry_world(entry_world&&) = delete;
    entry_world& operator=(entry_world&&) = delete;

    [[nodiscard]] entry_board& board(std::size_t i = 0) const { return entries[i]->board(); }

    /// Feeds preset, VM list, members and a lease to all entries.
    void feed(duration lease = 60s) {
        control.greeting = {document_message{in_force_key, document_version{7}, to_json(ordinary_preset())},
                            document_message{vm_list_key, document_version{3}, to_json(listed(*servers))},
                            members(),
                            lease_message{static_cast<std::uint32_t>(
                                std::chrono::duration_cast<std::chrono::milliseconds>(lease).count())}};
        ASSERT_TRUE(loop.run_until([&] { return control.links.size() == entries.size() && connected(); }));
        for (const auto& it : control.greeting) {
            control.send(it);
        }
        ASSERT_TRUE(loop.run_until([&] { return fed(lease); }));
    }
    [[nodiscard]] bool connected() const {
        return std::all_of(control.links.begin(), control.links.end(),
                           [](const auto& it) { return it->ready(); });
    }
    [[nodiscard]] bool fed(duration lease) const {
        return std::all_of(entries.begin(), entries.end(), [&](const auto& it) {
            auto& at = it->board();
            return at.in_force && !at.members.empty() && !at.services[0].pool.servers.empty() &&
                   (lease == duration::zero() || at.lease_until > boot_clock::now());
        });
    }
    [[nodiscard]] member_table_message members() const {
        member_table_message table;
        for (const auto& it : entries) {
            member_record record;
            record.vm = it->board().conf.vm;
            record.failure_domain = it->board().conf.failure_domain;
            record.caller_address = it->board().conf.caller_address.text;
            record.entry_life = it->board().life;
            record.generation = it->board().registry.generation;
            table.members.push_back(record);
        }
        return table;
    }

    [[nodiscard]] http_request request(const std::string& method, const std::string& target,
                                       std::size_t entry = 0) const {
        http_request it;
        it.method = method;
        it.address = board(entry).conf.caller_address;
        it.target = target;
        it.timeout = 25s;
        return it;
    }
    [[nodiscard]] std::string id(const std::string& unique, std::size_t home = 0) const {
        const auto& at = board(home);
        return call_id_prefix(at.conf.vm, at.life, at.registry.generation) + "." + unique;
    }
    http_reply send(http_request it) {
        std::optional<http_reply> reply;
        fetch(*caller, std::move(it), byte_count{100'000'000}, [&](const http_reply& got) { reply = got; });
        EXPECT_TRUE(loop.run_until([&] { return reply.has_value(); }));
        return reply.value_or(http_reply{});
    }
    http_reply admin(const std::string& path) {
        auto it = request("GET", path);
        it.address = board().conf.admin_address;
        return send(it);
    }
};

inline std::string outcome_of(const http_reply& reply) {
    const auto* it = find_header(reply.headers, "Endivelever-Outcome");
    return it == nullptr ? "" : *it;
}

} // namespace endivelever::entry_test
