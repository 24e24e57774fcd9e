#include "contract/http_fixture.hpp"
#include "endivelever/store/object_reflector.hpp"
#include "fakes/fake_object_store.hpp"
#include "platform/object_store.hpp"

#include <set>

namespace endivelever::http_test {
namespace {

/// Reflector of the kind "things" and the names of the objects that it has reported.
struct reflector_fixture : testing::Test {
    test_loop loop;
    fake_object_store store{loop.get(), 2};
    http_client client{loop.get(), 0};
    random_source random{7, 1};
    object_store_access access;
    std::set<std::string> names;
    std::size_t failures = 0;
    std::size_t checks_passed = 0;
    std::size_t checks_failed = 0;
    std::size_t lists = 0;
    std::unique_ptr<object_reflector> reflector;

    void start() {
        access.loop = loop.get();
        access.client = &client;
        access.random = &random;
        access.protocol = platform::make_object_protocol(store.address());
        object_reflector::handlers handlers;
        handlers.on_list = [this](const std::vector<stored_object>& objects, object_revision) {
            ++lists;
            names.clear();
            for (const auto& it : objects) {
                names.insert(it.name);
            }
        };
        handlers.on_changes = [this](const std::vector<object_change>& changes, object_revision) {
            for (const auto& it : changes) {
                it.removed ? static_cast<void>(names.erase(it.object.name))
                           : static_cast<void>(names.insert(it.object.name));
            }
        };
        handlers.on_failure = [this](const std::string&) { ++failures; };
        handlers.on_answer = [] {};
        handlers.on_check_passed = [this] { ++checks_passed; };
        handlers.on_check_failed = [this](const std::string&) { ++checks_failed; };
        reflector = std::make_unique<object_reflector>(access, object_kind("things"), std::move(handlers));
    }

