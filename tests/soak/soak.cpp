#include "soak/soak.hpp"

#include "contract/http_fixture.hpp"
#include "endivelever/base/random.hpp"
#include "fakes/fake_object_store.hpp"
#include "fakes/fake_target.hpp"
#include "fakes/platform_settings.hpp"
#include "testbed/forwarder.hpp"
#include "testbed/process.hpp"

#include <csignal>

namespace endivelever::soak {
namespace {

using namespace std::chrono_literals;
using http_test::fake_object_store;
using http_test::fake_target;
using nlohmann::json;
using testbed::forward_mode;

constexpr duration call_gap = 8ms;
constexpr duration shortest_fault_gap = 60ms;
constexpr std::uint32_t fault_gap_spread_ms = 240;
constexpr duration shortest_fault = 100ms;
constexpr std::uint32_t fault_spread_ms = 1400;
constexpr int call_deadline_ms = 1000;
constexpr int grace_period_s = 6;
// Generous: a process that was killed last starts, reads the store and hears of the others.
constexpr duration recovery_limit = 60s;
constexpr const char* service = "desk";
constexpr const char* once_path = "/once/x";
constexpr const char* again_path = "/again/x";
constexpr const char* added_path = "/added/x"; ///< in every configuration from the second on

struct server_stand_in {
    std::unique_ptr<fake_target> target;
    std::unique_ptr<testbed::forwarder> link; ///< between gateways and server
    bool registered = true;
};

struct gateway_under_test {
    std::string vm;
    std::string host;
    std::string settings_file;
    std::string log_file;
    std::unique_ptr<testbed::forwarder> store_link;
    testbed::process process;
    std::uint32_t life = 0;
    bool served_added_route = false; ///< in this life
    bool paused = false;
    time_point restart_at{}; ///< default while it runs

    [[nodiscard]] socket_address callers() const { return socket_address(host + ":7001"); }
};

struct call_record {
    std::string id;
    std::size_t gateway = 0;
    std::uint32_t life = 0;
    bool once = false;
    bool added_route = false;
    bool denied = false; ///< the caller was told that it has not run
};

struct soak_run {
    soak_options options;
    soak_report report;
    random_source random;
    http_test::test_loop loop;
    fake_object_store store{loop.get()};
    testbed::temporary_folder folder;
    std::vector<server_stand_in> servers;
    std::vector<gateway_under_test> gateways;
    std::unique_ptr<http_client> client = std::make_unique<http_client>(loop.get(), 0);
    std::map<std::string, call_record> calls;
    std::vector<std::pair<time_point, std::function<void()>>> due; ///< ends of faults
    std::uint32_t version = 0;
    std::uint32_t open_calls = 0;
    std::uint64_t last_call = 0;

    explicit soak_run(const soak_options& opts) : options(opts), random(opts.seed) {}
    ~soak_run() { client.reset(); }
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;
    soak_run(soak_run&&) = delete;
    soak_run& operator=(soak_run&&) = delete;

    void put_config();
    void add_server();
    void add_gateway(std::size_t index);
    void start(gateway_under_test& it);
    void call(std::size_t index, const char* path, std::function<void(unsigned)> on_status = {});
    void judge(const call_record& call, const http_reply& reply);
    void inject();
    void end_later(duration after, std::function<void()> action);
    void run_due(bool all);
    void restart_ended();
    void recover();
    void count_runs();
    void violate(const std::string& what) { report.violations.push_back(what); }
    std::size_t pick(std::size_t n) { return random_below(random, static_cast<std::uint32_t>(n)); }
    duration fault_length() {
        return shortest_fault + std::chrono::milliseconds(random_below(random, fault_spread_ms));
    }
};

json route(const char* name, const char* path, const char* type) {
    return {{"resource_kind", "routes"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"host", "desk.example"},
              {"path_prefix", path},
              {"type", type},
              {"timeout_ms", 600},
              {"aim_ms", 200},
              {"priority", 0},
              {"service", service},
              {"max_attempts", 2}}}};
}

