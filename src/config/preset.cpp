#include "endivelever/config/preset.hpp"

#include "preset_json.hpp"

#include <unordered_set>

namespace endivelever {
namespace detail {
namespace {

constexpr std::size_t max_description_bytes = 4096;
constexpr std::size_t max_rules = 256;
constexpr std::uint32_t max_queue_items = 100'000;
constexpr std::int64_t max_queue_bytes = 1'073'741'824;
constexpr double max_queue_delay_ms = 300'000;
constexpr double max_probes = 10'000;

constexpr std::array rank_names{enum_name{to_text(rank::urgent), rank::urgent},
                                enum_name{to_text(rank::normal), rank::normal},
                                enum_name{to_text(rank::low), rank::low}};

preset_kind_rule read_rule(object_reader& in) {
    preset_kind_rule out;
    out.kind = kind_id(in.name("kind"));
    out.served_as = in.choice<rank>("served_as", rank_names);
    out.guaranteed_share = in.number("guaranteed_share", {0.0, 1.0}, out.guaranteed_share);
    out.queue_items = in.count("queue_items", {1, max_queue_items}, out.queue_items);
    const auto bytes =
        in.integer("queue_bytes", {0, max_queue_bytes}, static_cast<std::int64_t>(out.queue_bytes.value));
    out.queue_bytes = byte_count{static_cast<std::uint64_t>(bytes)};
    out.max_queue_delay = in.milliseconds("max_queue_delay_ms", {0, max_queue_delay_ms}, 0);
    return out;
}

void check_kinds_unique(const object_reader& in, const preset& value) {
    std::unordered_set<kind_id> seen;
    for (std::size_t i = 0; i < value.kinds.size(); ++i) {
        const auto& kind = value.kinds[i].kind;
        if (!seen.insert(kind).second) {
            in.contradict("kinds/" + std::to_string(i) + "/kind",
                          "value " + in_quotes(kind.text) + " occurs more than once");
        }
    }
}

ordered_json to_value(const preset_kind_rule& it) {
    return {{"kind", it.kind.text},
            {"served_as", to_text(it.served_as)},
            {"guaranteed_share", it.guaranteed_share},
            {"queue_items", it.queue_items},
            {"queue_bytes", it.queue_bytes.value},
            {"max_queue_delay_ms", to_milliseconds(it.max_queue_delay)}};
}

} // namespace

preset read_preset(object_reader in) {
    preset out;
    out.name = preset_name(in.name("name"));
    out.description = in.text("description", {0, max_description_bytes}, "");
    out.kinds = in.list("kinds", {1, max_rules}, read_rule);
    out.retry_budget_ratio = in.number("retry_budget_ratio", {0.0, 1.0}, out.retry_budget_ratio);
    out.probes_per_server_per_second =
        in.number("probes_per_server_per_second", {0.0, max_probes}, out.probes_per_server_per_second);
    in.finish();
    check_kinds_unique(in, out);
    return out;
}

ordered_json to_value(const preset& value) {
    auto kinds = ordered_json::array();
    for (const auto& it : value.kinds) {
        kinds.push_back(to_value(it));
    }
    return {{"name", value.name.text},
            {"description", value.description},
            {"kinds", std::move(kinds)},
            {"retry_budget_ratio", value.retry_budget_ratio},
            {"probes_per_server_per_second", value.probes_per_server_per_second}};
}

} // namespace detail

result<preset> parse_preset(const std::string& text, const std::string& source) {
    return detail::guarded([&] {
        const auto document = detail::parse_json(text, source);
        return detail::read_preset(detail::object_reader(document, source, ""));
    });
}

std::string to_json(const preset& value) {
    return detail::dump_json(detail::to_value(value));
}

} // namespace endivelever
