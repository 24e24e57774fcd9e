#include "entry_fixture.hpp"

namespace endivelever::entry_test {
namespace {

http_request confirmation(const entry_world& world, const std::string& id, std::size_t entry = 0) {
    auto it = world.request("POST", "/confirm/1", entry);
    it.has_body = true;
    it.body = "run 17";
    it.headers = {{"Idempotency-Key", id}};
    return it;
}

void set_all(entry_world& world, const std::string& service,
             const std::function<void(testbed::server_behaviour&)>& change) {
    for (const auto& it : world.servers->list()) {
        if (it.service.text == service) {
            auto& model = *world.servers->find(it.id);
            change(model.behaviour);
        }
    }
}

// Guards against a second run when a caller repeats a call that is done.
TEST(entry_once, repeated_id_gets_the_kept_response) {
    entry_world world;
    world.feed();
    const auto id = world.id("a1");
    const auto first = world.send(confirmation(world, id));
    const auto second = world.send(confirmation(world, id));
    EXPECT_EQ(200U, first.result.status) << first.body;
    EXPECT_EQ("done", outcome_of(first));
    EXPECT_EQ("done", outcome_of(second));
    EXPECT_EQ(first.result.status, second.result.status);
    EXPECT_EQ(first.body, second.body);
    EXPECT_EQ(1U, world.servers->ledger().at(id));
}

// Guards against a second run when a caller repeats a call that is still running.
TEST(entry_once, repeated_id_waits_for_the_running_call) {
    entry_world world(1, 200ms);
    world.feed();
    const auto id = world.id("a2");
    std::vector<http_reply> replies;
    for (int i = 0; i < 3; ++i) {
        fetch(*world.caller, confirmation(world, id), byte_count{100'000},
              [&](const http_reply& it) { replies.push_back(it); });
    }
    ASSERT_TRUE(world.loop.run_until([&] { return replies.size() == 3; }));
    for (const auto& it : replies) {
        EXPECT_EQ(200U, it.result.status) << it.body;
        EXPECT_EQ("done", outcome_of(it));
    }
    EXPECT_EQ(1U, world.servers->ledger().at(id));
}

// Guards against a run that is lost to the caller because its first connection broke.
TEST(entry_once, repeated_id_gets_the_outcome_after_the_first_caller_left) {
    entry_world world(1, 200ms);
    world.feed();
    const auto id = world.id("a3");
    auto first = raw_socket::connect_to(world.board().callers->port());
    first.send_some("POST /confirm/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\nIdempotency-Key: " + id +
                    "\r\n\r\nrun 17");
    ASSERT_TRUE(world.loop.run_until([&] { return world.servers->ledger().contains(id); }));
    first.reset_connection();
    const auto second = world.send(confirmation(world, id));
    EXPECT_EQ(200U, second.result.status) << second.body;
    EXPECT_EQ("done", outcome_of(second));
    EXPECT_EQ(1U, world.servers->ledger().at(id));
}

// Guards against two entries that both dispatch the same call.
TEST(entry_once, another_entry_forwards_to_the_home_entry) {
    entry_world world(2);
    world.feed();
    const auto id = world.id("a4", 0);
    const auto first = world.send(confirmation(world, id, 1));
    EXPECT_EQ(200U, first.result.status) << first.body;
    EXPECT_EQ("done", outcome_of(first));
    const auto second = world.send(confirmation(world, id, 0));
    EXPECT_EQ("done", outcome_of(second));
    EXPECT_EQ(1U, world.servers->ledger().at(id));
    EXPECT_EQ(0U, world.board(1).services[1].admission.kinds[0].in_progress);
}

struct home_case {
    const char* name;
    bool other_life;
    bool gone;
};

class home_entry : public testing::TestWithParam<home_case> {};

// Guards against "not-run" or a run when the home entry, which knows the truth, cannot be asked.
TEST_P(home_entry, that_cannot_answer_makes_the_outcome_unknown) {
    entry_world world(2);
    world.feed();
    auto id = world.id("a5", 0);
    if (GetParam().other_life) {
        const auto& at = world.board(0);
        id = call_id_prefix(at.conf.vm, incarnation{at.life.value - 1}, 1) + ".a5";
    }
    if (GetParam().gone) {
        world.board(0).callers.reset();
    }
    const auto reply = world.send(confirmation(world, id, 1));
    EXPECT_EQ(503U, reply.result.status);
    EXPECT_EQ("unknown", outcome_of(reply));
    EXPECT_FALSE(world.servers->ledger().contains(id));
}

INSTANTIATE_TEST_SUITE_P(reasons, home_entry,
                         testing::Values(home_case{"other_incarnation", true, false},
                                         home_case{"gone", false, true}),
                         [](const auto& it) { return it.param.name; });

// Guards against lost calls when one server sheds: a stated "did not run" may be sent elsewhere.
TEST(entry_once, shed_call_is_retried_at_another_server) {
    entry_world world;
    world.feed();
    world.servers->find(server_id("confirmation-0"))->behaviour.shed_ratio = 1.0;
    for (int i = 0; i < 8; ++i) {
        const auto id = world.id("b" + std::to_string(i));
        const auto reply = world.send(confirmation(world, id));
        EXPECT_EQ(200U, reply.result.status) << reply.body;
        EXPECT_EQ(1U, world.servers->ledger().at(id));
    }
}

// Guards against "unknown" for a call that every server refused to run.
TEST(entry_once, call_shed_by_all_servers_is_not_run_and_may_be_repeated) {
    entry_world world;
    world.feed();
    set_all(world, "confirmation", [](testbed::server_behaviour& it) { it.shed_ratio = 1.0; });
    const auto id = world.id("c1");
    const auto refused = world.send(confirmation(world, id));
    EXPECT_EQ(503U, refused.result.status);
    EXPECT_EQ("not-run", outcome_of(refused));
    EXPECT_FALSE(world.servers->ledger().contains(id));
    set_all(world, "confirmation", [](testbed::server_behaviour& it) { it.shed_ratio = 0.0; });
    EXPECT_TRUE(
        world.loop.run_until([&] { return outcome_of(world.send(confirmation(world, id))) == "done"; }));
    EXPECT_EQ(1U, world.servers->ledger().at(id));
}

// Guards against "not-run" for a call whose connection broke after it was sent.
TEST(entry_once, broken_connection_makes_the_outcome_unknown_without_a_second_run) {
    entry_world world(1, 2ms, 1);
    raw_listener breaking;
    world.feed();
    vm_list list;
    for (const auto* name : {"breaking-0", "breaking-1"}) {
        list.servers.push_back({.id = server_id(name),
                                .service = service_id("confirmation"),
                                .failure_domain = failure_domain("kr-a"),
                                .address = breaking.address()});
    }
    world.control.send(document_message{vm_list_key, document_version{9}, to_json(list)});
    ASSERT_TRUE(world.loop.run_until([&] { return world.board().services[1].pool.servers.size() == 2; }));
    std::vector<std::unique_ptr<raw_socket>> peers;
    std::size_t requests = 0;
    timer poll(world.loop.get(), [&] {
        while (auto peer = breaking.accept_one()) {
            peers.push_back(std::move(peer));
        }
        for (auto& peer : peers) {
            peer->read_available();
            if (peer->received.starts_with("GET")) {
                peer->received.clear();
            } else if (peer->received.find("run 17") != std::string::npos) {
                ++requests;
                peer->received.clear();
                peer->reset_connection();
            }
        }
    });
    poll.start(1ms, 1ms);
    const auto id = world.id("d1");
    const auto reply = world.send(confirmation(world, id));
    EXPECT_EQ(503U, reply.result.status);
    EXPECT_EQ("unknown", outcome_of(reply));
    const auto again = world.send(confirmation(world, id));
    EXPECT_EQ("unknown", outcome_of(again));
    EXPECT_EQ(1U, requests);
}

// Guards against calls that fail although another server could answer them.
TEST(entry_retry, idempotent_call_survives_a_closed_server) {
    entry_world world;
    world.feed();
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(200U, world.send(world.request("GET", "/status/warm")).result.status);
    }
    ASSERT_TRUE(world.servers->silence_connections(server_id("status-lookup-0")));
    for (int i = 0; i < 8; ++i) {
        const auto reply = world.send(world.request("GET", "/status/" + std::to_string(i)));
        EXPECT_EQ(200U, reply.result.status) << reply.body;
        EXPECT_EQ("done", outcome_of(reply));
    }
}

} // namespace
} // namespace endivelever::entry_test
