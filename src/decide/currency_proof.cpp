#include "endivelever/decide/currency_proof.hpp"

#include <algorithm>
#include <limits>

namespace endivelever {
namespace {

constexpr auto no_proof_ms = std::numeric_limits<std::uint32_t>::max();

} // namespace

void note_status_sent(currency_proof& proof, std::uint64_t sequence, time_point now) {
    proof.sent.push_back({sequence, now});
    if (proof.sent.size() > max_sent_statuses) {
        proof.sent.pop_front();
    }
}

void note_current_read(currency_proof& proof, time_point started) {
    proof.proven_at = std::max(proof.proven_at, started);
}

bool apply_peer_proof(currency_proof& proof, const gateway_status_message& status, std::uint64_t own_vm,
                      incarnation own_life, std::uint64_t own_version) {
    if (status.proof_age_ms == no_proof_ms || status.routing_version == 0 ||
        status.routing_version > own_version) {
        return false;
    }
    const auto echo = std::find_if(status.echoes.begin(), status.echoes.end(), [&](const status_echo& it) {
        return it.vm == own_vm && it.life == own_life;
    });
    if (echo == status.echoes.end()) {
        return false;
    }
    const auto sent =
        std::find_if(proof.sent.begin(), proof.sent.end(),
                     [&](const currency_proof::sent_status& it) { return it.sequence == echo->sequence; });
    if (sent == proof.sent.end()) {
        return false;
    }
    const auto proven_at = sent->at - std::chrono::milliseconds(status.proof_age_ms);
    const bool is_later = proven_at > proof.proven_at;
    proof.proven_at = std::max(proof.proven_at, proven_at);
    return is_later;
}

std::uint32_t proof_age_ms(const currency_proof& proof, time_point now) {
    if (proof.proven_at == time_point{}) {
        return no_proof_ms;
    }
    const auto age = std::max(duration::zero(), now - proof.proven_at);
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint32_t>(std::min<std::int64_t>(ms, no_proof_ms));
}

bool is_current(const currency_proof& proof, duration limit, time_point now) {
    if (limit == duration::zero()) {
        return true;
    }
    const auto max_age = from_milliseconds(max_proof_share * to_milliseconds(limit));
    return proof.proven_at != time_point{} && now - proof.proven_at <= max_age;
}

} // namespace endivelever
