#include "endivelever/cli/run_command.hpp"
#include "testbed/blocking_http.hpp"
#include "testbed/cluster.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace endivelever {
namespace {

using nlohmann::json;

/// A cluster of the Hanbit example and the command line in front of its first control.
struct cli_cluster : testing::Test {
    std::unique_ptr<testbed::cluster> cluster;
    std::string key_file;
    std::ostringstream out;
    std::ostringstream err;

    void SetUp() override {
        testbed::cluster_options options;
        options.program_folder = ENDIVELEVER_BIN_DIR;
        options.example_folder = ENDIVELEVER_SOURCE_DIR "/examples/hanbit";
        auto started = testbed::cluster::start(options);
        ASSERT_TRUE(started) << started.error().message;
        cluster = std::move(*started);
        key_file = cluster->folder().write("key", cluster->vm(0).config.operators.at(0).key + "\n");
    }

    exit_code run(std::vector<std::string> args) {
        out.str("");
        err.str("");
        const auto& address = cluster->vm(0).config.operator_address.text;
        args.insert(args.begin(), {"--operator-address=" + address, "--key-file=" + key_file});
        const auto options = parse_cli_options(args);
        return options ? run_command(*options, out, err) : exit_code::invalid;
    }

    std::string version_in_force() {
        run({"status", "--json"});
        return std::to_string(json::parse(out.str())["preset"]["version"].get<std::uint64_t>());
    }
};

// Guards against a command line that does not match the control and entry programs.
TEST_F(cli_cluster, preset_is_created_switched_and_in_force_on_all_entries) {
    const std::string peak = ENDIVELEVER_SOURCE_DIR "/examples/hanbit/preset-peak.json";
    EXPECT_EQ(run({"preset", "create", peak}), exit_code::done) << err.str();
    EXPECT_EQ(run({"preset", "create", peak}), exit_code::done) << "equal content: " << err.str();
    run({"preset", "show", "peak", "--json"});
    auto other = json::parse(out.str())["preset"];
    other["description"] = "another one";
    const auto file = cluster->folder().write("other.json", other.dump());
    EXPECT_EQ(run({"preset", "create", file}), exit_code::refused) << err.str();
    EXPECT_NE(err.str().find("the preset exists with version"), std::string::npos) << err.str();
    const auto before = version_in_force();
    EXPECT_EQ(run({"preset", "switch", "peak", "--expect=" + before, "--wait"}), exit_code::done)
        << err.str();
    EXPECT_NE(out.str().find("in force on 4 of 4 entries"), std::string::npos) << out.str();
    EXPECT_EQ(run({"preset", "switch", "ordinary", "--expect=" + before}), exit_code::refused);
    EXPECT_NE(err.str().find("in force is peak"), std::string::npos) << err.str();
    EXPECT_EQ(run({"preset", "switch", "none", "--expect=" + version_in_force()}), exit_code::refused);
    EXPECT_EQ(run({"preset", "show", "peak"}), exit_code::done) << err.str();
    EXPECT_EQ(run({"preset", "pin"}), exit_code::done) << err.str();
    EXPECT_EQ(run({"preset", "release"}), exit_code::done) << err.str();
}

TEST_F(cli_cluster, lists_and_drains_match_the_control) {
    EXPECT_EQ(run({"entries"}), exit_code::done) << err.str();
    EXPECT_NE(out.str().find(cluster->vm(3).config.vm.text), std::string::npos) << out.str();
    EXPECT_EQ(run({"kinds"}), exit_code::done) << err.str();
    EXPECT_NE(out.str().find("/confirmations/"), std::string::npos) << out.str();
    const auto server = cluster->vms().servers.at(0).id.text;
    EXPECT_EQ(run({"drain", server}), exit_code::done) << err.str();
    const auto drained = [&] {
        run({"servers"});
        return out.str().find("operator") != std::string::npos;
    };
    EXPECT_TRUE(testbed::wait_until(drained, std::chrono::seconds(20))) << out.str();
    EXPECT_EQ(run({"drain", server, "--undo"}), exit_code::done) << err.str();
}

TEST_F(cli_cluster, trace_shows_a_call_and_its_attempt) {
    const std::string id = "4bf92f3577b34da6a3ce929d0e0e4736";
    EXPECT_EQ(run({"trace", id}), exit_code::refused) << err.str();
    EXPECT_NE(err.str().find("no entry holds spans"), std::string::npos) << err.str();
    const auto traceparent = "00-" + id + "-00f067aa0ba902b7-01";
    const auto reply = testbed::call_http(cluster->vm(1).config.caller_address, "GET", "/status/a", {},
                                          {{"traceparent", traceparent}});
    ASSERT_TRUE(testbed::succeeded(reply)) << reply.result.status << " " << reply.body;
    EXPECT_EQ(run({"trace", traceparent}), exit_code::done) << err.str();
    EXPECT_NE(out.str().find("job-status on " + cluster->vm(1).config.vm.text), std::string::npos)
        << out.str();
    EXPECT_NE(out.str().find("  attempt on "), std::string::npos) << out.str();
}

} // namespace
} // namespace endivelever
