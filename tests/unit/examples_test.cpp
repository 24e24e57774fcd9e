#include "endivelever/config/check_preset.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/config/vm_list.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <sstream>

namespace endivelever {
namespace {

namespace fs = std::filesystem;

std::string read_file(const fs::path& path) {
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

struct deployment {
    const char* name;
    std::vector<std::string> prefixes; ///< sorted
    std::vector<std::pair<std::string, std::ptrdiff_t>> servers;
    std::size_t failure_domains;
};

class example_files : public testing::TestWithParam<deployment> {
  protected:
    fs::path folder = fs::path(ENDIVELEVER_SOURCE_DIR) / "examples" / GetParam().name;
    result<settings> loaded = load_settings((folder / "settings.json").string());
};

// Guards against examples that the programs refuse.
TEST_P(example_files, load_and_fit_together) {
    ASSERT_TRUE(loaded) << loaded.error().message;
    std::size_t presets = 0;
    std::size_t others = 0;
    for (const auto& it : fs::directory_iterator(folder)) {
        const auto name = it.path().filename().string();
        if (!name.starts_with("preset-")) {
            ++others;
            continue;
        }
        const auto rules = parse_preset(read_file(it.path()), name);
        ASSERT_TRUE(rules) << rules.error().message;
        EXPECT_EQ("preset-" + rules->name.text + ".json", name);
        const auto checked = check_preset(*rules, *loaded, name);
        EXPECT_TRUE(checked) << checked.error().message;
        ++presets;
    }
    EXPECT_EQ(presets, 3U);
    EXPECT_EQ(others, 2U) << "a file that no test loads";
}

// Guards against examples that leave the workloads of docs/design.md.
TEST_P(example_files, have_the_full_size) {
    ASSERT_TRUE(loaded) << loaded.error().message;
    std::vector<std::string> prefixes;
    for (const auto& it : loaded->kinds) {
        prefixes.push_back(it.path_prefix);
    }
    std::sort(prefixes.begin(), prefixes.end());
    EXPECT_EQ(prefixes, GetParam().prefixes);

    const auto list = parse_vm_list(read_file(folder / "vm-list.json"));
    ASSERT_TRUE(list) << list.error().message;
    EXPECT_EQ(list->entries.size(), 16U);
    std::set<std::string> domains;
    for (const auto& it : list->entries) {
        domains.insert(it.failure_domain.text);
    }
    EXPECT_EQ(domains.size(), GetParam().failure_domains);
    for (const auto& [service, count] : GetParam().servers) {
        const auto serves = [&service = service](const auto& it) { return it.service.text == service; };
        EXPECT_EQ(std::count_if(list->servers.begin(), list->servers.end(), serves), count) << service;
    }
    const auto& first = list->entries.front();
    EXPECT_EQ(first.id, loaded->vm);
    EXPECT_EQ(first.feed_address, loaded->feed_address);
}

INSTANTIATE_TEST_SUITE_P(
    deployments, example_files,
    testing::Values(deployment{"hanbit",
                               {"/confirmations/", "/proofs/", "/status/"},
                               {{"status-lookup", 20}, {"run-confirmation", 10}, {"proof-file-store", 8}},
                               4},
                    deployment{"consortium",
                               {"/drawings/", "/order-status/", "/orders/", "/pours/", "/rebar/", "/slots/"},
                               {{"slot-board", 15}, {"order-ledger", 8}, {"drawing-store", 6}},
                               3}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever
