#include "endivelever/decide/address_answer.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace endivelever {
namespace detail {

// Other entries include a leaving entry in their address responses until their control has learnt of it. If a
// message is lost, that is at the next heartbeat (500 ms with jitter).
constexpr duration max_announcement_delay = std::chrono::milliseconds(600);

struct sampled_member {
    const member_record* record = nullptr;
    double key = 0.0;
};

double total_demand(const member_record& record) {
    return std::accumulate(record.demand.begin(), record.demand.end(), 0.0);
}

double mean_demand(const std::vector<member_record>& members) {
    const auto add = [](double sum, const member_record& record) { return sum + total_demand(record); };
    const double total = std::accumulate(members.begin(), members.end(), 0.0, add);
    return std::max(1.0, total / static_cast<double>(members.size()));
}

// Weighted sampling without replacement (Efraimidis and Spirakis): the members with the largest u^(1/w) are
// selected. A member with the mean demand has half the weight of an idle one; the weight never reaches 0, so
// an outdated report never excludes a member.
std::vector<sampled_member> weighted_sample(const std::vector<member_record>& members,
                                            random_source& random) {
    const double mean = mean_demand(members);
    std::vector<sampled_member> sampled;
    sampled.reserve(members.size());
    for (const auto& record : members) {
        const double inverse_weight = 1.0 + total_demand(record) / mean;
        sampled.push_back({&record, std::pow(random_unit(random), inverse_weight)});
    }
    std::sort(sampled.begin(), sampled.end(),
              [](const auto& first, const auto& second) { return first.key > second.key; });
    return sampled;
}

// Moves the best member outside the first one's failure domain to the second position.
void move_other_domain_second(std::vector<sampled_member>& sampled) {
    const auto& first_domain = sampled.front().record->failure_domain;
    const auto other = std::find_if(sampled.begin(), sampled.end(), [&first_domain](const auto& it) {
        return it.record->failure_domain != first_domain;
    });
    if (other != sampled.end()) {
        std::rotate(sampled.begin() + 1, other, other + 1);
    }
}

} // namespace detail

std::vector<member_record> select_addresses(const std::vector<member_record>& members,
                                            random_source& random) {
    if (members.empty()) {
        return {};
    }
    auto sampled = detail::weighted_sample(members, random);
    detail::move_other_domain_second(sampled);
    sampled.resize(std::min(sampled.size(), max_response_addresses));
    std::vector<member_record> picked;
    picked.reserve(sampled.size());
    for (const auto& it : sampled) {
        picked.push_back(*it.record);
    }
    return picked;
}

duration address_drain_time(duration address_keep) {
    return address_keep + detail::max_announcement_delay;
}

} // namespace endivelever
