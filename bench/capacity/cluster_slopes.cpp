#include "capacity/cluster_slopes.hpp"

#include "testbed/blocking_http.hpp"
#include "testbed/cluster.hpp"
#include "testbed/usage.hpp"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace endivelever::bench {
namespace {

using namespace std::chrono_literals;
using testbed::cluster;

constexpr duration settle_time = 4s;           // connections and membership are complete
constexpr duration observe_time = 10s;         // 20 heartbeats of each member
constexpr std::size_t members_of_changes = 16; // entry VMs of today
constexpr std::size_t max_members = 64;        // 128 processes of the product

/// What all controls and the platform spent between two moments, for one control.
struct control_cost {
    double processor_percent = 0.0; ///< of a core
    double resident_mb = 0.0;
    double sent_bytes_per_second = 0.0;
    double entry_resident_mb = 0.0;
    double store_calls_per_second = 0.0; ///< of all controls together
};

struct reading {
    time_point at{};
    double cpu_seconds = 0.0;
    double sent_bytes = 0.0;
    double store_calls = 0.0;
};

double metric(const std::string& text, const std::string& name) {
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.rfind(name + " ", 0) == 0) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    throw std::runtime_error("control has no metric " + name);
}

double store_calls(cluster& it) {
    const auto reply = testbed::call_http(it.platform_address(), "GET", "/v1/fake/counts");
    double sum = 0.0;
    const auto counts = nlohmann::json::parse(reply.body);
    for (const auto& entry : counts.items()) {
        sum += entry.value().is_number() ? entry.value().get<double>() : 0.0;
    }
    return sum;
}

reading read_all(cluster& it) {
    reading now;
    now.at = boot_clock::now();
    for (std::size_t i = 0; i < it.size(); ++i) {
        now.cpu_seconds += to_seconds(testbed::usage_of(it.vm(i).control.pid()).cpu);
        now.sent_bytes += metric(it.operate(i, "GET", "/metrics").body, "endivelever_link_bytes_sent_total");
    }
    now.store_calls = store_calls(it);
    return now;
}

double mean_resident_mb(cluster& it, bool entries) {
    double sum = 0.0;
    for (std::size_t i = 0; i < it.size(); ++i) {
        const auto& vm = it.vm(i);
        const auto usage = testbed::usage_of(entries ? vm.entry.pid() : vm.control.pid());
        sum += static_cast<double>(usage.resident.value) / 1e6;
    }
    return sum / static_cast<double>(it.size());
}

control_cost cost_between(cluster& it, const reading& before, const reading& after) {
    const double seconds = to_seconds(after.at - before.at);
    const auto members = static_cast<double>(it.size());
    control_cost cost;
    cost.processor_percent = 100.0 * (after.cpu_seconds - before.cpu_seconds) / seconds / members;
    cost.sent_bytes_per_second = (after.sent_bytes - before.sent_bytes) / seconds / members;
    cost.store_calls_per_second = (after.store_calls - before.store_calls) / seconds;
    cost.resident_mb = mean_resident_mb(it, false);
    cost.entry_resident_mb = mean_resident_mb(it, true);
    return cost;
}

/// Adds entry VMs to the example's list until there are enough.
void grow_entries(vm_list& list, std::size_t members) {
    for (std::size_t i = 0; list.entries.size() < members; ++i) {
        auto it = list.entries[i];
        it.id = vm_id("added-" + std::to_string(i));
        list.entries.push_back(it);
    }
}

std::unique_ptr<cluster> start_members(const cluster_slope_options& options, std::size_t members) {
    testbed::cluster_options wanted;
    wanted.program_folder = options.program_folder;
    wanted.example_folder = options.example_folder;
    wanted.entry_vms = members;
    wanted.seed = options.seed;
    wanted.adjust = [](settings& it) { it.log_level = "error"; };
    wanted.adjust_vm_list = [members](vm_list& list) { grow_entries(list, members); };
    auto started = cluster::start(wanted);
    if (!started) {
        throw std::runtime_error(started.error().message);
    }
    return std::move(*started);
}

control_cost idle_cost(const cluster_slope_options& options, std::size_t members) {
    const auto it = start_members(options, members);
    std::this_thread::sleep_for(settle_time);
    const auto before = read_all(*it);
    std::this_thread::sleep_for(observe_time);
    const auto after = read_all(*it);
    return cost_between(*it, before, after);
}

std::uint64_t switch_once(cluster& it, std::size_t number, std::uint64_t version) {
    const auto name = number % 2 == 0 ? "peak" : "ordinary";
    const auto reply =
        it.switch_preset(number % it.size(), name, version, "change-" + std::to_string(number));
    if (!testbed::succeeded(reply)) {
        throw std::runtime_error("switch refused: " + reply.body);
    }
    const auto present = it.operate(number % it.size(), "GET", "/v1/status");
    return nlohmann::json::parse(present.body).at("preset").at("version").get<std::uint64_t>();
}

control_cost change_cost(cluster& it, std::size_t changes_per_second, std::uint64_t& version,
                         std::size_t& number) {
    const auto before = read_all(it);
    const auto start = boot_clock::now();
    const auto changes = static_cast<std::size_t>(to_seconds(observe_time)) * changes_per_second;
    for (std::size_t i = 0; i < changes; ++i) {
        const auto due = start + observe_time * static_cast<long>(i) / static_cast<long>(changes);
        std::this_thread::sleep_until(std::chrono::steady_clock::now() + (due - boot_clock::now()));
        version = switch_once(it, number++, version);
    }
    std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                  (start + observe_time - boot_clock::now()));
    const auto after = read_all(it);
    return cost_between(it, before, after);
}

std::vector<slope> empty_slopes(const std::string& prefix, const std::string& grows) {
    return {{prefix + "_control_processor", grows, "percent_of_core", {}},
            {prefix + "_control_memory", grows, "MB", {}},
            {prefix + "_control_sent", grows, "bytes_per_s", {}},
            {prefix + "_entry_memory", grows, "MB", {}},
            {prefix + "_store_calls", grows, "calls_per_s", {}}};
}

void add_point(std::vector<slope>& slopes, double size, const control_cost& cost) {
    const std::vector<double> values{cost.processor_percent, cost.resident_mb, cost.sent_bytes_per_second,
                                     cost.entry_resident_mb, cost.store_calls_per_second};
    for (std::size_t i = 0; i < slopes.size(); ++i) {
        slopes[i].points.push_back({size, values[i]});
    }
}

} // namespace

std::vector<slope> measure_members(const cluster_slope_options& options) {
    auto slopes = empty_slopes("members", "entry VMs");
    for (std::size_t members = 4; members <= max_members; members *= 2) {
        add_point(slopes, static_cast<double>(members), idle_cost(options, members));
    }
    return slopes;
}

std::vector<slope> measure_changes(const cluster_slope_options& options) {
    auto slopes = empty_slopes("changes", "preset switches a second");
    const auto it = start_members(options, members_of_changes);
    auto created = it->create_preset(0, "peak");
    if (!created) {
        throw std::runtime_error(created.error().message);
    }
    std::this_thread::sleep_for(settle_time);
    std::uint64_t version = it->applied_version(0);
    std::size_t number = 0;
    for (const std::size_t rate : {0U, 1U, 2U, 5U, 10U}) {
        add_point(slopes, static_cast<double>(rate),
                  rate == 0 ? idle_cost(options, members_of_changes)
                            : change_cost(*it, rate, version, number));
    }
    return slopes;
}

} // namespace endivelever::bench
