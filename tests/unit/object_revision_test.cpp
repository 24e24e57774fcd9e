#include "endivelever/base/object_revision.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

struct order_case {
    const char* name;
    object_revision left;
    object_revision right;
    std::strong_ordering order;
};

struct object_revision_order : testing::TestWithParam<order_case> {};

// Guards against a comparison of numbers that a store gave before and after it came back from a copy.
TEST_P(object_revision_order, compares_eras_first) {
    const auto& it = GetParam();
    EXPECT_EQ(it.order, it.left <=> it.right);
    EXPECT_EQ(it.order == std::strong_ordering::equal, it.left == it.right);
}

constexpr object_revision revision(std::uint64_t era, std::uint64_t value) {
    return {store_era{era}, value};
}

INSTANTIATE_TEST_SUITE_P(
    revisions, object_revision_order,
    testing::Values(order_case{"same", revision(1, 5), revision(1, 5), std::strong_ordering::equal},
                    order_case{"later_in_the_era", revision(1, 6), revision(1, 5),
                               std::strong_ordering::greater},
                    order_case{"lower_number_of_a_later_era", revision(2, 5), revision(1, 90),
                               std::strong_ordering::greater},
                    order_case{"same_number_of_a_later_era", revision(2, 5), revision(1, 5),
                               std::strong_ordering::greater},
                    order_case{"higher_number_of_an_earlier_era", revision(1, 90), revision(2, 5),
                               std::strong_ordering::less},
                    order_case{"without_eras", revision(0, 5), revision(0, 6), std::strong_ordering::less},
                    order_case{"unknown_era", revision(0, 90), revision(1, 5), std::strong_ordering::less}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever
