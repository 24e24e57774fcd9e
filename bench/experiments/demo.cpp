#include "endivelever/base/random.hpp"
#include "experiments/experiment.hpp"
#include "testbed/blocking_http.hpp"
#include "testbed/body_pattern.hpp"
#include "testbed/caller.hpp"

#include <algorithm>
#include <cstdio>
#include <thread>

namespace endivelever::experiments {
namespace {

using testbed::cluster;

constexpr std::size_t demo_entry_vms = 4;
constexpr duration i5_no_new_work = std::chrono::seconds(3); ///< I5: target
constexpr duration i7_in_force = std::chrono::seconds(6);    ///< I7: limit
constexpr std::size_t calls_after_drain = 80;
constexpr std::uint64_t body_size = 300;

/// One call as its caller saw it.
struct demo_call {
    unsigned status = 0;
    std::string outcome;
    std::string vm;
    std::string body;
    bool body_right = false;
};

struct demo_run {
    std::string deployment;
    cluster& testbed;
    bool all_right = true;
    std::uint64_t last_number = 0;
};

void print_row(demo_run& run, const std::string& step, const std::string& kind, const std::string& outcome,
               const std::string& vm, bool right) {
    run.all_right = run.all_right && right;
    std::printf("%-11s %-26s %-17s %-24s %-6s %s\n", run.deployment.c_str(), step.c_str(), kind.c_str(),
                outcome.c_str(), vm.c_str(), right ? "right" : "WRONG");
    std::fflush(stdout);
}

std::string header_text(const http_reply& reply, const char* name) {
    const auto* value = find_header(reply.headers, name);
    return value == nullptr ? "" : *value;
}

/// Addresses as a caller gets them from one entry.
std::vector<testbed::answered_address> ask_addresses(demo_run& run, std::size_t entry) {
    const auto reply = testbed::call_http(run.testbed.vm(entry).config.caller_address, "GET",
                                          "/.well-known/endivelever/addresses");
    duration keep{};
    return testbed::parse_address_answer(reply.body, keep);
}

std::string new_target(demo_run& run, const kind_settings& kind) {
    return kind.path_prefix + std::to_string(++run.last_number) + "?size=" + std::to_string(body_size);
}

demo_call send(const socket_address& to, const kind_settings& kind, const std::string& target,
               const std::string& key) {
    http_headers headers;
    if (!kind.idempotent) {
        headers.push_back({"Idempotency-Key", key});
    }
    const auto reply = testbed::call_http(to, kind.idempotent ? "GET" : "POST", target, "", headers,
                                          kind.default_deadline + std::chrono::seconds(1));
    return {reply.result.status, header_text(reply, "Endivelever-Outcome"),
            header_text(reply, "Endivelever-Vm"), reply.body,
            reply.body.size() == body_size && testbed::matches(testbed::pattern_of(target), 0, reply.body)};
}

bool is_done(const demo_call& call) {
    return call.status == 200 && call.outcome == "done" && call.body_right;
}

/// Outcome and status, and the refusal of the entry if there is one.
std::string describe(const demo_call& call) {
    const auto text = call.outcome + " " + std::to_string(call.status);
    const auto refusal = nlohmann::json::parse(call.body, nullptr, false);
    return refusal.is_object() ? text + " " + refusal.value("error", "") : text;
}

void call_every_kind(demo_run& run, const std::string& step) {
    for (const auto& kind : run.testbed.vm(0).config.kinds) {
        const auto addresses = ask_addresses(run, run.last_number % run.testbed.size());
        if (addresses.empty()) {
            print_row(run, step, kind.id.text, "no addresses", "", false);
            continue;
        }
        const auto target = new_target(run, kind);
        const auto key = addresses[0].call_id_prefix + ".demo-" + std::to_string(run.last_number);
        const auto call = send(addresses[0].address, kind, target, key);
        print_row(run, step, kind.id.text, describe(call), call.vm, is_done(call));
    }
}

void switch_preset(demo_run& run) {
    const auto created = run.testbed.create_preset(1, "peak");
    const auto reply = run.testbed.switch_preset(1, "peak", 1, "demo-switch");
    const bool applied = created && testbed::succeeded(reply) && run.testbed.wait_applied(2, i7_in_force);
    print_row(run, "switch to preset peak", "", "status " + std::to_string(reply.result.status), "", applied);
}

std::uint64_t received(demo_run& run, const server_id& server) {
    const auto reply = testbed::call_http(run.testbed.servers_control(), "GET", "/fake/counts");
    return nlohmann::json::parse(reply.body).at(server.text).at("received").get<std::uint64_t>();
}

void drain_server(demo_run& run) {
    const auto server = run.testbed.vms().servers.back(); // its service has the fewest servers
    const nlohmann::json body{{"server", server.id.text}, {"draining", true}};
    const auto reply = run.testbed.operate(0, "POST", "/v1/drains", body.dump());
    std::this_thread::sleep_for(i5_no_new_work);
    const auto before = received(run, server.id);
    const auto& kinds = run.testbed.vm(0).config.kinds;
    const auto kind = std::find_if(kinds.begin(), kinds.end(),
                                   [&](const auto& it) { return it.service == server.service; });
    std::size_t done = 0;
    for (std::size_t i = 0; i < calls_after_drain && kind != kinds.end(); ++i) {
        const auto addresses = ask_addresses(run, i % run.testbed.size());
        if (!addresses.empty()) {
            const auto key = addresses[0].call_id_prefix + ".drain-" + std::to_string(i);
            done += is_done(send(addresses[0].address, *kind, new_target(run, *kind), key)) ? 1 : 0;
        }
    }
    const auto added = received(run, server.id) - before;
    print_row(run, "drain " + server.id.text, kind == kinds.end() ? "" : kind->id.text,
              std::to_string(done) + " done, " + std::to_string(added) + " on it", "",
              testbed::succeeded(reply) && done == calls_after_drain && added == 0);
}

/// Sends the same call id again to the home entry and to another one: the call must have run once.
void resend_call(demo_run& run) {
    const auto& kinds = run.testbed.vm(0).config.kinds;
    const auto kind = std::find_if(kinds.begin(), kinds.end(), [](const auto& it) { return !it.idempotent; });
    const auto addresses = ask_addresses(run, 0);
    if (kind == kinds.end() || addresses.size() < 2) {
        print_row(run, "resend", "", "no addresses", "", false);
        return;
    }
    const auto target = new_target(run, *kind);
    const auto key = addresses[0].call_id_prefix + ".resend";
    const auto first = send(addresses[0].address, *kind, target, key);
    const auto same_entry = send(addresses[0].address, *kind, target, key);
    const auto other_entry = send(addresses[1].address, *kind, target, key);
    print_row(run, "first send", kind->id.text, describe(first), first.vm, is_done(first));
    print_row(run, "resend to the same entry", kind->id.text, describe(same_entry), same_entry.vm,
              same_entry.outcome == "done" && same_entry.body == first.body);
    print_row(run, "resend to another entry", kind->id.text, describe(other_entry), other_entry.vm,
              other_entry.outcome == "done" && other_entry.body == first.body);
    const auto ledger = run.testbed.ledger();
    const auto found = ledger.find(key);
    const auto runs = found == ledger.end() ? 0U : found->second;
    print_row(run, "runs of that call id", kind->id.text, std::to_string(runs), "", runs == 1);
}

} // namespace

bool run_demo(const experiment_options& options) {
    bool all_right = true;
    for (const auto* deployment : {"hanbit", "consortium"}) {
        auto settings = example_cluster(deployment, options);
        settings.entry_vms = demo_entry_vms;
        const auto testbed = start_cluster(settings);
        demo_run run{deployment, *testbed};
        call_every_kind(run, "call");
        switch_preset(run);
        call_every_kind(run, "call under preset peak");
        drain_server(run);
        resend_call(run);
        all_right = all_right && run.all_right;
    }
    std::printf("%s\n", all_right ? "every outcome was right" : "some outcomes were wrong");
    return all_right;
}

} // namespace endivelever::experiments