    bool reports_names(const std::set<std::string>& expected) {
        return loop.run_until([&] { return names == expected; });
    }
};

// Guards against a list that stops after its first page.
TEST_F(reflector_fixture, lists_all_pages_and_follows_changes) {
    for (const auto* name : {"a", "b", "c", "d", "e"}) {
        store.put("things", name, 1);
    }
    start();
    ASSERT_TRUE(reports_names({"a", "b", "c", "d", "e"}));
    store.remove("things", "b");
    store.put("things", "f", 1);
    EXPECT_TRUE(reports_names({"a", "c", "d", "e", "f"}));
    EXPECT_EQ(1U, lists);
}

// Guards against calls without end to a store whose list does not go on, and against a list that is taken for
// complete.
TEST_F(reflector_fixture, list_that_does_not_go_on_is_a_failure) {
    for (const auto* name : {"a", "b", "c"}) {
        store.put("things", name, 1);
    }
    store.repeats_pages = true;
    start();
    ASSERT_TRUE(loop.run_until([&] { return failures == 3 || store.lists > 100; }));
    EXPECT_EQ(3U, failures);
    EXPECT_EQ(6U, store.lists);
    EXPECT_EQ(0U, lists);
    store.repeats_pages = false;
    EXPECT_TRUE(reports_names({"a", "b", "c"}));
}

// Guards against a missed removal: the store no longer has the history since the watched revision.
TEST_F(reflector_fixture, relists_when_the_history_is_gone) {
    store.put("things", "a", 1);
    store.put("things", "b", 1);
    start();
    ASSERT_TRUE(reports_names({"a", "b"}));
    ASSERT_TRUE(loop.run_until([&] { return store.watches > 0; }));
    store.behaviour = fake_object_store::manner::silent;
    store.remove("things", "a");
    store.put("other", "x", 1);
    store.forget_history();
    store.behaviour = fake_object_store::manner::serves;
    store.cut_watches();
    EXPECT_TRUE(reports_names({"b"}));
    EXPECT_GE(lists, 2U);
}

// Guards against a watch that waits on a dead connection and hides every later change.
TEST_F(reflector_fixture, check_reports_what_the_watch_missed) {
    store.put("things", "a", 1);
    start();
    ASSERT_TRUE(loop.run_until([&] { return store.watches == 1; }));
    store.mute_watches();
    store.put("things", "b", 1);
    reflector->check(1s);
    ASSERT_TRUE(reports_names({"a", "b"}));
    EXPECT_EQ(1U, checks_passed);
    store.put("things", "c", 1);
    EXPECT_TRUE(reports_names({"a", "b", "c"})) << "the watch did not start anew";
    EXPECT_EQ(1U, lists);
}

// Guards against a list for every check once the history before the last change of a quiet kind is gone.
TEST_F(reflector_fixture, check_keeps_the_revision_of_a_quiet_kind_current) {
    store.put("things", "a", 1);
    start();
    ASSERT_TRUE(loop.run_until([&] { return store.watches == 1; }));
    store.put("other", "x", 1);
    reflector->check(1s);
    ASSERT_TRUE(loop.run_until([&] { return checks_passed == 1; }));
    store.forget_history();
    reflector->check(1s);
    ASSERT_TRUE(loop.run_until([&] { return checks_passed == 2; }));
    EXPECT_EQ(1U, lists);
}

// Guards against an outage that is noticed only when the watch times out.
TEST_F(reflector_fixture, check_fails_when_the_store_is_silent) {
    start();
    ASSERT_TRUE(loop.run_until([&] { return store.watches == 1; }));
    store.behaviour = fake_object_store::manner::silent;
    reflector->check(50ms);
    EXPECT_TRUE(loop.run_until([&] { return checks_failed == 1; }));
}

struct outage_case {
    const char* name;
    fake_object_store::manner behaviour;
};

struct reflector_outage : reflector_fixture, testing::WithParamInterface<outage_case> {};

// Guards against a reflector that stops after a failed call, or misses the changes made during the outage.
TEST_P(reflector_outage, catches_up_when_the_store_recovers) {
    store.put("things", "a", 1);
    start();
    ASSERT_TRUE(reports_names({"a"}));
    store.behaviour = GetParam().behaviour;
    store.cut_watches();
    store.remove("things", "a");
    store.put("things", "b", 1);
    ASSERT_TRUE(loop.run_until([&] { return failures >= 2; }));
    EXPECT_EQ(std::set<std::string>{"a"}, names);
    store.behaviour = fake_object_store::manner::serves;
    EXPECT_TRUE(reports_names({"b"}));
}

INSTANTIATE_TEST_SUITE_P(outages, reflector_outage,
                         testing::Values(outage_case{"refuses", fake_object_store::manner::refuses},
                                         outage_case{"limits", fake_object_store::manner::limits},
                                         outage_case{"closes", fake_object_store::manner::closes},
                                         outage_case{"silent", fake_object_store::manner::silent}),
                         [](const auto& it) { return it.param.name; });

/// Reflectors of a store that comes back from a copy with the object "a", after "a" was replaced by "b".
struct reflector_copy : reflector_fixture {
    void start_with_copy() {
        store.era = 1;
        store.put("things", "a", 1);
        store.copy();
        store.remove("things", "a");
        store.put("things", "b", 1);
        start();
        access.on_new_era = [this](store_era before) {
            if (before != store_era{} && reflector->revision().era < access.era) {
                reflector->relist();
            }
        };
        ASSERT_TRUE(reports_names({"b"}));
        ASSERT_TRUE(loop.run_until([&] { return store.watches == 1; }));
    }
};

// Guards against a watch that waits for revisions of an earlier era.
TEST_F(reflector_copy, lists_again_when_a_check_shows_the_new_era) {
    start_with_copy();
    store.mute_watches();
    store.restore();
    reflector->check(1s);
    EXPECT_TRUE(reports_names({"a"}));
    EXPECT_EQ(store_era{2}, reflector->revision().era);
    EXPECT_LT(reflector->revision().value, 13U);
    store.put("things", "c", 1);
    EXPECT_TRUE(reports_names({"a", "c"}));
    EXPECT_EQ(2U, lists);
}

// Guards against changes that are missed because the revision has passed the one that was watched.
TEST_F(reflector_copy, lists_again_when_the_revision_has_passed_the_former_one) {
    start_with_copy();
    store.mute_watches();
    store.restore();
    for (int i = 0; i < 10; ++i) {
        store.put("things", "c", i);
    }
    reflector->check(1s);
    EXPECT_TRUE(reports_names({"a", "c"}));
}

// Guards against a watch that goes on although another call or a peer has named the new era.
TEST_F(reflector_copy, lists_again_when_another_call_names_the_new_era) {
    start_with_copy();
    store.mute_watches();
    store.restore();
    note_era(access, store_era{2});
    EXPECT_TRUE(reports_names({"a"}));
    EXPECT_EQ(2U, lists);
    note_era(access, store_era{1});
    EXPECT_EQ(store_era{2}, access.era);
}

// Guards against a late response of an earlier era that is taken for the state of the store.
TEST_F(reflector_copy, ignores_responses_of_an_earlier_era) {
    start_with_copy();
    note_era(access, store_era{2}); // from a peer; the responses still name the first era
    ASSERT_TRUE(loop.run_until([&] { return access.counts.outdated >= 2; }));
    EXPECT_EQ(1U, lists);
    EXPECT_EQ(0U, failures);
    store.restore();
    EXPECT_TRUE(reports_names({"a"}));
}

} // namespace
} // namespace endivelever::http_test
