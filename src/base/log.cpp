#include "endivelever/base/log.hpp"

INITIALIZE_EASYLOGGINGPP

namespace endivelever {
namespace detail {

el::Level level_of(const std::string& level) {
    if (level == "debug") {
        return el::Level::Debug;
    }
    if (level == "warning") {
        return el::Level::Warning;
    }
    if (level == "error") {
        return el::Level::Error;
    }
    return el::Level::Info;
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
    el::Loggers::addFlag(el::LoggingFlag::HierarchicalLogging);
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Loggers::reconfigureLogger("default", conf);
    el::Loggers::setLoggingLevel(detail::level_of(level));
}

} // namespace endivelever
