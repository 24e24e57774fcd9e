#include "testbed/cluster.hpp"

#include "testbed/blocking_http.hpp"
#include "testbed/caller.hpp"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace endivelever::testbed {
namespace detail {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr duration ready_limit = 30s;
constexpr duration probe_timeout = 1s;
constexpr const char* addresses_path = "/.well-known/endivelever/addresses";

std::string read_file(const std::string& path) {
    const std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string describe(const http_reply& reply) {
    return "status " + std::to_string(reply.result.status) + " " + reply.result.detail + " " + reply.body;
}

result<void> expect_success(const http_reply& reply, const std::string& what) {
    if (succeeded(reply)) {
        return {};
    }
    return fail("testbed", 7, what + ": " + describe(reply));
}

/// Picks entries from all failure domains in turn, so that a small cluster still spans several.
std::vector<listed_entry> spread_entries(const std::vector<listed_entry>& all, std::size_t wanted) {
    std::vector<listed_entry> picked;
    std::vector<listed_entry> left = all;
    while (picked.size() < wanted && !left.empty()) {
        std::set<std::string> used;
        std::erase_if(left, [&](const auto& it) {
            const bool take = picked.size() < wanted && used.insert(it.failure_domain.text).second;
            if (take) {
                picked.push_back(it);
            }
            return take;
        });
    }
    return picked;
}

json server_spec(const listed_server& it, const settings& example, const json& behaviour) {
    auto spec = behaviour;
    for (const auto& service : example.services) {
        if (service.id == it.service) {
            spec["slots"] = it.slots == 0 ? service.slots_per_server : it.slots;
            spec["connections"] = it.connections == 0 ? service.connections_per_server : it.connections;
        }
    }
    spec["id"] = it.id.text;
    spec["service"] = it.service.text;
    spec["failure_domain"] = it.failure_domain.text;
    return spec;
}

/// Replaces the example's server addresses by those that the fake servers listen on.
void take_addresses(vm_list& vms, const std::string& listing) {
    const auto listed = json::parse(listing);
    for (const auto& it : listed.at("servers")) {
        for (auto& server : vms.servers) {
            if (server.id.text == it.at("id").get<std::string>()) {
                server.address = socket_address(it.at("address").get<std::string>());
            }
        }
    }
}

} // namespace detail

cluster::cluster(const cluster_options& options) : m_options(options) {}

cluster::~cluster() {
    // Entries first: they would otherwise log lost controls and servers.
    for (auto& it : m_vms) {
        it.entry.kill();
        it.control.kill();
    }
}

result<std::unique_ptr<cluster>> cluster::start(const cluster_options& options) {
    std::unique_ptr<cluster> it(new cluster(options));
    auto done = it->load_example();
    for (auto step : {&cluster::start_servers, &cluster::start_platform, &cluster::start_vms,
                      &cluster::put_first_preset_in_force}) {
        if (done) {
            done = (it.get()->*step)();
        }
    }
    if (!done) {
        return tl::unexpected<error>(done.error());
    }
    return it;
}

result<void> cluster::load_example() {
    auto example = load_settings(m_options.example_folder + "/settings.json");
    if (!example) {
        return tl::unexpected<error>(example.error());
    }
    auto vms = parse_vm_list(detail::read_file(m_options.example_folder + "/vm-list.json"));
    if (!vms) {
        return tl::unexpected<error>(vms.error());
    }
    m_example = std::move(*example);
    m_vm_list = std::move(*vms);
    m_vm_list.entries = detail::spread_entries(m_vm_list.entries, m_options.entry_vms);
    if (m_options.adjust) {
        m_options.adjust(m_example);
    }
    if (m_options.adjust_vm_list) {
        m_options.adjust_vm_list(m_vm_list);
    }
    return {};
}

result<void> cluster::start_servers() {
    auto specs = detail::json::array();
    const auto behaviour = detail::json::parse(m_options.behaviour);
    for (const auto& it : m_vm_list.servers) {
        specs.push_back(detail::server_spec(it, m_example, behaviour));
    }
    const auto file = m_folder.write("servers.json", detail::json{{"servers", specs}}.dump());
    auto started = process::start({m_options.program_folder + "/endivelever-fake-servers",
                                   {"--servers=" + file, "--seed=" + std::to_string(m_options.seed)},
                                   m_folder.path("servers.log")});
    if (!started) {
        return tl::unexpected<error>(started.error());
    }
    m_servers = std::move(*started);
    const auto control = read_listening_address(m_servers);
    if (!control) {
        return tl::unexpected<error>(control.error());
    }
    m_servers_control = socket_address(*control);
    const auto listing = call_http(m_servers_control, "GET", "/fake/servers");
    if (succeeded(listing)) {
        detail::take_addresses(m_vm_list, listing.body);
    }
    return detail::expect_success(listing, "fake servers");
}

result<void> cluster::start_platform() {
    auto started = process::start({m_options.program_folder + "/endivelever-fake-platform",
                                   {"--listen=" + m_platform_port.address().text},
                                   m_folder.path("platform.log")});
    if (!started) {
        return tl::unexpected<error>(started.error());
    }
    m_platform = std::move(*started);
    const auto address = read_listening_address(m_platform);
    return address ? result<void>{} : tl::unexpected<error>(address.error());
}

result<void> cluster::add_vm(const settings& example, const listed_entry& listed) {
    auto config = example;
    config.vm = listed.id;
    config.failure_domain = listed.failure_domain;
    for (auto* it :
         {&config.caller_address, &config.admin_address, &config.feed_address, &config.operator_address}) {
        *it = m_ports.emplace_back().address();
    }
    config.platform_address = m_platform_port.address();
    if (m_options.with_forwarders) {
        auto feed = forwarder::open(config.feed_address);
        auto platform = forwarder::open(m_platform_port.address());
        if (!feed || !platform) {
            return tl::unexpected<error>(feed ? platform.error() : feed.error());
        }
        config.platform_address = (*platform)->address();
        m_feed_links.push_back(std::move(*feed));
        m_platform_links.push_back(std::move(*platform));
    }
    m_vms.push_back({.config = config, .settings_file = {}, .entry = {}, .control = {}});
    return {};
}

result<void> cluster::start_vms() {
    std::vector<socket_address> feeds;
    for (auto& listed : m_vm_list.entries) {
        auto added = add_vm(m_example, listed);
        if (!added) {
            return added;
        }
        const auto& config = m_vms.back().config;
        listed.caller_address = config.caller_address;
        listed.admin_address = config.admin_address;
        listed.feed_address =
            m_options.with_forwarders ? m_feed_links.back()->address() : config.feed_address;
        feeds.push_back(listed.feed_address);
    }
    auto done = publish_vms([](vm_list&) {});
    for (std::size_t i = 0; i < m_vms.size() && done; ++i) {
        auto& it = m_vms[i];
        it.config.seeds = feeds;
        it.config.seeds.erase(it.config.seeds.begin() + static_cast<std::ptrdiff_t>(i));
        it.settings_file = m_folder.write(it.config.vm.text + ".json", to_json(it.config));
        done = start_control(i);
        if (done) {
            done = start_entry(i);
        }
    }
    return done;
}

result<void> cluster::start_entry(std::size_t index) {
    auto& it = m_vms[index];
    auto started = process::start({m_options.program_folder + "/endivelever-entry",
                                   {"--settings=" + it.settings_file},
                                   m_folder.path(it.config.vm.text + "-entry.log")});
    if (!started) {
        return tl::unexpected<error>(started.error());
    }
    it.entry = std::move(*started);
    return {};
}

result<void> cluster::start_control(std::size_t index) {
    auto& it = m_vms[index];
    auto started = process::start({m_options.program_folder + "/endivelever-control",
                                   {"--settings=" + it.settings_file},
                                   m_folder.path(it.config.vm.text + "-control.log")});
    if (!started) {
        return tl::unexpected<error>(started.error());
    }
    it.control = std::move(*started);
    return {};
}

http_reply cluster::operate(std::size_t index, const std::string& method, const std::string& target,
                            const std::string& body) {
    const auto& config = m_vms[index].config;
    return call_http(config.operator_address, method, target, body,
                     {{"Authorization", "Bearer " + config.operators.at(0).key}});
}

result<void> cluster::create_preset(std::size_t index, const std::string& name) {
    const auto file = m_options.example_folder + "/preset-" + name + ".json";
    const auto content = parse_preset(detail::read_file(file), file);
    if (!content) {
        return tl::unexpected<error>(content.error());
    }
    return detail::expect_success(operate(index, "PUT", "/v1/presets/" + name, to_json(*content)),
                                  "create preset " + name);
}

http_reply cluster::switch_preset(std::size_t index, const std::string& name, std::uint64_t expect_version,
                                  const std::string& operation) {
    const detail::json body{
        {"name", name}, {"expect_version", expect_version}, {"operation_id", operation}, {"pin", false}};
    return operate(index, "POST", "/v1/preset/switch", body.dump());
}

result<void> cluster::put_first_preset_in_force() {
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        const auto ready = [this, i] { return succeeded(operate(i, "GET", "/v1/status")); };
        if (!wait_until(ready, detail::ready_limit)) {
            return fail("testbed", 8, m_vms[i].config.vm.text + ": control is not ready");
        }
    }
    auto done = create_preset(0, m_options.first_preset);
    if (done) {
        // A control refuses changes until it has heard of a majority.
        constexpr unsigned status_unavailable = 503;
        http_reply reply;
        wait_until(
            [&] {
                reply = switch_preset(0, m_options.first_preset, 0, "first");
                return reply.result.status != status_unavailable;
            },
            detail::ready_limit);
        done = detail::expect_success(reply, "first switch");
    }
    if (done && !wait_applied(1, detail::ready_limit)) {
        return fail("testbed", 9, "an entry does not apply the first preset");
    }
    const auto all_named = [this] {
        const auto wanted = std::min<std::size_t>(m_vms.size(), 2);
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            if (named_addresses(i) < wanted) {
                return false;
            }
        }
        return true;
    };
    if (done && !wait_until(all_named, detail::ready_limit)) {
        return fail("testbed", 10, "an entry does not name the others");
    }
    for (std::size_t i = 0; i < m_vms.size() && done; ++i) {
        if (!wait_until([this, i] { return serves(i); }, detail::ready_limit)) {
            return fail("testbed", 11, m_vms[i].config.vm.text + ": entry does not serve");
        }
    }
    return done;
}

bool cluster::serves(std::size_t index) {
    const auto& config = m_vms[index].config;
    const auto kind =
        std::find_if(config.kinds.begin(), config.kinds.end(), [](const auto& it) { return it.idempotent; });
    return kind != config.kinds.end() &&
           succeeded(call_http(config.caller_address, "GET", kind->path_prefix + "ready"));
}

std::uint64_t cluster::applied_version(std::size_t index) {
    const auto reply = call_http(m_vms[index].config.caller_address, "GET", detail::addresses_path, "", {},
                                 detail::probe_timeout);
    const auto answer = detail::json::parse(reply.body, nullptr, false);
    return succeeded(reply) && answer.is_object() ? answer.value("preset_version", std::uint64_t{0}) : 0;
}

std::size_t cluster::named_addresses(std::size_t index) {
    const auto reply = call_http(m_vms[index].config.caller_address, "GET", detail::addresses_path, "", {},
                                 detail::probe_timeout);
    duration keep{};
    return succeeded(reply) ? parse_address_answer(reply.body, keep).size() : 0;
}

bool cluster::wait_applied(std::uint64_t version, duration limit) {
    const auto until = boot_clock::now() + limit;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        const auto left = until - boot_clock::now();
        if (!wait_until([this, i, version] { return applied_version(i) >= version; }, left)) {
            return false;
        }
    }
    return true;
}

