#include "capacity/sample_state.hpp"

namespace endivelever::bench {
namespace {

constexpr std::size_t domains = 17; // letter 1: failure domains two years out
constexpr std::size_t kinds = 8;

failure_domain domain_of(std::size_t number) {
    return failure_domain("region-" + std::to_string(number % domains / 2) + "-domain-" +
                          std::to_string(number % domains));
}

std::string address_of(std::size_t number) {
    return "10." + std::to_string(number / 65'536 % 256) + "." + std::to_string(number / 256 % 256) + "." +
           std::to_string(number % 256) + ":8080";
}

listed_server sample_server(std::size_t number, std::size_t service) {
    listed_server it;
    it.id = server_id("server-" + std::to_string(number));
    it.service = service_id("service-" + std::to_string(service));
    it.failure_domain = domain_of(number);
    it.address = socket_address(address_of(number));
    it.slots = 4;
    it.connections = 250;
    return it;
}

} // namespace

vm_list sample_vm_list(std::size_t servers, std::size_t services) {
    vm_list list;
    for (std::size_t i = 0; i < servers; ++i) {
        list.servers.push_back(sample_server(i, i % services));
    }
    return list;
}

std::vector<listed_server> sample_servers(std::size_t servers) {
    return sample_vm_list(servers, 1).servers;
}

member_record sample_member(std::size_t number) {
    member_record it;
    it.vm = vm_id("vm-" + std::to_string(number));
    it.life = incarnation{1};
    it.sequence = 1;
    it.failure_domain = domain_of(number);
    it.caller_address = address_of(number);
    it.feed_address = address_of(number);
    it.admin_address = address_of(number);
    it.entry_life = incarnation{0x9f2c41aaULL + number};
    it.generation = 12;
    it.applied = document_version{1000};
    it.demand.assign(kinds, 100);
    return it;
}

heartbeat_message sample_heartbeat(std::size_t digests) {
    heartbeat_message beat;
    beat.self = sample_member(1);
    for (std::size_t i = 0; i < digests; ++i) {
        beat.digests.push_back(
            {document_key("config/service-" + std::to_string(i)), document_version{i + 1}});
    }
    return beat;
}

} // namespace endivelever::bench
