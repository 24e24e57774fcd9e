#include "testbed/usage.hpp"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace endivelever::testbed {

process_usage usage_of(pid_t pid) {
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(in, line);
    const auto name_end = line.rfind(')'); // the name may hold spaces
    if (name_end == std::string::npos) {
        return {};
    }
    std::istringstream fields(line.substr(name_end + 2));
    std::string skipped;
    constexpr int fields_before_user_time = 11;
    constexpr int fields_before_resident = 8; // after system time
    for (int i = 0; i < fields_before_user_time; ++i) {
        fields >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    for (int i = 0; i < fields_before_resident; ++i) {
        fields >> skipped;
    }
    std::uint64_t pages = 0;
    fields >> pages;
    const auto ticks = static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    return {from_milliseconds(ticks * 1000.0),
            byte_count{pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE))}};
}

} // namespace endivelever::testbed
