#include "contract/scripted_store.hpp"
#include "endivelever/control/change_preset.hpp"

#include <fstream>
#include <sstream>

namespace endivelever::http_test {
namespace {

using store = scripted_store;
using lines = std::vector<scripted_store::scripted_response>;

std::string example(const std::string& name) {
    std::ifstream file(ENDIVELEVER_SOURCE_DIR "/examples/hanbit/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

in_force_record record_by(const char* operation, const char* pinned_by) {
    in_force_record record;
    record.operation = operation_id(operation);
    record.content = *parse_preset(example("preset-ordinary.json"), "example");
    record.who = operator_name("other");
    record.pinned_by = operator_name(pinned_by);
    record.history = {{operation_id(operation), record.who, "switch", record.content.name, 1},
                      {operation_id("first"), record.who, "switch", record.content.name, 0}};
    return record;
}

store::scripted_response present(std::uint64_t version, const char* operation, const char* pinned_by = "") {
    return store::object_response(version, to_json(record_by(operation, pinned_by)));
}
store::scripted_response definition() {
    return store::object_response(1, example("preset-peak.json"));
}
const store::scripted_response accepted = store::empty_response("200 OK", "ETag: \"6\"\r\n");
const store::scripted_response conflict = store::empty_response("412 Precondition Failed", "ETag: \"6\"\r\n");
const store::scripted_response lost{store::response_mode::close, {}};

struct change_case {
    const char* name;
    lines answers;
    change_outcome outcome;
    unsigned status;
    bool lost_race;
};

class preset_switch : public testing::TestWithParam<change_case> {};

// Guards against a switch that is reported as done or refused without proof, applied twice, or that replaces
// a founder's pin.
TEST_P(preset_switch, follows_the_table) {
    test_loop loop;
    store server(loop.get(), GetParam().answers);
    control it;
    it.loop = loop.get();
    it.board.config = *parse_settings(example("settings.json"), "example");
    it.store = std::make_unique<store_client>(loop.get(), server.listener.address(), store_limits{});
    change_request request;
    request.name = preset_name("peak");
    request.expect = document_version{5};
    request.operation = operation_id("mine");
    request.who = operator_name("day-shift");
    std::optional<change_result> end;
    change_preset(it, request, [&](const change_result& result) { end = result; });
    ASSERT_TRUE(loop.run_until([&] { return end.has_value(); }));
    EXPECT_EQ(end->outcome, GetParam().outcome) << end->reason;
    EXPECT_EQ(end->status, GetParam().status) << end->reason;
    EXPECT_EQ(end->lost_race, GetParam().lost_race);
    EXPECT_EQ(it.board.changes_in_progress, 0U);
    EXPECT_GE(server.requests.size(), GetParam().answers.size());
}

INSTANTIATE_TEST_SUITE_P(
    cases, preset_switch,
    testing::Values(
        change_case{
            "accepted", {present(5, "first"), definition(), accepted}, change_outcome::done, 200, false},
        change_case{"repeated_request", {present(6, "mine")}, change_outcome::done, 200, false},
        change_case{"other_version", {present(6, "other")}, change_outcome::not_run, 409, true},
        change_case{"pinned", {present(5, "first", "founder")}, change_outcome::not_run, 403, false},
        change_case{"no_such_preset",
                    {present(5, "first"), store::empty_response("404 Not Found")},
                    change_outcome::not_run,
                    404,
                    false},
        change_case{"store_down", {lost}, change_outcome::not_run, 503, false},
        change_case{"lost_race_at_write",
                    {present(5, "first"), definition(), conflict, present(6, "other")},
                    change_outcome::not_run,
                    409,
                    true},
        change_case{"lost_answer_took_effect",
                    {present(5, "first"), definition(), lost, present(6, "mine")},
                    change_outcome::done,
                    200,
                    false},
        change_case{"lost_answer_other_won",
                    {present(5, "first"), definition(), lost, present(6, "other")},
                    change_outcome::not_run,
                    409,
                    true},
        change_case{"lost_answer_read_later",
                    {present(5, "first"), definition(), lost, lost, present(6, "mine")},
                    change_outcome::done,
                    200,
                    false},
        change_case{"lost_answer_then_outage",
                    {present(5, "first"), definition(), lost, lost, lost, lost},
                    change_outcome::unknown,
                    504,
                    false},
        change_case{
            "lost_before_effect",
            {present(5, "first"), definition(), lost, present(5, "first"), present(5, "first"), accepted},
            change_outcome::done,
            200,
            false},
        change_case{"history_too_short",
                    {present(5, "gone"), definition(), lost, present(40, "other")},
                    change_outcome::unknown,
                    504,
                    false}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever::http_test