void soak_run::put_config() {
    json resources{route("r1", "/once/", "non_idempotent"),
                   route("r2", "/again/", "idempotent"),
                   {{"resource_kind", "services"},
                    {"metadata", {{"name", service}}},
                    {"spec", {{"health_check_path", "/health"}, {"max_connections", 100}}}}};
    if (++version > 1) {
        resources.push_back(route("r3", "/added/", "idempotent"));
    }
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08x", version);
    store.put("config", "main", {{"version", text.data()}, {"resources", std::move(resources)}});
}

void soak_run::add_server() {
    const auto id = "i-" + std::to_string(servers.size());
    auto& it = servers.emplace_back();
    it.target = std::make_unique<fake_target>(loop.get(), id);
    it.link = std::move(*testbed::forwarder::open(it.target->address()));
    auto entry = it.target->entry(service);
    entry["address"] = it.link->address().text;
    store.put("servers", id, entry);
}

void soak_run::add_gateway(std::size_t index) {
    auto& it = gateways.emplace_back();
    const auto pid = static_cast<unsigned>(getpid());
    it.vm = "vm-" + std::to_string(index);
    it.host = "127." + std::to_string(20 + pid % 200) + "." + std::to_string(pid / 200 % 250) + "." +
              std::to_string(100 + index);
    it.store_link = std::move(*testbed::forwarder::open(store.address()));
    const auto settings =
        http_test::platform_settings(it.vm, it.host, it.store_link->address(), grace_period_s);
    it.settings_file = folder.write(it.vm + ".json", settings.dump());
    it.log_file = folder.path(it.vm + ".log");
    start(it);
}

void soak_run::start(gateway_under_test& it) {
    auto started =
        testbed::process::start({options.program, {"--settings=" + it.settings_file}, it.log_file});
    if (!started) {
        violate("gateway did not start: " + started.error().message);
        return;
    }
    it.process = std::move(*started);
    ++it.life;
    it.served_added_route = false;
    it.paused = false;
    it.restart_at = {};
}

