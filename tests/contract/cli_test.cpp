#include "endivelever/cli/run_command.hpp"
#include "endivelever/cli/text_output.hpp"
#include "endivelever/net/http_server.hpp"

#include <ev.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace endivelever {
namespace {

using nlohmann::json;

/// Answers requests by a script on a thread of its own, in place of a control and its entries.
class scripted_server {
  public:
    struct answer {
        unsigned status = 200; ///< 0 closes the connection without a response
        std::string body;
    };

    scripted_server() {
        ev_async_init(&m_stop, [](struct ev_loop* loop, ev_async*, int) { ev_break(loop, EVBREAK_ALL); });
        ev_async_start(m_loop, &m_stop);
        http_server::handlers handlers;
        handlers.on_head = [](http_exchange&) {};
        handlers.on_body = [this](http_exchange&, std::string_view data) { m_body += data; };
        handlers.on_body_end = [this](http_exchange& it) { respond(it); };
        handlers.on_writable = [](http_exchange&) {};
        handlers.on_closed = [](http_exchange&, bool) {};
        auto opened = http_server::open(m_loop, socket_address("127.0.0.1:0"), {}, std::move(handlers));
        m_server = std::move(*opened);
        m_thread = std::thread([this] { ev_run(m_loop, 0); });
    }
    ~scripted_server() {
        ev_async_send(m_loop, &m_stop);
        m_thread.join();
        m_server.reset();
        ev_loop_destroy(m_loop);
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_server->port()); }

    /// Sets the response to "METHOD target"; the text <operation> in it becomes the last operation id.
    void script(const std::string& request, unsigned status, const std::string& body) {
        const std::lock_guard lock(m_mutex);
        m_script[request] = {status, body};
    }
    std::vector<std::string> requests() {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

  private:
    void respond(http_exchange& it) {
        const std::lock_guard lock(m_mutex);
        const auto* key = find_header(it.headers(), "Authorization");
        const auto line = it.method() + " " + it.target();
        m_requests.push_back(line + " " + (key == nullptr ? "-" : *key) + " " + m_body);
        const auto sent = json::parse(m_body, nullptr, false);
        m_operation = sent.is_object() ? sent.value("operation_id", m_operation) : m_operation;
        m_body.clear();
        auto found = m_script.contains(line) ? m_script[line] : answer{404, "{}"};
        const std::string mark = "<operation>";
        if (const auto at = found.body.find(mark); at != std::string::npos) {
            found.body.replace(at, mark.size(), m_operation);
        }
        found.status == 0 ? it.abort() : it.respond(found.status, {}, found.body);
    }

    struct ev_loop* m_loop = ev_loop_new(EVFLAG_AUTO | EVFLAG_NOSIGMASK);
    ev_async m_stop{};
    std::unique_ptr<http_server> m_server;
    std::thread m_thread;
    std::mutex m_mutex;
    std::map<std::string, answer> m_script;
    std::vector<std::string> m_requests;
    std::string m_operation;
    std::string m_body;
};

struct cli : testing::Test {
    scripted_server server;
    std::string key_file = testing::TempDir() + "endivelever-cli-key-" + std::to_string(::getpid());
    std::ostringstream out;
    std::ostringstream err;

    void SetUp() override { std::ofstream(key_file) << "key-of-an-operator\n"; }
    void TearDown() override { std::filesystem::remove(key_file); }

