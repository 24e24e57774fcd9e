#include "endivelever/config/vm_list.hpp"

#include "json_reader.hpp"

namespace endivelever {
namespace {

using detail::object_reader;
using detail::ordered_json;

constexpr std::uint32_t max_slots = 10'000;
constexpr std::uint32_t max_connections = 1'000'000;
constexpr const char* source = "VM list";

enum class role { entry, server };
constexpr std::array role_names{detail::enum_name{"entry", role::entry},
                                detail::enum_name{"server", role::server}};
constexpr std::array state_names{detail::enum_name{"live", false}, detail::enum_name{"leaving", true}};

listed_entry read_entry(object_reader& in) {
    listed_entry out;
    out.id = vm_id(in.name("id"));
    out.failure_domain = failure_domain(in.name("failure_domain"));
    out.caller_address = in.address("address");
    out.feed_address = in.address("peer_address");
    out.admin_address = in.address("admin_address");
    out.leaving = in.choice<bool>("state", state_names);
    return out;
}

listed_server read_server(object_reader& in) {
    listed_server out;
    out.id = server_id(in.dotted_name("id"));
    out.service = service_id(in.name("service"));
    out.failure_domain = failure_domain(in.name("failure_domain"));
    out.address = in.address("address");
    out.slots = in.count("slots", {0, max_slots}, 0);
    out.connections = in.count("connections", {0, max_connections}, 0);
    out.leaving = in.choice<bool>("state", state_names);
    return out;
}

/// The platform may add keys at any time; they are ignored, because a list that is refused as a whole
/// would stop membership changes everywhere.
vm_list read_list(const detail::json& document) {
    const auto is_list = document.is_object() && document.contains("vms") && document["vms"].is_array();
    if (!is_list) {
        throw detail::config_failure(detail::fault::wrong_type,
                                     std::string(source) +
                                         ": document: allowed is an object with the array \"vms\"");
    }
    vm_list out;
    std::set<std::string> seen;
    const auto& vms = document["vms"];
    for (std::size_t i = 0; i < vms.size(); ++i) {
        object_reader in(vms[i], source, "/vms/" + std::to_string(i));
        if (in.choice<role>("role", role_names) == role::entry) {
            out.entries.push_back(read_entry(in));
        } else {
            out.servers.push_back(read_server(in));
        }
        const auto id = in.dotted_name("id");
        if (!seen.insert(id).second) {
            in.contradict("id", "value " + detail::in_quotes(id) + " occurs more than once");
        }
    }
    return out;
}

const char* state_text(bool leaving) {
    return leaving ? "leaving" : "live";
}

ordered_json to_value(const listed_entry& it) {
    return {{"id", it.id.text},
            {"role", "entry"},
            {"address", it.caller_address.text},
            {"peer_address", it.feed_address.text},
            {"admin_address", it.admin_address.text},
            {"failure_domain", it.failure_domain.text},
            {"state", state_text(it.leaving)}};
}

ordered_json to_value(const listed_server& it) {
    return {{"id", it.id.text},
            {"role", "server"},
            {"service", it.service.text},
            {"address", it.address.text},
            {"failure_domain", it.failure_domain.text},
            {"slots", it.slots},
            {"connections", it.connections},
            {"state", state_text(it.leaving)}};
}

} // namespace

result<vm_list> parse_vm_list(const std::string& text) {
    return detail::guarded([&] { return read_list(detail::parse_json(text, source)); });
}

std::string to_json(const vm_list& list) {
    auto vms = ordered_json::array();
    for (const auto& it : list.entries) {
        vms.push_back(to_value(it));
    }
    for (const auto& it : list.servers) {
        vms.push_back(to_value(it));
    }
    return detail::dump_json({{"vms", std::move(vms)}});
}

} // namespace endivelever
