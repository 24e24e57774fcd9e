#include "capacity/process_slopes.hpp"

#include "capacity/sample_state.hpp"
#include "endivelever/base/random.hpp"
#include "endivelever/config/vm_list.hpp"
#include "endivelever/decide/address_answer.hpp"
#include "endivelever/decide/call_registry.hpp"
#include "endivelever/decide/choose_server.hpp"
#include "endivelever/decide/document_table.hpp"
#include "endivelever/decide/membership.hpp"
#include "endivelever/wire/messages.hpp"

#include <memory>
#include <stdexcept>

namespace endivelever::bench {
namespace {

using namespace std::chrono_literals;

const time_point start{1h};

using measure = std::function<double(std::size_t size)>;

slope grow(std::string name, std::string grows, std::string unit, const std::vector<std::size_t>& sizes,
           const measure& value_of) {
    slope it{std::move(name), std::move(grows), std::move(unit), {}};
    for (const auto size : sizes) {
        it.points.push_back({static_cast<double>(size), value_of(size)});
    }
    return it;
}

message decoded(const std::string& text) {
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(text.data());
    auto value = decode({bytes, text.size()});
    if (!value) {
        throw std::runtime_error(value.error().message);
    }
    return std::move(*value);
}

double round_trip_us(const message& value) {
    return processor_us([&] { decoded(encode(value)); });
}

const std::vector<std::size_t> target_sizes{100, 1000, 3000, 6000, 12'000};
const std::vector<std::size_t> service_sizes{10, 50, 115, 230, 460};
const std::vector<std::size_t> pool_sizes{10, 26, 50, 100, 200};
const std::vector<std::size_t> member_sizes{4, 16, 64, 150, 300};
const std::vector<std::size_t> call_sizes{1000, 10'000, 50'000, 200'000};
const std::vector<std::size_t> payload_sizes{1000, 10'000, 100'000, 500'000, 1'000'000};

server_pool sample_pool(std::size_t servers) {
    server_pool pool;
    pool.own_domain = sample_member(0).failure_domain;
    pool.own_vm = sample_member(0).vm;
    update_servers(pool, sample_servers(servers), {}, 16, start);
    return pool;
}

double pool_bytes(std::size_t servers) {
    std::vector<server_pool> pools;
    return heap_bytes([&] {
        const auto list = sample_vm_list(servers, 460);
        for (std::size_t i = 0; i < 460; ++i) {
            pools.emplace_back();
            std::vector<listed_server> own;
            for (const auto& it : list.servers) {
                if (it.service.text == "service-" + std::to_string(i)) {
                    own.push_back(it);
                }
            }
            update_servers(pools.back(), own, {}, 16, start);
        }
    });
}

double choose_us(std::size_t servers) {
    auto pool = sample_pool(servers);
    random_source random(1, 1);
    return processor_us([&] {
               for (int i = 0; i < 100; ++i) {
                   choose_server(pool, {}, start + 1s, random);
               }
           }) /
           100;
}

double registry_bytes(std::size_t calls) {
    call_registry registry;
    registry.vm = vm_id("vm-1");
    registry.life = incarnation{7};
    registry.generation_start = start;
    registry.max_calls = 1'000'000;
    const auto prefix = call_id_prefix(registry.vm, registry.life, registry.generation);
    return heap_bytes([&] {
        for (std::size_t i = 0; i < calls; ++i) {
            const call_id id(prefix + ".0123456789abcdef" + std::to_string(i));
            register_arrival(registry, id, i, i, start);
            finish_call(registry, id, call_outcome::done, {});
        }
    });
}

document_message sample_document(std::size_t bytes, std::uint64_t version) {
    return {document_key("preset/in-force"), document_version{version}, std::string(bytes, 'x')};
}

double document_us(std::size_t bytes) {
    document_table table;
    std::uint64_t version = 0;
    return processor_us([&] {
        const auto value = decoded(encode(sample_document(bytes, ++version)));
        merge_document(table, std::get<document_message>(value));
    });
}

double digest_check_us(std::size_t documents) {
    document_table table;
    for (const auto& it : sample_heartbeat(documents).digests) {
        merge_document(table, {it.key, it.version, "{}"});
    }
    const auto digests = digests_of(table);
    return processor_us([&] { documents_newer_than(table, digests); });
}

membership sample_membership(std::size_t members) {
    membership all;
    all.self = sample_member(0);
    for (std::size_t i = 1; i < members; ++i) {
        merge_heartbeat(all, sample_member(i), start);
    }
    return all;
}

double watcher_us(std::size_t members) {
    const auto all = sample_membership(members);
    return processor_us([&] { is_watcher(all, start); });
}

double addresses_us(std::size_t members) {
    const auto all = sample_membership(members);
    const auto serving = serving_members(all, start);
    random_source random(1, 1);
    return processor_us([&] { select_addresses(serving, random); });
}

message sample_table(std::size_t members) {
    member_table_message table;
    for (std::size_t i = 0; i < members; ++i) {
        table.members.push_back(sample_member(i));
    }
    return table;
}

std::vector<slope> target_slopes() {
    return {
        grow("vm_list_bytes", "targets", "bytes", target_sizes,
             [](std::size_t n) { return static_cast<double>(to_json(sample_vm_list(n, 460)).size()); }),
        grow("vm_list_parse", "targets", "us", target_sizes,
             [](std::size_t n) {
                 const auto text = to_json(sample_vm_list(n, 460));
                 return processor_us([&] { parse_vm_list(text).value(); });
             }),
        grow("entry_pools_memory", "targets", "bytes", target_sizes, pool_bytes),
        grow("choose_server", "servers of the service", "us", pool_sizes, choose_us),
    };
}

std::vector<slope> control_slopes() {
    return {
        grow("heartbeat_bytes", "documents", "bytes", service_sizes,
             [](std::size_t n) { return static_cast<double>(encode(sample_heartbeat(n)).size()); }),
        grow("heartbeat_codec", "documents", "us", service_sizes,
             [](std::size_t n) { return round_trip_us(sample_heartbeat(n)); }),
        grow("digest_check", "documents", "us", service_sizes, digest_check_us),
        grow("document_merge", "payload bytes", "us", payload_sizes, document_us),
        grow("member_table_bytes", "members", "bytes", member_sizes,
             [](std::size_t n) { return static_cast<double>(encode(sample_table(n)).size()); }),
        grow("member_table_codec", "members", "us", member_sizes,
             [](std::size_t n) { return round_trip_us(sample_table(n)); }),
        grow("membership_memory", "members", "bytes", member_sizes,
             [](std::size_t n) {
                 std::unique_ptr<membership> all;
                 return heap_bytes([&] { all = std::make_unique<membership>(sample_membership(n)); });
             }),
        grow("watcher_election", "members", "us", member_sizes, watcher_us),
        grow("address_response", "members", "us", member_sizes, addresses_us),
    };
}

} // namespace

std::vector<slope> measure_in_process() {
    auto all = target_slopes();
    for (auto& it : control_slopes()) {
        all.push_back(std::move(it));
    }
    all.push_back(grow("call_registry_memory", "calls", "bytes", call_sizes, registry_bytes));
    return all;
}

} // namespace endivelever::bench
