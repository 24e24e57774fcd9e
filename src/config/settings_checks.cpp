#include "settings_checks.hpp"

#include <algorithm>

namespace endivelever::detail {
namespace {

std::string element(const char* list, std::size_t index, const char* key) {
    return std::string(list) + "/" + std::to_string(index) + "/" + key;
}

/// Refuses the second of two elements with an equal value.
template <typename Item, typename Project>
void check_unique(const object_reader& in, const std::vector<Item>& items, const char* list, const char* key,
                  Project project) {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
        const std::string& value = project(items[i]);
        if (!seen.insert(value).second) {
            in.contradict(element(list, i, key), "value " + in_quotes(value) + " occurs more than once");
        }
    }
}

bool is_path_letter(char it) {
    constexpr std::string_view also = "-._~/";
    return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9') ||
           also.find(it) != also.npos;
}

/// Path segments "." and ".." and empty segments would let one call match under two spellings.
bool is_path_prefix(const std::string& text) {
    const bool letters = std::all_of(text.begin(), text.end(), is_path_letter);
    const bool ends = !text.empty() && text.front() == '/' && text.back() == '/';
    const bool plain = text.find("//") == std::string::npos && text.find("/./") == std::string::npos &&
                       text.find("/../") == std::string::npos;
    return letters && ends && plain;
}

void check_prefix(const object_reader& in, const settings& value, std::size_t index) {
    const auto key = element("kinds", index, "path_prefix");
    const auto& prefix = value.kinds[index].path_prefix;
    if (!is_path_prefix(prefix)) {
        in.contradict(key,
                      "value " + in_quotes(prefix) +
                          " is not allowed; allowed is a path that starts and ends with '/', of letters, "
                          "digits, '-', '.', '_' and '~', without empty or dot segments");
    }
    if (prefix.starts_with("/.well-known/")) {
        in.contradict(key, "value " + in_quotes(prefix) + " is not allowed; /.well-known/ is reserved");
    }
}

void check_kind(const object_reader& in, const settings& value, std::size_t index) {
    const auto& kind = value.kinds[index];
    const auto is_service = [&kind](const auto& it) { return it.id == kind.service; };
    if (std::none_of(value.services.begin(), value.services.end(), is_service)) {
        in.contradict(element("kinds", index, "service"),
                      "value " + in_quotes(kind.service.text) + " names no service of this file");
    }
    check_prefix(in, value, index);
    if (kind.default_deadline > kind.max_deadline) {
        in.contradict(element("kinds", index, "default_deadline_ms"), "value is above max_deadline_ms");
    }
    if (kind.latency_target > kind.max_deadline) {
        in.contradict(element("kinds", index, "latency_target_ms"), "value is above max_deadline_ms");
    }
}

/// Peers and callers are told these addresses, so a wildcard is of no use to them.
void check_listen_address(const object_reader& in, const char* key, const socket_address& value) {
    const auto host = split_address(value)->host;
    if (host == "0.0.0.0" || host == "::") {
        in.contradict(key, "value " + in_quotes(value.text) +
                               " is not allowed; allowed is one IP number of this VM");
    }
}

void check_remote_address(const object_reader& in, const std::string& key, const socket_address& value) {
    const auto parts = split_address(value);
    if (!parts || parts->port == 0) {
        in.contradict(key,
                      "value " + in_quotes(value.text) +
                          " is not allowed; allowed is <IPv4>:<port> or [<IPv6>]:<port> with a port from 1");
    }
}

void check_addresses(const object_reader& in, const settings& value) {
    struct listener {
        const char* key;
        const socket_address& address;
    };
    const std::array listeners{
        listener{"caller_address", value.caller_address}, listener{"admin_address", value.admin_address},
        listener{"feed_address", value.feed_address}, listener{"operator_address", value.operator_address}};
    std::set<std::string> taken;
    for (const auto& it : listeners) {
        check_listen_address(in, it.key, it.address);
        if (split_address(it.address)->port != 0 && !taken.insert(it.address.text).second) {
            in.contradict(it.key, "value " + in_quotes(it.address.text) + " is used for another listener");
        }
    }
    check_remote_address(in, "platform_address", value.platform_address);
    for (std::size_t i = 0; i < value.seeds.size(); ++i) {
        check_remote_address(in, "seeds/" + std::to_string(i), value.seeds[i]);
    }
}

/// Two operators with one key could not be told apart in the audit.
void check_operators(const object_reader& in, const settings& value) {
    check_unique(in, value.operators, "operators", "name",
                 [](const auto& it) -> const std::string& { return it.name.text; });
    std::set<std::string> keys{value.cluster_key};
    for (std::size_t i = 0; i < value.operators.size(); ++i) {
        if (!keys.insert(value.operators[i].key).second) {
            in.contradict(element("operators", i, "key"), "secret value is used for another key, too");
        }
    }
}

} // namespace

void check_settings(const object_reader& in, const settings& value) {
    check_addresses(in, value);
    check_operators(in, value);
    check_unique(in, value.services, "services", "id",
                 [](const auto& it) -> const std::string& { return it.id.text; });
    check_unique(in, value.kinds, "kinds", "id",
                 [](const auto& it) -> const std::string& { return it.id.text; });
    check_unique(in, value.kinds, "kinds", "path_prefix",
                 [](const auto& it) -> const std::string& { return it.path_prefix; });
    for (std::size_t i = 0; i < value.kinds.size(); ++i) {
        check_kind(in, value, i);
    }
}

} // namespace endivelever::detail
