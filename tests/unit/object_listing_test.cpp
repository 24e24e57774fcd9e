#include "endivelever/store/object_listing.hpp"

#include <gtest/gtest.h>

namespace endivelever {
namespace {

using name_list = std::vector<std::string>;

object_page make_page(const name_list& names, bool has_more, std::uint64_t revision) {
    object_page page;
    page.has_more = has_more;
    page.revision.value = revision;
    for (const auto& it : names) {
        stored_object object;
        object.name = it;
        page.objects.push_back(std::move(object));
    }
    return page;
}

name_list names_of(const object_listing& listing) {
    name_list names;
    for (const auto& it : listing.objects) {
        names.push_back(it.name);
    }
    return names;
}

struct page_case {
    const char* name;
    name_list first;  ///< names of the first page, which is truncated
    std::string next; ///< name after which the second page begins
    name_list second; ///< names of the second page, the last one
    name_list all;
};

struct two_pages : testing::TestWithParam<page_case> {};

// Guards against objects that are missing or listed twice, and against odd names in requests.
TEST_P(two_pages, list_each_object_once) {
    object_listing listing;
    ASSERT_TRUE(add_page(listing, make_page(GetParam().first, true, 7)));
    EXPECT_FALSE(listing.is_complete);
    EXPECT_EQ(GetParam().next, listing.after);
    ASSERT_TRUE(add_page(listing, make_page(GetParam().second, false, 9)));
    EXPECT_TRUE(listing.is_complete);
    EXPECT_EQ(GetParam().all, names_of(listing));
    EXPECT_EQ(7U, listing.revision.value);
}

const std::string long_name(256, 'x');

INSTANTIATE_TEST_SUITE_P(
    pages, two_pages,
    testing::Values(page_case{"usual", {"a", "b"}, "b", {"c"}, {"a", "b", "c"}},
                    page_case{"odd_end", {"a", "b", "b x"}, "b", {"b x", "c"}, {"a", "b", "b x", "c"}},
                    page_case{"odd_end_removed", {"a", "b", "b x"}, "b", {"c"}, {"a", "b", "c"}},
                    page_case{"long_end", {"a", long_name}, "a", {long_name}, {"a", long_name}},
                    page_case{"only_odd", {"a&", "b x"}, "b x", {"c"}, {"a&", "b x", "c"}},
                    page_case{"listed_twice", {"a", "b"}, "b", {"b", "c"}, {"a", "b", "c"}},
                    page_case{"empty_end", {"a", "b"}, "b", {}, {"a", "b"}}),
    [](const auto& it) { return it.param.name; });

struct endless_case {
    const char* name;
    name_list repeated;
};

struct endless_list : testing::TestWithParam<endless_case> {};

// Guards against calls without end to a store whose pages do not go on.
TEST_P(endless_list, is_an_error) {
    object_listing listing;
    bool goes_on = true;
    for (int i = 0; i < 10 && goes_on; ++i) {
        goes_on = add_page(listing, make_page(GetParam().repeated, true, 7)).has_value();
    }
    EXPECT_FALSE(goes_on);
    EXPECT_FALSE(listing.is_complete);
}

INSTANTIATE_TEST_SUITE_P(pages, endless_list,
                         testing::Values(endless_case{"same_page", {"a", "b"}},
                                         endless_case{"same_odd_page", {"a", "b x"}},
                                         endless_case{"only_odd", {"a&", "b x"}}, endless_case{"empty", {}}),
                         [](const auto& it) { return it.param.name; });

// Guards against a list whose pages come from before and after the store came back from a copy.
TEST(object_listing, page_of_another_era_is_an_error) {
    object_listing listing;
    auto first = make_page({"a", "b"}, true, 7);
    first.revision.era = store_era{1};
    ASSERT_TRUE(add_page(listing, std::move(first)));
    auto second = make_page({"c"}, false, 8);
    second.revision.era = store_era{2};
    EXPECT_FALSE(add_page(listing, std::move(second)));
    EXPECT_FALSE(listing.is_complete);
}

} // namespace
} // namespace endivelever
