#pragma once

#include <cstdint>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>
#include <vector>

namespace endivelever {

/// Checks a property with a fixed seed, so that every run generates the same cases.
template <typename Property>
void check_with_seed(std::uint64_t seed, int cases, Property&& property) {
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    const auto* info = testing::UnitTest::GetInstance()->current_test_info();
    const rc::detail::TestMetadata metadata{info->name(), info->name()};
    const auto outcome = rc::detail::checkTestable(std::forward<Property>(property), metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(outcome, text);
    EXPECT_TRUE(outcome.template is<rc::detail::SuccessResult>()) << "seed " << seed << ": " << text.str();
}

/// Generates the steps of a stateful test as numbers. Shrinks to fewer and smaller steps.
inline rc::Gen<std::vector<std::uint32_t>> arbitrary_steps() {
    constexpr std::uint32_t bound = 1U << 24U;
    const auto step = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, bound));
    return rc::gen::scale(3.0, rc::gen::container<std::vector<std::uint32_t>>(step));
}

/// Extracts the next choice, in [0, bound), from a step.
inline std::uint32_t take_choice(std::uint32_t& step, std::uint32_t bound) {
    const std::uint32_t choice = step % bound;
    step /= bound;
    return choice;
}

} // namespace endivelever
