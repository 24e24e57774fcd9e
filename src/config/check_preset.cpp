#include "endivelever/config/check_preset.hpp"

#include "json_reader.hpp"

#include <algorithm>
#include <unordered_map>

namespace endivelever {
namespace {

/// Shares are decimal fractions; their sum may exceed 1 by rounding.
constexpr double rounding = 1e-9;

tl::unexpected<error> inconsistent(const std::string& source, const std::string& text) {
    return fail("config", static_cast<int>(detail::fault::inconsistent), source + ": " + text);
}

const kind_settings* find_kind(const settings& against, const kind_id& id) {
    const auto is_kind = [&id](const auto& it) { return it.id == id; };
    const auto it = std::find_if(against.kinds.begin(), against.kinds.end(), is_kind);
    return it == against.kinds.end() ? nullptr : &*it;
}

std::string known_kinds(const settings& against) {
    std::string out;
    for (const auto& it : against.kinds) {
        out += (out.empty() ? "" : ", ") + it.id.text;
    }
    return out;
}

result<void> check_shares(const preset& rules, const settings& against, const std::string& source) {
    std::unordered_map<service_id, double> shares;
    for (std::size_t i = 0; i < rules.kinds.size(); ++i) {
        const auto& service = find_kind(against, rules.kinds[i].kind)->service;
        shares[service] += rules.kinds[i].guaranteed_share;
        if (shares[service] > 1.0 + rounding) {
            return inconsistent(source, "/kinds/" + std::to_string(i) +
                                            "/guaranteed_share: shares of service " +
                                            detail::in_quotes(service.text) + " sum to " +
                                            detail::json(shares[service]).dump() + "; allowed is at most 1");
        }
    }
    return {};
}

} // namespace

result<void> check_preset(const preset& rules, const settings& against, const std::string& source) {
    for (std::size_t i = 0; i < rules.kinds.size(); ++i) {
        if (find_kind(against, rules.kinds[i].kind) == nullptr) {
            return inconsistent(source, "/kinds/" + std::to_string(i) + "/kind: value " +
                                            detail::in_quotes(rules.kinds[i].kind.text) +
                                            " names no kind of the settings; allowed are " +
                                            known_kinds(against));
        }
    }
    for (const auto& kind : against.kinds) {
        const auto is_rule = [&kind](const auto& it) { return it.kind == kind.id; };
        if (std::none_of(rules.kinds.begin(), rules.kinds.end(), is_rule)) {
            return inconsistent(source,
                                "/kinds: rule for kind " + detail::in_quotes(kind.id.text) + " is missing");
        }
    }
    return check_shares(rules, against, source);
}

} // namespace endivelever
