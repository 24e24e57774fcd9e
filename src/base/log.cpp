#include "endivelever/base/log.hpp"

#include <algorithm>
#include <array>

INITIALIZE_EASYLOGGINGPP

namespace endivelever {
namespace detail {

struct named_level {
    const char* name;
    el::Level level;
};

/// From the most to the least detailed level.
constexpr std::array<named_level, 4> levels{{{"debug", el::Level::Debug},
                                             {"info", el::Level::Info},
                                             {"warning", el::Level::Warning},
                                             {"error", el::Level::Error}}};

/// Turns off the levels below the wanted one. The library's own hierarchy is not used: it ranks Info above
/// Warning and Error, so that the level "info" would hide errors.
void disable_below(el::Configurations& conf, const std::string& wanted) {
    const bool known = std::any_of(levels.begin(), levels.end(),
                                   [&wanted](const named_level& it) { return wanted == it.name; });
    const std::string lowest = known ? wanted : "info";
    for (const auto& it : levels) {
        if (lowest == it.name) {
            return;
        }
        conf.set(it.level, el::ConfigurationType::Enabled, "false");
    }
}

} // namespace detail

bool allow_line(log_limit& limit, time_point now) {
    if (now - limit.window_start >= std::chrono::seconds(1)) {
        limit.window_start = now;
        limit.lines_in_window = 0;
    }
    if (limit.lines_in_window >= limit.lines_per_second) {
        ++limit.suppressed;
        return false;
    }
    ++limit.lines_in_window;
    return true;
}

void configure_logging(const std::string& level) {
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::ToFile, "false");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    conf.setGlobally(el::ConfigurationType::Format, "%datetime{%H:%m:%s.%g} %levshort %msg");
    detail::disable_below(conf, level);
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Loggers::reconfigureLogger("default", conf);
}

} // namespace endivelever