bool denies_run(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void soak_run::call(std::size_t index, const char* path, std::function<void(unsigned)> on_status) {
    call_record record;
    record.id = "call-" + std::to_string(++last_call);
    record.gateway = index;
    record.life = gateways[index].life;
    record.once = path == once_path;
    record.added_route = path == added_path;
    http_request request;
    request.address = gateways[index].callers();
    request.target = path;
    request.headers = {{"Host", "desk.example"},
                       {"X-Request-Id", record.id},
                       {"X-Deadline-Ms", std::to_string(call_deadline_ms)}};
    request.timeout = std::chrono::milliseconds(call_deadline_ms);
    ++report.calls;
    ++open_calls;
    calls[record.id] = record;
    fetch(*client, std::move(request), byte_count{1U << 16U},
          [this, record, on_status = std::move(on_status)](const http_reply& reply) {
              --open_calls;
              judge(record, reply);
              if (on_status) {
                  on_status(reply.result.failure == transfer_failure::none ? reply.result.status : 0);
              }
          });
}

void soak_run::judge(const call_record& call, const http_reply& reply) {
    if (reply.result.failure != transfer_failure::none) {
        ++report.unclear;
        return;
    }
    auto& gateway = gateways[call.gateway];
    const bool same_life = gateway.life == call.life;
    const auto status = reply.result.status;
    const auto* id = find_header(reply.headers, "X-Request-Id");
    if (id != nullptr && *id != call.id) {
        violate(call.id + ": response of " + *id);
    }
    if (status == 200) {
        ++report.done;
        const auto* signature = find_header(reply.headers, "X-Response-Signature");
        if (reply.body != "answer" || signature == nullptr || *signature != "sig-" + call.id) {
            violate(call.id + ": success without the server's response");
        }
    } else if (denies_run(status)) {
        ++report.refused;
        calls[call.id].denied = true;
    } else {
        ++report.unclear;
    }
    if (status == 404 && !call.added_route) {
        violate(call.id + ": route of every configuration is not known");
    }
    if (call.added_route && same_life) {
        if (status == 404 && gateway.served_added_route) {
            violate(call.id + ": configuration went back at " + gateway.vm);
        }
        gateway.served_added_route = gateway.served_added_route || status == 200;
    }
}

void soak_run::end_later(duration after, std::function<void()> action) {
    due.emplace_back(boot_clock::now() + after, std::move(action));
}

void soak_run::run_due(bool all) {
    const auto now = boot_clock::now();
    std::vector<std::function<void()>> ready;
    std::erase_if(due, [&](auto& it) {
        const bool is_due = all || it.first <= now;
        if (is_due) {
            ready.push_back(std::move(it.second));
        }
        return is_due;
    });
    for (const auto& it : ready) {
        it();
    }
}

/// Restarts gateways that ended, after a short delay as an init system has it.
void soak_run::restart_ended() {
    const auto now = boot_clock::now();
    for (auto& it : gateways) {
        if (it.paused || it.process.running()) {
            continue;
        }
        if (it.restart_at == time_point{}) {
            it.restart_at = now + std::chrono::milliseconds(random_below(random, 400));
        } else if (now >= it.restart_at) {
            start(it);
        }
    }
}

struct fault_kind {
    const char* name;
    void (*begin)(soak_run& run, std::size_t gateway, std::size_t server);
};

void set_link(soak_run& run, testbed::forwarder& link) {
    constexpr std::array<forward_mode, 4> modes{forward_mode::hold_to_target, forward_mode::hold_to_source,
                                                forward_mode::hold_both, forward_mode::refuse};
    link.set_mode(modes.at(run.pick(modes.size())));
    run.end_later(run.fault_length(), [&link] { link.set_mode(forward_mode::pass); });
}

const std::vector<fault_kind> fault_kinds{
    {"gateway_killed", [](soak_run& run, std::size_t i, std::size_t) { run.gateways[i].process.kill(); }},
    {"all_gateways_killed",
     [](soak_run& run, std::size_t, std::size_t) {
         for (auto& it : run.gateways) {
             it.process.kill();
         }
     }},
    {"gateway_stopped", [](soak_run& run, std::size_t i, std::size_t) { run.gateways[i].process.stop(); }},
    {"gateway_paused",
     [](soak_run& run, std::size_t i, std::size_t) {
         auto& it = run.gateways[i];
         it.process.pause();
         it.paused = true;
         run.end_later(run.fault_length(), [&it] {
             it.process.resume();
             it.paused = false;
         });
     }},
    {"settings_signal",
     [](soak_run& run, std::size_t i, std::size_t) {
         if (run.gateways[i].process.running()) {
             ::kill(run.gateways[i].process.pid(), SIGHUP);
         }
     }},
    {"store_fails",
     [](soak_run& run, std::size_t, std::size_t) {
         using manner = fake_object_store::manner;
         constexpr std::array<manner, 4> manners{manner::refuses, manner::limits, manner::silent,
                                                 manner::closes};
         run.store.behaviour = manners.at(run.pick(manners.size()));
         run.end_later(run.fault_length(), [&run] { run.store.behaviour = manner::serves; });
     }},
    {"store_forgets", [](soak_run& run, std::size_t, std::size_t) { run.store.forget_history(); }},
    {"store_cuts_watches", [](soak_run& run, std::size_t, std::size_t) { run.store.cut_watches(); }},
    {"store_loses_answers", [](soak_run& run, std::size_t, std::size_t) { run.store.lost_writes = 2; }},
    {"store_link",
     [](soak_run& run, std::size_t i, std::size_t) { set_link(run, *run.gateways[i].store_link); }},
    {"store_link_silent", [](soak_run& run, std::size_t i,
                             std::size_t) { run.gateways[i].store_link->silence_open_connections(); }},
    {"server_misbehaves",
     [](soak_run& run, std::size_t, std::size_t j) {
         using manner = fake_target::manner;
         constexpr std::array<manner, 8> manners{manner::errors,     manner::sheds,    manner::denies,
                                                 manner::breaks,     manner::hangs,    manner::wrong_id,
                                                 manner::without_id, manner::truncates};
         auto& target = *run.servers[j].target;
         target.behaviour = manners.at(run.pick(manners.size()));
         run.end_later(run.fault_length(), [&target] { target.behaviour = manner::serves; });
     }},
    {"server_link", [](soak_run& run, std::size_t, std::size_t j) { set_link(run, *run.servers[j].link); }},
    {"server_link_silent",
     [](soak_run& run, std::size_t, std::size_t j) { run.servers[j].link->silence_open_connections(); }},
    {"server_replaced",
     [](soak_run& run, std::size_t, std::size_t j) {
         if (run.servers[j].registered) {
             run.servers[j].registered = false;
             run.store.remove("servers", "i-" + std::to_string(j));
             run.add_server();
         }
     }},
    {"configuration_changes", [](soak_run& run, std::size_t, std::size_t) { run.put_config(); }},
};

void soak_run::inject() {
    const auto& kind = fault_kinds[pick(fault_kinds.size())];
    const auto gateway = pick(gateways.size());
    const auto server = pick(servers.size());
    report.faults.emplace_back(std::string(kind.name) + " " + std::to_string(gateway) + " " +
                               std::to_string(server));
    kind.begin(*this, gateway, server);
}

void soak_run::recover() {
    run_due(true);
    put_config();
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        bool served = false;
        bool asking = false;
        const bool recovered = loop.run_until(
            [&] {
                restart_ended();
                if (!served && !asking) {
                    asking = true;
                    call(i, added_path, [&](unsigned status) {
                        served = status == 200;
                        asking = false;
                    });
                }
                return served && !asking;
            },
            recovery_limit);
        if (!recovered) {
            violate(gateways[i].vm + " does not serve the newest configuration after the faults");
            client = std::make_unique<http_client>(loop.get(), 0); // drops the call in progress
        }
    }
    loop.run_until([&] { return open_calls == 0; }, recovery_limit);
}

