#include "testbed/fake_store.hpp"

#include "testbed/http_text.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace endivelever::testbed {
namespace detail {

struct fault_name {
    const char* text;
    fault_mode mode;
};

constexpr std::array<fault_name, 5> fault_names{{{"none", fault_mode::none},
                                                 {"slow", fault_mode::slow},
                                                 {"silent", fault_mode::silent},
                                                 {"lost_answer", fault_mode::lost_answer},
                                                 {"outage", fault_mode::outage}}};

bool applies(const fault_rule& rule, std::string_view path, bool is_update) {
    return path.starts_with(rule.path_prefix) && (is_update || rule.mode != fault_mode::lost_answer);
}

} // namespace detail

std::optional<document_version> parse_etag(std::string_view text) {
    if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
        return std::nullopt;
    }
    const auto number = parse_number(text.substr(1, text.size() - 2));
    return number ? std::optional(document_version{*number}) : std::nullopt;
}

std::string etag_of(document_version version) {
    return '"' + std::to_string(version.value) + '"';
}

put_outcome put(fake_store& store, const std::string& key, const put_condition& condition,
                std::string payload) {
    const auto found = store.objects.find(key);
    const auto present = found == store.objects.end() ? document_version{} : found->second.version;
    if (present != condition.expected.value_or(document_version{})) {
        return {false, present};
    }
    const document_version next{present.value + 1};
    store.objects[key] = {next, std::move(payload)};
    return {true, next};
}

result<fault_rule> parse_fault(const std::string& text) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return fail("fake", 1, "fault is no JSON object");
    }
    const auto mode = json.value("mode", "none");
    const auto* found = std::find_if(detail::fault_names.begin(), detail::fault_names.end(),
                                     [&mode](const auto& it) { return mode == it.text; });
    if (found == detail::fault_names.end()) {
        return fail("fake", 2, "unknown fault mode \"" + mode + "\"");
    }
    return fault_rule{.mode = found->mode,
                      .latency = from_milliseconds(json.value("latency_ms", 0.0)),
                      .path_prefix = json.value("path_prefix", ""),
                      .remaining = json.value("count", std::uint64_t{0})};
}

void set_fault(fault_table& table, const fault_rule& rule) {
    const bool removes_all = rule.mode == fault_mode::none && rule.path_prefix.empty();
    std::erase_if(table.rules, [&rule, removes_all](const auto& it) {
        return removes_all || it.path_prefix == rule.path_prefix;
    });
    if (rule.mode != fault_mode::none) {
        table.rules.push_back(rule);
    }
}

fault_rule take_fault(fault_table& table, std::string_view path, bool is_update) {
    auto best = table.rules.end();
    for (auto it = table.rules.begin(); it != table.rules.end(); ++it) {
        const bool longer = best == table.rules.end() || it->path_prefix.size() > best->path_prefix.size();
        if (longer && detail::applies(*it, path, is_update)) {
            best = it;
        }
    }
    if (best == table.rules.end()) {
        return {};
    }
    auto taken = *best;
    if (taken.remaining == 1) {
        table.rules.erase(best);
    } else if (taken.remaining > 1) {
        --best->remaining;
    }
    return taken;
}

bool in_outage(const fault_table& table, std::string_view path) {
    return std::any_of(table.rules.begin(), table.rules.end(), [path](const auto& it) {
        return it.mode == fault_mode::outage && path.starts_with(it.path_prefix);
    });
}

} // namespace endivelever::testbed
