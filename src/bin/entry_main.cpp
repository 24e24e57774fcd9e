#include "endivelever/base/log.hpp"
#include "endivelever/entry/entry_process.hpp"
#include "endivelever/net/event_loop.hpp"

#include <csignal>
#include <docopt/docopt.h>
#include <ev.h>
#include <iostream>

namespace {

constexpr const char* usage =
    R"(Data path of one entry VM.

Usage:
  endivelever-entry --settings=FILE
  endivelever-entry --version
  endivelever-entry (-h | --help)

Options:
  --settings=FILE  Settings of this VM, JSON with comments.
)";
constexpr const char* version = "endivelever-entry 0.1.0";

} // namespace

int main(int argc, char** argv) {
    using namespace endivelever;
    const auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true, version);
    auto conf = load_settings(args.at("--settings").asString());
    if (!conf) {
        std::cerr << conf.error().message << '\n';
        return 2;
    }
    configure_logging(conf->log_level);
    std::signal(SIGPIPE, SIG_IGN);
    auto* loop = ev_default_loop(EVFLAG_AUTO);
    const auto process = entry_process::open(loop, std::move(*conf));
    if (!process) {
        LOG(ERROR) << "[entry] " << process.error().message;
        return 1;
    }
    const stop_signal on_stop(loop, [&process] { (*process)->stop(); });
    LOG(INFO) << "[entry] started";
    ev_run(loop, 0);
    return 0;
}
