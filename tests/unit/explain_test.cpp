#include "endivelever/decide/observe.hpp"
#include "endivelever/gateway/controllers.hpp"
#include "endivelever/gateway/explain.hpp"
#include "endivelever/net/datagram_socket.hpp"
#include "platform/dialect.hpp"
#include "platform/explain_command.hpp"

#include <ev.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

/// Exchange of a caller that records the response.
class recorded_exchange : public http_exchange {
  public:
    [[nodiscard]] const std::string& method() const override { return m_method; }
    [[nodiscard]] const std::string& target() const override { return m_target; }
    [[nodiscard]] std::string path() const override { return m_target.substr(0, m_target.find('?')); }
    [[nodiscard]] const http_headers& headers() const override { return m_headers; }
    [[nodiscard]] std::optional<std::uint64_t> content_length() const override { return 0; }
    void pause_body() override {}
    void resume_body() override {}
    void hold_next_requests() override {}
    [[nodiscard]] bool has_next_requests() const override { return false; }
    void respond(unsigned status, const http_headers& /*headers*/, std::string body) override {
        m_status = status;
        m_body = std::move(body);
    }
    void begin_response(unsigned status, const http_headers& /*headers*/,
                        std::optional<std::uint64_t> /*length*/) override {
        m_status = status;
    }
    void write(std::string_view /*data*/) override {}
    [[nodiscard]] std::size_t writable_bytes() const override { return 1; }
    void finish() override {}
    void abort() override {}

    void set_target(std::string target) { m_target = std::move(target); }
    [[nodiscard]] unsigned status() const { return m_status; }
    [[nodiscard]] const std::string& body() const { return m_body; }

  private:
    std::string m_method = "GET";
    std::string m_target = "/a/x";
    http_headers m_headers{{"Host", "desk.example"}};
    unsigned m_status = 0;
    std::string m_body;
};

constexpr const char* secret_key = "k-9d1f-secret";

routing_config make_config(bool with_tenants) {
    routing_config conf;
    route it;
    it.id = route_id("r1");
    it.host = "desk.example";
    it.path_prefix = "/a/";
    it.idempotent = true;
    it.timeout = 1200ms;
    it.latency_target = 300ms;
    it.rank = 1;
    it.max_attempts = 2;
    it.split = {{service_id("desk"), 1}};
    conf.routes = {it};
    it.id = route_id("r2");
    it.path_prefix = "/open/";
    it.is_public = true;
    it.rank = 2;
    conf.routes.push_back(it);
    conf.services.push_back({service_id("desk"), "/health", 100, {}, 0.0});
    if (with_tenants) {
        conf.tenants.push_back({tenant_id("north"), {secret_key}, 0U, 0.0, 0.0});
    }
    return conf;
}

/// A gateway's state without listeners. Its transfers are never started, as the loop does not run.
struct board_fixture {
    struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO | EVFLAG_NOSIGMASK);
    int devnull = open("/dev/null", O_WRONLY | O_CLOEXEC);
    gateway_board board;
    std::vector<std::unique_ptr<recorded_exchange>> exchanges;

    explicit board_fixture(bool with_tenants = false, std::uint64_t seed = 1) {
        board.random = random_source(seed, 5);
        board.dialect = platform::make_dialect(socket_address("127.0.0.1:9"));
        board.routes = make_route_table(make_config(with_tenants));
        board.registry.loaded = true;
        board.log.fd = devnull;
        board.server_http_client = std::make_unique<http_client>(loop, 0);
    }
    ~board_fixture() {
        board.requests.clear();
        board.server_http_client.reset();
        ev_loop_destroy(loop);
        close(devnull);
    }
    board_fixture(const board_fixture&) = delete;
    board_fixture& operator=(const board_fixture&) = delete;
    board_fixture(board_fixture&&) = delete;
    board_fixture& operator=(board_fixture&&) = delete;

    gateway_service& add_servers(std::size_t count) {
        auto& service = board.services[service_id("desk")];
        service.pool.service.id = service_id("desk");
        service.pool.own_domain = failure_domain("a");
        service.median_response_time = 80ms;
        std::vector<listed_server> listed;
        for (std::size_t i = 0; i < count; ++i) {
            listed_server it;
            it.id = server_id("s" + std::to_string(i));
            it.service = service_id("desk");
            it.failure_domain = failure_domain(i % 2 == 0 ? "a" : "b");
            it.address = socket_address("127.0.0.1:" + std::to_string(9 + i));
            it.slots = 3;
            listed.push_back(it);
        }
        update_servers(service.pool, listed, {}, 1, boot_clock::now() - 1h);
        for (auto& it : service.pool.servers) {
            it.state = server_state::serving;
            it.connection_share = 100;
        }
        return service;
    }

    gateway_request& add_request(duration age) {
        auto it = std::make_unique<gateway_request>();
        it->number = ++board.last_request_number;
        exchanges.push_back(std::make_unique<recorded_exchange>());
        it->exchange = exchanges.back().get();
        it->table = board.routes;
        it->matched_route = board.routes->config.routes.data();
        it->rank = it->matched_route->rank;
        it->arrived = boot_clock::now() - age;
        it->deadline = it->arrived + it->matched_route->timeout;
        it->service = service_id("desk");
        return *board.requests.emplace(it->number, std::move(it)).first->second;
    }

    [[nodiscard]] explanation explain(const explain_query& query) const {
        return explain_request(board, query, boot_clock::now());
    }
};

