#include "endivelever/base/log.hpp"
#include "endivelever/control/control_process.hpp"
#include "endivelever/net/event_loop.hpp"

#include <docopt/docopt.h>
#include <ev.h>
#include <exception>

namespace {

constexpr const char* usage = R"(Control process of an entry VM.

Usage:
  endivelever-control --settings=FILE
  endivelever-control (-h | --help)
  endivelever-control --version

Options:
  --settings=FILE  Settings of this VM, JSON with comments.
)";

int run(const std::string& path) {
    using namespace endivelever;
    const auto config = load_settings(path);
    if (!config) {
        LOG(ERROR) << "[control] " << config.error().message;
        return 1;
    }
    configure_logging(config->log_level);
    auto* loop = ev_default_loop(EVFLAG_AUTO);
    const auto process = control_process::open(loop, *config);
    if (!process) {
        LOG(ERROR) << "[control] " << process.error().message;
        return 1;
    }
    const stop_signal stop(loop, [&process] { (*process)->stop(); });
    LOG(INFO) << "[control] " << config->vm << " listens on " << config->feed_address << " and "
              << config->operator_address;
    ev_run(loop, 0);
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    try {
        const auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true, "endivelever-control 0.1.0");
        endivelever::configure_logging("info");
        return run(args.at("--settings").asString());
    } catch (const std::exception& ex) {
        LOG(ERROR) << "[control] " << ex.what();
        return 1;
    }
}