result<void> cluster::publish_vms(const std::function<void(vm_list&)>& change, duration lag) {
    change(m_vm_list);
    const auto lag_ms = std::chrono::duration_cast<std::chrono::milliseconds>(lag).count();
    const auto target = "/v1/fake/vms?lag_ms=" + std::to_string(lag_ms);
    return detail::expect_success(call_http(m_platform_port.address(), "PUT", target, to_json(m_vm_list)),
                                  "publish the VM list");
}

result<void> cluster::change_server(const server_id& id, const std::string& body) {
    return detail::expect_success(call_http(m_servers_control, "POST", "/fake/servers/" + id.text, body),
                                  "change server " + id.text);
}

result<void> cluster::set_fault(const std::string& rule) {
    return detail::expect_success(call_http(m_platform_port.address(), "POST", "/v1/fake/faults", rule),
                                  "set platform fault");
}

std::map<std::string, std::uint32_t> cluster::ledger() {
    const auto reply = call_http(m_servers_control, "GET", "/fake/ledger");
    return detail::json::parse(reply.body).at("runs").get<std::map<std::string, std::uint32_t>>();
}

load_options cluster::caller_options() const {
    load_options options;
    for (const auto& it : m_vms) {
        options.entries.push_back(it.config.caller_address);
    }
    for (const auto& it : m_example.kinds) {
        load_kind kind;
        kind.kind = it.id;
        kind.path_prefix = it.path_prefix;
        kind.method = it.idempotent ? "GET" : "POST";
        kind.idempotent = it.idempotent;
        kind.deadline = it.default_deadline;
        options.kinds.push_back(kind);
    }
    options.seed = m_options.seed;
    return options;
}

result<process> cluster::start_load(const load_options& options) {
    const auto file = m_folder.write("load-" + std::to_string(options.seed) + ".json", to_json(options));
    return process::start(
        {m_options.program_folder + "/endivelever-load", {"--options=" + file}, m_folder.path("load.log")});
}

} // namespace endivelever::testbed
