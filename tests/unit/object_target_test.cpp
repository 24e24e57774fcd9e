#include "platform/object_store.hpp"

#include <gtest/gtest.h>

namespace endivelever::platform {
namespace {

struct target_case {
    const char* name;
    std::string object;
    std::string encoded;
};

struct object_target : testing::TestWithParam<target_case> {};

// Guards against a name that changes the target of a request to the store, or the request itself.
TEST_P(object_target, contains_the_name_as_one_value) {
    const auto protocol = make_object_protocol(socket_address("127.0.0.1:1"));
    const object_kind kind("servers");
    const auto& name = GetParam().object;
    const auto& encoded = GetParam().encoded;
    EXPECT_EQ("/api/objects/servers?after=" + encoded, protocol.list(kind, name).target);
    EXPECT_EQ("/api/objects/servers?stale_ok=1&after=" + encoded, protocol.list_stale(kind, name).target);
    EXPECT_EQ("/api/objects/servers/" + encoded, protocol.replace(kind, name, 1).target);
    EXPECT_EQ("/api/objects/servers/" + encoded + "?revision=7",
              protocol.remove(kind, name, object_revision{store_era{}, 7}).target);
}

INSTANTIATE_TEST_SUITE_P(names, object_target,
                         testing::Values(target_case{"usual", "i-7f3a91c2", "i-7f3a91c2"},
                                         target_case{"unreserved", "aZ09-._~", "aZ09-._~"},
                                         target_case{"query", "&a=b?c", "%26a%3Db%3Fc"},
                                         target_case{"form", "+ %20", "%2B%20%2520"},
                                         target_case{"path", "/../#", "%2F..%2F%23"},
                                         target_case{"line_break", "\r\nX: 1", "%0D%0AX%3A%201"},
                                         target_case{"zero", std::string(1, '\0'), "%00"},
                                         target_case{"invalid_utf8", "\xff\xc3\xa9", "%FF%C3%A9"}),
                         [](const auto& it) { return it.param.name; });

// Guards against a first page that is asked for with an empty name.
TEST(first_page_target, names_no_object) {
    const auto protocol = make_object_protocol(socket_address("127.0.0.1:1"));
    EXPECT_EQ("/api/objects/servers", protocol.list(object_kind("servers"), "").target);
    EXPECT_EQ("/api/objects/servers?stale_ok=1", protocol.list_stale(object_kind("servers"), "").target);
}

} // namespace
} // namespace endivelever::platform
