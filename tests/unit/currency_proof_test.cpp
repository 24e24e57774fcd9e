#include "endivelever/decide/currency_proof.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};
constexpr std::uint64_t own_vm = 77;
constexpr incarnation own_life{5};
constexpr std::uint64_t own_version = 9;
constexpr duration bound = 5s;

/// Status of a peer that echoes the own status with sequence 3, which was sent at `start` + 300 ms.
gateway_status_message make_status() {
    gateway_status_message status;
    status.routing_version = own_version;
    status.proof_age_ms = 200;
    status.echoes = {{own_vm, own_life, 3}};
    return status;
}

/// Proof after the statuses 1 to 5, sent each 100 ms.
currency_proof make_proof() {
    currency_proof proof;
    for (std::uint64_t i = 1; i <= 5; ++i) {
        note_status_sent(proof, i, start + i * 100ms);
    }
    return proof;
}

struct peer_proof_case {
    const char* name;
    void (*change)(gateway_status_message&);
    duration proven; ///< after `start`; not proven if `counts` is false
    bool counts = true;
};

struct peer_proof : testing::TestWithParam<peer_proof_case> {};

// Guards against a proof that is taken from a status which was created before, or says nothing about, the
// state that this VM holds.
TEST_P(peer_proof, counts_from_the_sending_of_the_echoed_status) {
    auto proof = make_proof();
    auto status = make_status();
    GetParam().change(status);
    EXPECT_EQ(GetParam().counts, apply_peer_proof(proof, status, own_vm, own_life, own_version));
    EXPECT_EQ(GetParam().counts ? start + GetParam().proven : time_point{}, proof.proven_at);
}

INSTANTIATE_TEST_SUITE_P(
    statuses, peer_proof,
    testing::Values(
        peer_proof_case{"echo", [](gateway_status_message&) {}, 100ms},
        peer_proof_case{"no_age", [](gateway_status_message& it) { it.proof_age_ms = 0; }, 300ms},
        peer_proof_case{"long_age", [](gateway_status_message& it) { it.proof_age_ms = 20'000; }, -19700ms},
        peer_proof_case{
            "unknown_age",
            [](gateway_status_message& it) { it.proof_age_ms = std::numeric_limits<std::uint32_t>::max(); },
            {},
            false},
        peer_proof_case{"latest_echo", [](gateway_status_message& it) { it.echoes[0].sequence = 5; }, 300ms},
        peer_proof_case{"oldest_echo", [](gateway_status_message& it) { it.echoes[0].sequence = 1; }, -100ms},
        peer_proof_case{
            "echo_not_sent_yet", [](gateway_status_message& it) { it.echoes[0].sequence = 6; }, {}, false},
        peer_proof_case{
            "echo_zero", [](gateway_status_message& it) { it.echoes[0].sequence = 0; }, {}, false},
        peer_proof_case{
            "former_life", [](gateway_status_message& it) { it.echoes[0].life = incarnation{4}; }, {}, false},
        peer_proof_case{
            "later_life", [](gateway_status_message& it) { it.echoes[0].life = incarnation{6}; }, {}, false},
        peer_proof_case{
            "echo_of_another_vm", [](gateway_status_message& it) { it.echoes[0].vm = 78; }, {}, false},
        peer_proof_case{"no_echo", [](gateway_status_message& it) { it.echoes.clear(); }, {}, false},
        peer_proof_case{"echoes_of_others_first",
                        [](gateway_status_message& it) {
                            it.echoes.insert(it.echoes.begin(), {{1, own_life, 5}, {2, own_life, 5}});
                        },
                        100ms},
        peer_proof_case{"newer_version", [](gateway_status_message& it) { ++it.routing_version; }, {}, false},
        peer_proof_case{"older_version", [](gateway_status_message& it) { --it.routing_version; }, 100ms},
        peer_proof_case{"no_version", [](gateway_status_message& it) { it.routing_version = 0; }, {}, false}),
    [](const auto& it) { return it.param.name; });

// Guards against an older status that takes a later proof back.
TEST(currency, proof_never_moves_back) {
    auto proof = make_proof();
    note_current_read(proof, start + 400ms);
    EXPECT_FALSE(apply_peer_proof(proof, make_status(), own_vm, own_life, own_version));
    note_current_read(proof, start);
    EXPECT_EQ(start + 400ms, proof.proven_at);
}

// Guards against datagrams that waited in the socket of a paused VM and count from their receipt.
TEST(currency, statuses_that_waited_while_the_vm_was_paused_do_not_renew_the_proof) {
    auto proof = make_proof();
    ASSERT_TRUE(apply_peer_proof(proof, make_status(), own_vm, own_life, own_version));
    const auto resumed = start + 20s;
    for (std::uint64_t echoed = 3; echoed <= 5; ++echoed) {
        auto status = make_status();
        status.echoes[0].sequence = echoed;
        status.proof_age_ms = 0;
        apply_peer_proof(proof, status, own_vm, own_life, own_version);
    }
    EXPECT_FALSE(is_current(proof, bound, resumed));
    // Peers count the VM among those heard lately only after its next status.
    note_status_sent(proof, 6, resumed);
    auto status = make_status();
    status.echoes[0].sequence = 6;
    ASSERT_TRUE(apply_peer_proof(proof, status, own_vm, own_life, own_version));
    EXPECT_TRUE(is_current(proof, bound, resumed + 100ms));
}

// Guards against unbounded memory, and against a proof by a status whose sending is forgotten.
TEST(currency, only_the_latest_statuses_are_remembered) {
    currency_proof proof;
    for (std::uint64_t i = 1; i <= 10 * max_sent_statuses; ++i) {
        note_status_sent(proof, i, start + i * 1ms);
    }
    EXPECT_EQ(max_sent_statuses, proof.sent.size());
    EXPECT_FALSE(apply_peer_proof(proof, make_status(), own_vm, own_life, own_version));
}

struct age_case {
    const char* name;
    duration age;
    bool current;
    std::uint32_t age_ms;
};

struct proof_age : testing::TestWithParam<age_case> {};

// Guards against keys that are served after 0.6 of the bound, and against an age that is stated too low.
TEST_P(proof_age, decides_whether_keys_are_served) {
    currency_proof proof;
    note_current_read(proof, start);
    EXPECT_EQ(GetParam().current, is_current(proof, bound, start + GetParam().age));
    EXPECT_EQ(GetParam().age_ms, proof_age_ms(proof, start + GetParam().age));
}

INSTANTIATE_TEST_SUITE_P(ages, proof_age,
                         testing::Values(age_case{"none", 0ms, true, 0}, age_case{"part", 1us, true, 1},
                                         age_case{"half", 2500ms, true, 2500},
                                         age_case{"at_the_limit", 3000ms, true, 3000},
                                         age_case{"beyond", 3000ms + 1ns, false, 3001},
                                         age_case{"bound", 5000ms, false, 5000},
                                         age_case{"days", 100h, false, 360'000'000},
                                         age_case{"longer_than_the_field", 2000h, false,
                                                  std::numeric_limits<std::uint32_t>::max()}),
                         [](const auto& it) { return it.param.name; });

// Guards against a VM that serves keys before anything was proven.
TEST(currency, nothing_is_proven_at_the_start) {
    EXPECT_FALSE(is_current({}, bound, start));
    EXPECT_EQ(std::numeric_limits<std::uint32_t>::max(), proof_age_ms({}, start));
    EXPECT_TRUE(is_current({}, duration::zero(), start)); // without a bound nothing has to be proven
}

} // namespace
} // namespace endivelever