/// Puts a server into a state that keeps requests away with a probability of about one half.
void randomize(server_view& view, random_source& random, time_point now) {
    const auto draw = random_below(random, 12);
    view.drain_sources = draw == 0 ? 1 : 0;
    view.evacuated = draw == 1;
    view.state = draw == 2 ? server_state::ejected : server_state::serving;
    view.connection_share = draw == 3 ? 0 : 100;
    if (draw == 4) {
        view.allowance.paused_until = now + 1min;
    }
    load_report report;
    report.running = random_below(random, 4);
    report.slowdown = random_below(random, 3) == 0 ? 4.0 : 1.0;
    // Ages far from the limits of 10 and 25 ms, so that the time of the test does not matter.
    static constexpr std::array<duration, 4> ages{0ms, 0ms, 17ms, 400ms};
    if (random_below(random, 5) != 0) {
        note_report(view, report, now - ages.at(random_below(random, 4)));
    }
}

void add_waiting(board_fixture& it, gateway_service& service, random_source& random) {
    const bool probed = random_below(random, 2) == 0;
    const auto n = random_below(random, 5);
    for (std::uint32_t i = 0; i < n; ++i) {
        auto& request = it.add_request(std::chrono::milliseconds(20 * random_below(random, 20)));
        auto entry = make_waiting(service, request, attempt_purpose::first, boot_clock::now());
        entry.probing_done = probed;
        service.waiting.push_back(entry);
    }
}

/// Room that waiting requests have exceeded for a while.
void exceed_room(gateway_service& service, double work_per_second, time_point now) {
    service.room.exceeded = true;
    service.room.had_backlog = true;
    service.room.reviewed_at = now;
    service.room.backlog_time = {2.0, now};
    service.room.backlog_sent = {2.0 * work_per_second, now};
}

// Guards against explanations that differ from what happens to a request: both are computed from a thousand
// random states of servers, queue and room.
TEST(explain, agrees_with_the_placement_of_requests) {
    std::map<std::string, int> seen;
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        board_fixture it(false, seed);
        random_source random(seed, 3);
        auto& service = it.add_servers(random_below(random, 7));
        const auto now = boot_clock::now();
        for (auto& view : service.pool.servers) {
            randomize(view, random, now);
        }
        service.reports_load = random_below(random, 6) != 0;
        service.last_probe_report_at = now;
        if (random_below(random, 3) != 0) {
            add_waiting(it, service, random);
        }
        if (random_below(random, 3) == 0) {
            exceed_room(service, 0.1 + 0.5 * random_unit(random), now);
        }
        const auto explained = it.explain({"desk.example", "/a/x", ""});

        auto& request = it.add_request(0ms);
        const auto number = request.number;
        const auto& caller = *it.exchanges.back();
        request.service = pick_service(*request.matched_route, it.board.random);
        enqueue_request(it.board, request, attempt_purpose::first);
        if (caller.status() == 0 && it.board.requests.at(number)->attempts.empty()) {
            process_wait_queue(it.board, service, boot_clock::now());
        }
        if (caller.status() != 0) {
            EXPECT_EQ(explain_outcome::refuse, explained.outcome) << seed << caller.body();
            EXPECT_EQ(caller.status(), explained.status) << seed;
            ++seen[service.pool.servers.empty() ? "no_server" : explained.reason];
        } else if (const auto& attempts = it.board.requests.at(number)->attempts; !attempts.empty()) {
            EXPECT_EQ(explain_outcome::send, explained.outcome) << seed << explained.reason;
            EXPECT_EQ(explain_basis::report, explained.basis) << seed;
            EXPECT_EQ(attempts.front()->server.text, explained.server) << seed;
            ++seen["sent"];
        } else {
            const bool waits =
                explained.outcome == explain_outcome::wait ||
                (explained.outcome == explain_outcome::send && explained.basis == explain_basis::last_known);
            EXPECT_TRUE(waits) << seed << " " << explained.server << explained.reason;
            ++seen["waits"];
        }
    }
    // The states cover each outcome.
    EXPECT_GE(seen["sent"], 100);
    EXPECT_GE(seen["waits"], 100);
    EXPECT_GE(seen["no_server"], 20);
    EXPECT_GE(seen["servers have no room in time"], 20);
}

