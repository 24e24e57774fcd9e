#include "endivelever/base/log.hpp"
#include "endivelever/net/event_loop.hpp"
#include "testbed/fake_platform.hpp"

#include <docopt/docopt.h>
#include <ev.h>
#include <iostream>

namespace {

constexpr const char* usage = R"(Fake object store and VM list.

Usage:
  endivelever-fake-platform [--listen=ADDRESS]
  endivelever-fake-platform (-h | --help)

Options:
  --listen=ADDRESS  IP number and port [default: 127.0.0.1:0].

Prints "listening 127.0.0.1:PORT" on standard output when it is ready.
)";

} // namespace

int main(int argc, char** argv) {
    using namespace endivelever;
    const auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    configure_logging("info");
    auto* loop = ev_default_loop(EVFLAG_AUTO);
    const auto platform = testbed::fake_platform::open(loop, socket_address(args.at("--listen").asString()));
    if (!platform) {
        LOG(ERROR) << "[fake] " << platform.error().message;
        return 1;
    }
    const stop_signal stop(loop, [loop] { ev_break(loop, EVBREAK_ALL); });
    std::cout << "listening 127.0.0.1:" << (*platform)->port() << '\n' << std::flush;
    ev_run(loop, 0);
    return 0;
}
