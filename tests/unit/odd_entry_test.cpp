#include "platform/documents.hpp"
#include "platform/json_text.hpp"
#include "platform/object_store.hpp"

#include <gtest/gtest.h>

namespace endivelever::platform {
namespace {

constexpr std::size_t nesting = 100'000;

std::string good_entry() {
    return R"({"service":"desk","address":"10.0.0.1:80","zone":"a","version":"v1","concurrency_limit":4,)"
           R"("state":"ready","warmup_remaining_ms":0,"sequence":3,"born":1700000000000})";
}

std::string object_text(const std::string& name, const std::string& spec) {
    return R"({"metadata":{"name":")" + name + R"(","revision":5},"spec":)" + spec + "}";
}

std::string with_field(const std::string& field, const std::string& value) {
    auto text = good_entry();
    const auto key = text.find("\"" + field + "\":");
    const auto begin = text.find(':', key) + 1;
    auto end = text.find_first_of(",}", begin);
    if (text[begin] == '"') {
        end = text.find('"', begin + 1) + 1;
    }
    return text.replace(begin, end - begin, value);
}

struct odd_case {
    const char* name;
    std::string spec;
    bool usable; ///< as a server
};

struct odd_entry : testing::TestWithParam<odd_case> {};

// Guards against one odd entry of another writer that makes the whole list unreadable, or ends the process.
TEST_P(odd_entry, leaves_the_others_readable) {
    const auto protocol = make_object_protocol(socket_address("127.0.0.1:1"));
    const auto objects = object_text("i-odd", GetParam().spec) + "," + object_text("i-good", good_entry());
    const auto page = protocol.parse_page(
        R"({"items":[)" + objects + R"(],"truncated":false,"store_revision":9})", store_era{2});
    ASSERT_TRUE(page) << page.error().message;
    EXPECT_EQ((object_revision{store_era{2}, 9}), page->revision);
    ASSERT_EQ(2U, page->objects.size());
    EXPECT_EQ(GetParam().usable, read_server("i-odd", page->objects[0].content).has_value());
    EXPECT_TRUE(read_server("i-good", page->objects[1].content));
    EXPECT_LT(page->objects[0].content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).size(),
              4096U);
    const auto changes =
        protocol.parse_changes(R"({"events":[{"deleted":false,"object":)" +
                                   object_text("i-odd", GetParam().spec) + R"(},{"deleted":true,"object":)" +
                                   object_text("i-good", good_entry()) + R"(}],"store_revision":9})",
                               store_era{2});
    ASSERT_TRUE(changes) << changes.error().message;
    EXPECT_EQ(2U, changes->changes.size());
}

INSTANTIATE_TEST_SUITE_P(
    specs, odd_entry,
    testing::Values(odd_case{"nested_lists", std::string(nesting, '[') + std::string(nesting, ']'), false},
                    odd_case{"nested_field",
                             with_field("version", std::string(nesting, '[') + std::string(nesting, ']')),
                             false},
                    odd_case{"number_too_large", with_field("sequence", "1e999"), false},
                    odd_case{"digits_without_end", with_field("sequence", std::string(2000, '9')), false},
                    odd_case{"slots_beyond_integers", with_field("concurrency_limit", "1e300"), false},
                    odd_case{"slots_negative", with_field("concurrency_limit", "-4"), false},
                    odd_case{"start_beyond_integers", with_field("born", "18446744073709551615"), false},
                    odd_case{"warm_up_beyond_integers", with_field("warmup_remaining_ms", "1e300"), false},
                    odd_case{"port_out_of_range", with_field("address", "\"10.0.0.1:70000\""), false},
                    odd_case{"port_zero", with_field("address", "\"10.0.0.1:0\""), false},
                    odd_case{"invalid_utf8", with_field("version", "\"\xff\xfe\""), true},
                    odd_case{"text", "\"text\"", false}, odd_case{"unchanged", good_entry(), true}),
    [](const auto& it) { return it.param.name; });

struct server_name_case {
    const char* name;
    std::string id;
    bool usable;
};

struct server_name : testing::TestWithParam<server_name_case> {};

// Guards against an entry whose name cannot be sent as a header and is used as a server.
TEST_P(server_name, names_a_server_only_if_a_header_can_hold_it) {
    const auto content = parse_json(good_entry());
    ASSERT_TRUE(content);
    EXPECT_EQ(GetParam().usable, read_server(GetParam().id, *content).has_value());
}

INSTANTIATE_TEST_SUITE_P(ids, server_name,
                         testing::Values(server_name_case{"usual", "i-7f3a91c2", true},
                                         server_name_case{"punctuation", "ns/i:1&2", true},
                                         server_name_case{"empty", "", false},
                                         server_name_case{"line_break", "i\r\nX: 1", false},
                                         server_name_case{"blank", "i x", false},
                                         server_name_case{"zero", std::string("i\0x", 3), false},
                                         server_name_case{"delete", "i\x7f", false},
                                         server_name_case{"beyond_ascii", "i\xc3\xa9", false},
                                         server_name_case{"longest", std::string(255, 'i'), true},
                                         server_name_case{"too_long", std::string(256, 'i'), false}),
                         [](const auto& it) { return it.param.name; });

// Guards against a document that is no JSON and is taken for an empty list.
TEST(odd_document, is_an_error) {
    const auto protocol = make_object_protocol(socket_address("127.0.0.1:1"));
    for (const auto* text :
         {"", "{", R"({"items":[)", R"({"items":[]} trailing)", "null", R"({"items":{}})"}) {
        EXPECT_FALSE(protocol.parse_page(text, store_era{})) << text;
    }
}

} // namespace
} // namespace endivelever::platform