// Guards against an explanation that changes what happens to later requests.
TEST(explain, changes_nothing) {
    board_fixture it;
    auto& service = it.add_servers(2);
    note_report(service.pool.servers[0], {}, boot_clock::now());
    const auto random = it.board.random;
    EXPECT_EQ("s0", it.explain({"desk.example", "/a/x", ""}).server);
    EXPECT_TRUE(service.waiting.empty());
    EXPECT_TRUE(service.pool.servers[0].in_flight.empty());
    EXPECT_TRUE(random == it.board.random);
}

// Guards against tokens of a quota that are shown after they have expired, or for tenants without a quota.
TEST(explain, shows_the_tokens_of_a_quota) {
    board_fixture it(true);
    it.add_servers(1);
    const auto tokens = [&it] { return it.explain({"desk.example", "/a/x", "north"}).quota_tokens; };
    EXPECT_FALSE(tokens());
    it.board.conf.quota_window = 5s;
    auto conf = make_config(true);
    conf.tenants.front().rate = 10.0;
    it.board.routes = make_route_table(std::move(conf));
    EXPECT_EQ(0U, tokens());
    const auto now = boot_clock::now();
    it.board.quota.reserves[hash_of(tenant_id("north"))].tokens = {now - 1s, now + 1min, now + 1min};
    EXPECT_EQ(2U, tokens());
}

struct denial_case {
    const char* name;
    void (*change)(server_view&);
};

struct explain_denial : testing::TestWithParam<denial_case> {};

// Guards against a server that is out without the reason being shown.
TEST_P(explain_denial, is_shown) {
    board_fixture it;
    auto& service = it.add_servers(1);
    auto& view = service.pool.servers[0];
    note_report(view, {}, boot_clock::now());
    GetParam().change(view);
    const auto explained = it.explain({"desk.example", "/a/x", ""});
    EXPECT_NE(explain_outcome::send, explained.outcome);
    ASSERT_EQ(1U, explained.servers.size());
    EXPECT_EQ(GetParam().name, explained.servers[0].denial);
}

INSTANTIATE_TEST_SUITE_P(
    servers, explain_denial,
    testing::Values(
        denial_case{"draining", [](server_view& it) { it.drain_sources = 1; }},
        denial_case{"evacuated", [](server_view& it) { it.evacuated = true; }},
        denial_case{"paused", [](server_view& it) { it.allowance.paused_until = boot_clock::now() + 1min; }},
        denial_case{"ejected", [](server_view& it) { it.state = server_state::ejected; }},
        denial_case{"no_connection", [](server_view& it) { it.connection_share = 0; }},
        denial_case{"full", [](server_view& it) { it.last_report.running = 3; }}),
    [](const auto& it) { return it.param.name; });

struct query_case {
    const char* name;
    const char* target;
    unsigned status;     ///< of the answer
    const char* outcome; ///< in the answer
    int refusal;         ///< status of the explained refusal; 0 if it is none
    int priority;
};

struct explain_query_cases : testing::TestWithParam<query_case> {};

// Guards against wrong routes, tenants and priorities, and against answers that show keys.
TEST_P(explain_query_cases, are_answered) {
    board_fixture it(true);
    auto& service = it.add_servers(1);
    note_report(service.pool.servers[0], {}, boot_clock::now());
    recorded_exchange exchange;
    exchange.set_target(GetParam().target);
    ASSERT_TRUE(handle_explain(it.board, exchange));
    EXPECT_EQ(GetParam().status, exchange.status());
    EXPECT_EQ(std::string::npos, exchange.body().find(secret_key));
    if (exchange.status() != 200U) {
        return;
    }
    const auto answer = nlohmann::json::parse(exchange.body());
    EXPECT_EQ(GetParam().outcome, answer.at("outcome").get<std::string>());
    EXPECT_EQ(GetParam().refusal, answer.value("status", 0));
    EXPECT_EQ(GetParam().priority, answer.at("priority").get<int>());
    EXPECT_EQ(0U, platform::format_explanation(exchange.body()).find(GetParam().outcome));
}

INSTANTIATE_TEST_SUITE_P(
    targets, explain_query_cases,
    testing::Values(
        query_case{"tenant", "/explain?host=desk.example&path=%2Fa%2Fx&tenant=north", 200, "send", 0, 0},
        query_case{"public_route", "/explain?host=desk.example&path=/open/x", 200, "send", 0, 2},
        query_case{"without_tenant", "/explain?host=desk.example&path=/a/x", 200, "refuse", 401, 1},
        query_case{"other_tenant", "/explain?host=desk.example&path=/a/x&tenant=south", 200, "refuse", 401,
                   1},
        query_case{"no_route", "/explain?host=desk.example&path=/b", 200, "refuse", 404, 0},
        query_case{"no_path", "/explain?host=desk.example", 400, "", 0, 0},
        query_case{"no_query", "/explain", 400, "", 0, 0},
        query_case{"bad_escape", "/explain?host=desk.example&path=%2", 400, "", 0, 0}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever
