#include "endivelever/decide/document_table.hpp"

#include "fuzz/fixed_seed.hpp"

#include <array>
#include <utility>

namespace endivelever {
namespace {

constexpr std::uint32_t members = 4;
constexpr std::uint32_t keys = 3;

document_key key_of(std::uint32_t n) {
    return document_key("preset/definition/p" + std::to_string(n));
}

/// Members that exchange documents over a network that loses, duplicates, delays and partitions.
struct simulated_network {
    std::array<std::uint64_t, keys> stored{};
    std::array<document_table, members> tables;
    /// Reference model: highest version delivered to each member.
    std::array<std::array<std::uint64_t, keys>, members> highest{};
    std::vector<std::pair<std::uint32_t, document_message>> in_flight;
    std::array<std::array<bool, members>, members> cut{};

    void store_and_track(std::uint32_t to, const document_message& document) {
        for (std::uint32_t key = 0; key < keys; ++key) {
            if (document.key == key_of(key)) {
                highest[to][key] = std::max(highest[to][key], document.version.value);
            }
        }
        merge_document(tables[to], document);
    }
    void exchange(std::uint32_t from, std::uint32_t to) {
        for (const auto& document : documents_newer_than(tables[from], digests_of(tables[to]))) {
            in_flight.emplace_back(to, document);
        }
    }
    void deliver(std::size_t at, bool keep) {
        const auto [to, document] = in_flight[at];
        if (!keep) {
            in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(at));
        }
        store_and_track(to, document);
    }
    void apply(std::uint32_t step) {
        const auto action = take_choice(step, 8);
        const auto from = take_choice(step, members);
        const auto to = take_choice(step, members);
        const auto key = take_choice(step, keys);
        if (action == 0) {
            ++stored[key];
        } else if (action == 1 && stored[key] != 0) {
            store_and_track(to, {key_of(key), {stored[key]}, std::to_string(stored[key])});
        } else if (action == 2) {
            cut[from][to] = !cut[from][to];
        } else if (action == 3) {
            tables[to] = {};
            highest[to] = {};
        } else if (action == 4 && !in_flight.empty()) {
            in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(step % in_flight.size()));
        } else if (action >= 6 && !in_flight.empty()) {
            deliver(step % in_flight.size(), action == 7);
        } else if (!cut[from][to]) {
            exchange(from, to);
        }
    }
    void check() const {
        for (std::uint32_t member = 0; member < members; ++member) {
            for (std::uint32_t key = 0; key < keys; ++key) {
                RC_ASSERT(version_of(tables[member], key_of(key)).value == highest[member][key]);
            }
        }
    }
    void heal() {
        in_flight.clear();
        for (std::uint32_t i = 0; i < members * members * members; ++i) {
            exchange(i % members, i / members % members);
            while (!in_flight.empty()) {
                deliver(0, false);
            }
        }
    }
};

// Guards against a member that reverts to an earlier version when documents arrive late, twice or out of
// order, and against members that do not converge after the network has healed.
TEST(document_table_fuzz, highest_version_wins_and_members_converge) {
    check_with_seed(501, 300, [] {
        simulated_network it;
        for (const auto step : *arbitrary_steps()) {
            it.apply(step);
            it.check();
        }
        it.heal();
        for (std::uint32_t member = 1; member < members; ++member) {
            RC_ASSERT(digests_of(it.tables[member]).size() == digests_of(it.tables[0]).size());
            RC_ASSERT(documents_newer_than(it.tables[member], digests_of(it.tables[0])).empty());
            RC_ASSERT(documents_newer_than(it.tables[0], digests_of(it.tables[member])).empty());
        }
    });
}

} // namespace
} // namespace endivelever
