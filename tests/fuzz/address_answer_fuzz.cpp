#include "endivelever/decide/address_answer.hpp"

#include "fuzz/fixed_seed.hpp"

#include <set>

namespace endivelever {
namespace {

// Guards against a response whose addresses are all in one failure domain, or that contains an entry twice.
TEST(address_answer_fuzz, contains_two_failure_domains_and_no_duplicate) {
    check_with_seed(504, 500, [] {
        std::vector<member_record> members;
        std::set<failure_domain> domains;
        for (auto step : *arbitrary_steps()) {
            auto& it = members.emplace_back();
            it.vm = vm_id("vm-" + std::to_string(members.size()));
            it.failure_domain = failure_domain("d" + std::to_string(take_choice(step, 16) / 13));
            it.demand = {take_choice(step, 2), step};
            domains.insert(it.failure_domain);
        }
        random_source random(*rc::gen::arbitrary<std::uint32_t>(), 1);
        const auto picked = select_addresses(members, random);
        std::set<vm_id> names;
        std::set<failure_domain> picked_domains;
        for (const auto& it : picked) {
            names.insert(it.vm);
            picked_domains.insert(it.failure_domain);
        }
        RC_ASSERT(picked.size() == std::min(members.size(), max_response_addresses));
        RC_ASSERT(names.size() == picked.size());
        RC_ASSERT(picked_domains.size() >= std::min<std::size_t>(domains.size(), 2));
    });
}

} // namespace
} // namespace endivelever
