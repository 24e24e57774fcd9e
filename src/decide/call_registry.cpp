#include "endivelever/decide/call_registry.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace endivelever {
namespace {

constexpr std::size_t max_part_length = 64;
constexpr std::size_t max_shown_id_length = 80;
// An id may be used in its own generation and in the next one.
constexpr std::uint64_t accepted_generations = 2;
constexpr std::size_t max_removed_per_step = 256;
constexpr int decimal = 10;
constexpr int hexadecimal = 16;

bool is_word(std::string_view text) {
    const auto is_word_char = [](char it) {
        return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9') ||
               it == '-' || it == '_';
    };
    return !text.empty() && text.size() <= max_part_length &&
           std::all_of(text.begin(), text.end(), is_word_char);
}

/// Parses a positive number in its canonical spelling: no sign, no leading zeros, lower-case digits.
std::optional<std::uint64_t> canonical_number(std::string_view text, int base) {
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, value, base);
    const bool upper = std::any_of(text.begin(), text.end(), [](char it) { return it >= 'A' && it <= 'F'; });
    if (ec != std::errc() || stop != end || text.front() == '0' || upper) {
        return std::nullopt;
    }
    return value;
}

/// Removes and returns the part of `rest` before the next dot.
std::string_view next_part(std::string_view& rest) {
    const auto dot = rest.find('.');
    const auto part = rest.substr(0, dot);
    rest = dot == std::string_view::npos ? std::string_view() : rest.substr(dot + 1);
    return part;
}

tl::unexpected<error> invalid_id_error(const call_id& id, const std::string& what) {
    const auto shown = id.text.substr(0, max_shown_id_length);
    return fail("call", 1, "call id \"" + shown + "\": " + what);
}

bool is_expired(const call_registry& registry, std::uint64_t generation) {
    return generation + accepted_generations <= registry.generation;
}

byte_count size_of(const cached_response& response) {
    return byte_count{response.body.size() + response.content_type.size()};
}

/// Removes some calls of an expired generation. Running calls move to `expired_running`, because their result
/// must still be delivered to the arrivals that wait for it.
void remove_some(call_registry& registry, call_table& table) {
    for (std::size_t i = 0; i < max_removed_per_step && !table.empty(); ++i) {
        auto node = table.extract(table.begin());
        if (node.mapped().outcome == call_outcome::running) {
            registry.expired_running.insert(std::move(node));
            continue;
        }
        registry.cached_bytes.value -= size_of(node.mapped().response).value;
        --registry.registered;
    }
}

/// Location of a registered call.
struct call_location {
    call_table* table = nullptr;
    call_table::iterator it;
};

std::optional<call_location> find_in(call_table& table, const call_id& id) {
    const auto it = table.find(id);
    return it == table.end() ? std::nullopt : std::optional(call_location{&table, it});
}

std::optional<call_location> find_call(call_registry& registry, const call_id& id) {
    const auto parts = parse_call_id(id);
    if (!parts) {
        return std::nullopt;
    }
    const auto generation = registry.by_generation.find(parts->generation);
    if (generation != registry.by_generation.end()) {
        if (auto found = find_in(generation->second, id)) {
            return found;
        }
    }
    return find_in(registry.expired_running, id);
}

void erase_call(call_registry& registry, const call_location& at) {
    at.table->erase(at.it);
    --registry.registered;
}

arrival decision(arrival_action action, const std::string& reason) {
    return {action, {}, nullptr, reason};
}

/// Decides on ids that this entry must not run regardless of the registry's contents.
std::optional<arrival> check_issuer(const call_registry& registry, const call_id_parts& parts) {
    if (parts.vm != registry.vm) {
        return arrival{arrival_action::forward, parts.vm, nullptr, {}};
    }
    if (parts.life != registry.life) {
        return decision(arrival_action::answer_unknown, "call id of another incarnation of this entry");
    }
    if (is_expired(registry, parts.generation)) {
        return decision(arrival_action::answer_unknown, "call id of an expired generation");
    }
    if (parts.generation > registry.generation) {
        return decision(arrival_action::refuse_invalid, "call id of a generation that has not started");
    }
    return std::nullopt;
}

arrival handle_repeated_arrival(const call_registry& registry, registered_call& call,
                                std::uint64_t fingerprint, std::uint64_t waiter) {
    if (call.fingerprint != fingerprint) {
        return decision(arrival_action::refuse_invalid, "call id was used for another request");
    }
    if (call.outcome == call_outcome::done) {
        return {arrival_action::answer_done, {}, &call, {}};
    }
    if (call.outcome != call_outcome::running) {
        return decision(arrival_action::answer_unknown, "the call ended without a complete response");
    }
    if (call.waiters.size() >= registry.max_waiters) {
        return decision(arrival_action::answer_unknown, "too many callers wait for this call");
    }
    call.waiters.push_back(waiter);
    return {arrival_action::wait, {}, nullptr, {}};
}