    exit_code run(std::vector<std::string> args) {
        args.insert(args.begin(), {"--operator-address=" + server.address(), "--key-file=" + key_file});
        const auto options = parse_cli_options(args);
        if (!options) {
            err << options.error().message;
            return exit_code::invalid;
        }
        return run_command(*options, out, err);
    }
};

const std::string switch_done =
    R"({"outcome":"done","in_force":{"name":"peak","version":8,"who":"min.park","when_us":0}})";

struct change_case {
    const char* name;
    unsigned status;
    std::string body;
    exit_code expected;
    const char* output_part;
};

class cli_change : public cli, public testing::WithParamInterface<change_case> {};

// Guards against scripts that take a refused or unknown change for done, or the reverse.
TEST_P(cli_change, outcome_decides_the_exit_code) {
    server.script("POST /v1/preset/switch", GetParam().status, GetParam().body);
    EXPECT_EQ(run({"preset", "switch", "peak", "--expect=7"}), GetParam().expected);
    EXPECT_NE((out.str() + err.str()).find(GetParam().output_part), std::string::npos)
        << out.str() << err.str();
    const auto request = server.requests().at(0);
    EXPECT_NE(request.find("Bearer key-of-an-operator"), std::string::npos) << request;
    EXPECT_NE(request.find(R"("expect_version":7)"), std::string::npos) << request;
}

INSTANTIATE_TEST_SUITE_P(
    outcomes, cli_change,
    testing::Values(
        change_case{"done", 200, switch_done, exit_code::done,
                    "done: in force is peak, version 8, by min.park"},
        change_case{"lost_race", 409,
                    R"({"error":"[control.30] another change was accepted first","outcome":"not-run",
                        "won_by":"day-shift","in_force":{"name":"ordinary","version":9,"who":"day-shift"}})",
                    exit_code::refused, "day-shift won; in force is ordinary, version 9"},
        change_case{"wrong_key", 401, R"({"error":"[control.25] a key"})", exit_code::refused,
                    "[control.25]"},
        change_case{"store_down", 503, R"({"error":"x","outcome":"not-run"})", exit_code::refused,
                    "refused: x"},
        change_case{"invalid", 400, R"({"error":"y"})", exit_code::invalid, "y"},
        change_case{"unknown", 504, R"({"error":"z","outcome":"unknown"})", exit_code::unknown, "unknown: z"},
        change_case{"cut_off", 0, "", exit_code::unknown, "no complete response"}),
    [](const auto& it) { return it.param.name; });

// Guards against "unknown" where the change can be proved to have taken effect.
TEST_F(cli, lost_response_is_read_back_by_operation_id) {
    server.script("POST /v1/preset/pin", 0, "");
    server.script("GET /v1/audit", 200, R"({"changes":[{"operation_id":"<operation>"}]})");
    EXPECT_EQ(run({"preset", "pin"}), exit_code::done) << err.str();
}

TEST_F(cli, wait_names_the_entries_that_miss_the_preset) {
    server.script("POST /v1/preset/switch", 200, switch_done);
    server.script("GET /v1/status", 200,
                  R"({"preset":{"name":"peak","version":8,"operation_id":"<operation>"},"entries":2,
                      "in_force_on":1,"lagging":[{"vm":"vm-02","preset_version":7,"reason":"silent"}]})");
    std::thread later([this] {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        server.script("GET /v1/status", 200,
                      R"({"preset":{"name":"peak","version":8,"operation_id":"<operation>"},"entries":2,
                          "in_force_on":2,"lagging":[]})");
    });
    EXPECT_EQ(run({"preset", "switch", "peak", "--expect=7", "--wait"}), exit_code::done);
    later.join();
    EXPECT_NE(out.str().find("in force on 2 of 2 entries"), std::string::npos) << out.str();
    EXPECT_GE(server.requests().size(), 3U);
}

TEST_F(cli, wait_reports_a_later_change) {
    server.script("POST /v1/preset/switch", 200, switch_done);
    server.script("GET /v1/status", 200,
                  R"({"preset":{"name":"peak","version":8,"operation_id":"<operation>"},
        "entries":2,"in_force_on":1,"lagging":[]})");
    std::thread later([this] {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        server.script("GET /v1/status", 200,
                      R"({"preset":{"name":"ordinary","version":9,"operation_id":"other"},
            "entries":2,"in_force_on":2,"lagging":[]})");
    });
    EXPECT_EQ(run({"preset", "switch", "peak", "--expect=7", "--wait"}), exit_code::refused);
    later.join();
    EXPECT_NE(err.str().find("replaced: in force is ordinary, version 9"), std::string::npos) << err.str();
}

TEST_F(cli, lists_are_aligned_and_raw_with_json) {
    const std::string body =
        R"({"servers":[{"id":"status-01","service":"status","draining":true,"drained_by":["platform","operator"]}]})";
    server.script("GET /v1/servers", 200, body);
    EXPECT_EQ(run({"servers"}), exit_code::done);
    EXPECT_EQ(out.str(), "SERVER     SERVICE  DOMAIN  ADDRESS  DRAINING  DRAINED BY\n"
                         "status-01  status   -       -        yes       platform,operator\n");
    out.str("");
    EXPECT_EQ(run({"servers", "--json"}), exit_code::done);
    EXPECT_EQ(json::parse(out.str()), json::parse(body));
}

