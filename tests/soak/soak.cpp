#include "soak/soak_run.hpp"

#include <csignal>

namespace endivelever::soak {
namespace {

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

} // namespace

void soak_run::put_config() {
    json resources{route("r1", "/once/", "non_idempotent"),
                   route("r2", "/again/", "idempotent"),
                   {{"resource_kind", "services"},
                    {"metadata", {{"name", service}}},
                    {"spec", {{"health_check_path", "/health"}, {"max_connections", 100}}}}};
    replaced_at[version] = boot_clock::now();
    if (++version > 1) {
        resources.push_back(route("r3", "/added/", "idempotent"));
    }
    // Each configuration has a key of its own, which the next one takes away.
    resources.push_back({{"resource_kind", "tenants"},
                         {"metadata", {{"name", "open"}}},
                         {"spec", {{"api_keys", {"key-open", "key-" + std::to_string(version)}}}}});
    resources.push_back(
        {{"resource_kind", "tenants"},
         {"metadata", {{"name", "limited"}}},
         {"spec", {{"api_keys", {"key-limited"}}, {"rate_per_s", quota_rate}, {"burst", quota_burst}}}});
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08x", version);
    store.put("config", "main", {{"version", text.data()}, {"resources", std::move(resources)}});
}

void soak_run::add_server() {
    const auto id = "i-" + std::to_string(servers.size());
    auto& it = servers.emplace_back();
    it.target = std::make_unique<fake_target>(loop.get(), id);
    it.link = std::move(*testbed::forwarder::open(it.target->address()));
    it.may_be_evacuated = servers.size() % 2 == 0;
    put_entry(servers.size() - 1);
}

void soak_run::put_entry(std::size_t index) {
    const auto& it = servers[index];
    auto entry = it.target->entry(service);
    entry["address"] = it.link->address().text;
    if (it.may_be_evacuated) {
        entry["zone"] = evacuated_domain;
    }
    store.put("servers", "i-" + std::to_string(index), entry);
}

void soak_run::return_store_from_copy() {
    const bool evacuated = store.has("evacuations", evacuated_domain);
    store.restore();
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto id = "i-" + std::to_string(i);
        if (servers[i].registered) {
            put_entry(i);
        } else if (store.has("servers", id)) {
            store.remove("servers", id);
        }
    }
    if (evacuated) {
        store.put("evacuations", evacuated_domain, json::object());
    } else if (store.has("evacuations", evacuated_domain)) {
        store.remove("evacuations", evacuated_domain);
    }
    put_config();
}

void soak_run::add_gateway(std::size_t index) {
    auto& it = gateways.emplace_back();
    const auto pid = static_cast<unsigned>(getpid());
    it.vm = "vm-" + std::to_string(index);
    it.host = "127." + std::to_string(20 + pid % 200) + "." + std::to_string(pid / 200 % 250) + "." +
              std::to_string(100 + index);
    it.store_link = std::move(*testbed::forwarder::open(store.address()));
    auto settings = http_test::platform_settings(it.vm, it.host, it.store_link->address(), grace_period_s);
    settings["bounds"].update({{"revoke_ms", to_milliseconds(revocation_bound)},
                               {"strict_revocation", true},
                               {"evacuation_ms", to_milliseconds(evacuation_bound)},
                               {"quota_window_s", to_seconds(quota_window)},
                               {"quota_overage", quota_overage},
                               {"quota_tolerance", quota_tolerance}});
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

/// Picks a key for a call: of the tenant with a limit, of the one without, one that a configuration took
/// away, or one that none ever had.
std::string soak_run::pick_key(call_record& record) {
    record.tenant = "open";
    switch (record.added_route ? 0 : pick(8)) {
    case 1:
        record.tenant.clear();
        return "key-none";
    case 2:
    case 3:
        record.key_until = 1 + static_cast<std::uint32_t>(pick(version));
        return "key-" + std::to_string(record.key_until);
    case 4:
    case 5:
    case 6:
    case 7:
        record.tenant = "limited";
        return "key-limited";
    default:
        return "key-open";
    }
}

void soak_run::call(std::size_t index, const char* path, std::function<void(unsigned)> on_status) {
    call_record record;
    record.id = "call-" + std::to_string(++last_call);
    record.gateway = index;
    record.life = gateways[index].life;
    record.once = path == once_path;
    record.added_route = path == added_path;
    record.sent = boot_clock::now();
    const auto key = pick_key(record);
    http_request request;
    request.address = gateways[index].callers();
    request.target = path;
    request.headers = {{"Host", "desk.example"},
                       {"Authorization", "Bearer " + key},
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

namespace {

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
    {"store_returns_from_copy",
     [](soak_run& run, std::size_t, std::size_t) {
         run.store.copy();
         run.end_later(run.fault_length(), [&run] { run.return_store_from_copy(); });
     }},
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
    {"domain_evacuated",
     [](soak_run& run, std::size_t, std::size_t) {
         if (run.store.has("evacuations", evacuated_domain)) {
             return;
         }
         run.store.put("evacuations", evacuated_domain, json::object());
         run.evacuations.push_back({boot_clock::now()});
         run.end_later(evacuation_time, [&run] {
             run.evacuations.back().until = boot_clock::now();
             run.store.remove("evacuations", evacuated_domain);
         });
     }},
    {"configuration_changes", [](soak_run& run, std::size_t, std::size_t) { run.put_config(); }},
};

} // namespace

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

soak_report run_soak(const soak_options& options) {
    soak_run run(options);
    run.store.era = 1;
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
                const auto gap = shortest_fault_gap +
                                 std::chrono::milliseconds(random_below(run.random, fault_gap_spread_ms));
                next_fault = now + options.fault_gap_factor * gap;
            }
            return now >= end;
        },
        options.fault_time * 2);
    run.recover();
    run.count_runs();
    return run.report;
}

} // namespace endivelever::soak