call_table& get_or_create_table(call_registry& registry, std::uint64_t generation) {
    auto [it, created] = registry.by_generation.try_emplace(generation);
    if (created) {
        // Rehashing a large table would block single calls for milliseconds.
        it->second.reserve(registry.max_calls);
    }
    return it->second;
}

void cache_response(call_registry& registry, registered_call& call, cached_response response) {
    const auto size = size_of(response);
    if (registry.cached_bytes.value + size.value > registry.max_cached_bytes.value) {
        call.response.status = response.status;
        return;
    }
    registry.cached_bytes.value += size.value;
    call.response = std::move(response);
}

} // namespace

result<call_id_parts> parse_call_id(const call_id& id) {
    std::string_view rest = id.text;
    const auto vm = next_part(rest);
    const auto life = next_part(rest);
    const auto generation = next_part(rest);
    if (!is_word(vm)) {
        return invalid_id_error(id, "VM id must be 1 to 64 letters, digits, '-' or '_'");
    }
    const auto life_number = canonical_number(life, hexadecimal);
    if (!life_number) {
        return invalid_id_error(id, "incarnation must be lower-case hexadecimal without leading zeros");
    }
    const auto generation_number = canonical_number(generation, decimal);
    if (!generation_number) {
        return invalid_id_error(id, "generation must be decimal without leading zeros");
    }
    if (!is_word(rest)) {
        return invalid_id_error(id, "unique part must be 1 to 64 letters, digits, '-' or '_'");
    }
    return call_id_parts{vm_id(std::string(vm)), incarnation{*life_number}, *generation_number,
                         std::string(rest)};
}

std::string call_id_prefix(const vm_id& vm, incarnation life, std::uint64_t generation) {
    constexpr std::size_t longest = 16; // digits of a 64-bit number
    std::array<char, longest> digits{};
    const auto end = std::to_chars(digits.begin(), digits.end(), life.value, hexadecimal).ptr;
    return vm.text + "." + std::string(digits.begin(), end) + "." + std::to_string(generation);
}

void advance_generation(call_registry& registry, time_point now) {
    const auto age = now - registry.generation_start;
    if (age >= registry.generation_length) {
        const auto passed = age / registry.generation_length;
        registry.generation += static_cast<std::uint64_t>(passed);
        registry.generation_start += passed * registry.generation_length;
    }
    const auto oldest = registry.by_generation.begin();
    if (oldest == registry.by_generation.end() || !is_expired(registry, oldest->first)) {
        return;
    }
    remove_some(registry, oldest->second);
    if (oldest->second.empty()) {
        registry.by_generation.erase(oldest);
    }
}

arrival register_arrival(call_registry& registry, const call_id& id, std::uint64_t fingerprint,
                         std::uint64_t waiter, time_point now) {
    advance_generation(registry, now);
    const auto parts = parse_call_id(id);
    if (!parts) {
        return decision(arrival_action::refuse_invalid, parts.error().message);
    }
    if (auto decided = check_issuer(registry, *parts)) {
        return *decided;
    }
    auto& table = get_or_create_table(registry, parts->generation);
    if (const auto known = table.find(id); known != table.end()) {
        return handle_repeated_arrival(registry, known->second, fingerprint, waiter);
    }
    if (registry.registered >= registry.max_calls) {
        return decision(arrival_action::answer_not_run, "the registry of call ids is full");
    }
    table[id].fingerprint = fingerprint;
    ++registry.registered;
    return {arrival_action::run, {}, nullptr, {}};
}

std::vector<std::uint64_t> finish_call(call_registry& registry, const call_id& id, call_outcome outcome,
                                       cached_response response) {
    const auto at = find_call(registry, id);
    if (!at || at->it->second.outcome != call_outcome::running || outcome == call_outcome::running) {
        return {};
    }
    auto& call = at->it->second;
    auto waiters = std::move(call.waiters);
    call.waiters = {};
    if (outcome == call_outcome::not_run || at->table == &registry.expired_running) {
        erase_call(registry, *at);
        return waiters;
    }
    call.outcome = outcome;
    if (outcome == call_outcome::done) {
        cache_response(registry, call, std::move(response));
    }
    return waiters;
}

void remove_waiter(call_registry& registry, const call_id& id, std::uint64_t waiter) {
    if (const auto at = find_call(registry, id)) {
        std::erase(at->it->second.waiters, waiter);
    }
}

} // namespace endivelever