void soak_run::count_runs() {
    std::map<std::string, std::uint32_t> runs;
    for (const auto& server : servers) {
        for (const auto& id : server.target->ran) {
            ++runs[id];
        }
    }
    for (const auto& [id, n] : runs) {
        const auto found = calls.find(id);
        if (found == calls.end()) {
            violate(id + ": no caller sent it");
        } else if (found->second.once && n > 1) {
            violate(id + ": ran " + std::to_string(n) + " times");
        } else if (found->second.once && found->second.denied) {
            violate(id + ": was said not to have run");
        }
    }
}

} // namespace

soak_report run_soak(const soak_options& options) {
    soak_run run(options);
    run.put_config();
    for (std::size_t i = 0; i < options.servers; ++i) {
        run.add_server();
    }
    for (std::size_t i = 0; i < options.gateways; ++i) {
        run.add_gateway(i);
    }
    run.loop.run_for(500ms);
    const auto end = boot_clock::now() + options.fault_time;
    auto next_call = boot_clock::now();
    auto next_fault = boot_clock::now();
    run.loop.run_until(
        [&] {
            const auto now = boot_clock::now();
            run.run_due(false);
            run.restart_ended();
            if (now >= next_call) {
                constexpr std::array<const char*, 3> paths{once_path, again_path, added_path};
                run.call(run.pick(run.gateways.size()), paths.at(run.pick(paths.size())));
                next_call = now + call_gap;
            }
            if (now >= next_fault) {
                run.inject();
                next_fault = now + shortest_fault_gap +
                             std::chrono::milliseconds(random_below(run.random, fault_gap_spread_ms));
            }
            return now >= end;
        },
        options.fault_time * 2);
    run.recover();
    run.count_runs();
    return run.report;
}

} // namespace endivelever::soak