TEST_F(cli, preset_file_is_stored_under_its_name) {
    server.script("PUT /v1/presets/peak?expect_version=0", 200, R"({"outcome":"done"})");
    EXPECT_EQ(run({"preset", "create", ENDIVELEVER_SOURCE_DIR "/examples/hanbit/preset-peak.json"}),
              exit_code::done)
        << err.str();
}

TEST_F(cli, trace_joins_the_spans_of_all_entries) {
    const std::string id(32, 'a');
    server.script("GET /v1/entries", 200,
                  json{{"entries",
                        {{{"vm", "vm-01"}, {"admin_address", server.address()}},
                         {{"vm", "vm-02"}, {"admin_address", "127.0.0.1:1"}}}}}
                      .dump());
    server.script("GET /traces/" + id, 200, R"([
        {"span":"2","parent":"1","name":"attempt","peer":"order-1","outcome":"done","status":200,
         "start_us":1500,"length_us":800},
        {"span":"1","parent":"","name":"order","peer":"","outcome":"done","status":200,
         "start_us":1000,"length_us":2345}])");
    EXPECT_EQ(run({"trace", "00-" + id + "-0102030405060708-01"}), exit_code::done);
    EXPECT_EQ(out.str(), "START         LENGTH        SPAN\n"
                         "+0.000 ms     2.345 ms      order on vm-01: done 200\n"
                         "+0.500 ms     0.800 ms        attempt on vm-01 to order-1: done 200\n");
    EXPECT_NE(err.str().find("vm-02"), std::string::npos);
    for (const auto& it : server.requests()) {
        EXPECT_EQ(it.find("/traces/") != std::string::npos, it.find("Bearer") == std::string::npos) << it;
    }
}

// Guards against spans that name each other as parents.
TEST(span_tree_text, circular_spans_end) {
    EXPECT_EQ(span_tree_text(json::parse(R"([{"span":"1","parent":"2"},{"span":"2","parent":"1"}])")),
              "START         LENGTH        SPAN\n");
}

TEST(cell_text, control_characters_are_replaced) {
    EXPECT_EQ(cell_text(json{{"a", "x\x1b[2Jy"}}, "a"), "x?[2Jy");
}

TEST_F(cli, invalid_arguments_and_files_have_their_own_exit_code) {
    const std::vector<std::vector<std::string>> invalid{
        {},
        {"preset"},
        {"preset", "switch", "peak"},
        {"preset", "switch", "peak", "--expect=-1"},
        {"preset", "show", "../x"},
        {"status", "--wait"},
        {"--operator-address=localhost:80", "status"},
        {"trace", "xyz"},
        {"preset", "create", "/nonexistent"},
        {"check-settings", "/nonexistent"},
        {"preset", "create", ENDIVELEVER_SOURCE_DIR "/examples/hanbit/settings.json"}};
    for (const auto& it : invalid) {
        EXPECT_EQ(run(it), exit_code::invalid) << (it.empty() ? "" : it.back());
    }
    EXPECT_TRUE(server.requests().empty());
    std::filesystem::remove(key_file);
    EXPECT_EQ(run({"status"}), exit_code::invalid);
}

TEST_F(cli, silent_address_is_unreachable) {
    const auto options =
        parse_cli_options({"--operator-address=127.0.0.1:1", "--key-file=" + key_file, "preset", "pin"});
    EXPECT_EQ(run_command(*options, out, err), exit_code::unreachable);
}

TEST_F(cli, check_settings_reads_each_kind_of_file_and_checks_presets_against_settings) {
    const std::string folder = ENDIVELEVER_SOURCE_DIR "/examples/";
    EXPECT_EQ(run({"check-settings", folder + "hanbit/settings.json", folder + "hanbit/preset-peak.json",
                   folder + "hanbit/vm-list.json"}),
              exit_code::done)
        << err.str();
    EXPECT_NE(out.str().find("16 entry VMs and 38 servers"), std::string::npos);
    EXPECT_EQ(
        run({"check-settings", folder + "hanbit/settings.json", folder + "consortium/preset-peak.json"}),
        exit_code::invalid);
    EXPECT_NE(err.str().find("names no kind of the settings"), std::string::npos) << err.str();
}

} // namespace
} // namespace endivelever
