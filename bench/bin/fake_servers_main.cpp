#include "endivelever/base/log.hpp"
#include "endivelever/net/event_loop.hpp"
#include "testbed/fake_servers.hpp"

#include <docopt/docopt.h>
#include <ev.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr const char* usage = R"(Simulated servers, each on its own loopback port.

Usage:
  endivelever-fake-servers --servers=FILE [--control=ADDRESS] [--seed=N]
  endivelever-fake-servers (-h | --help)

Options:
  --servers=FILE     JSON document {"servers":[{"id":..., "service":...}]}.
  --control=ADDRESS  IP number and port of the control port [default: 127.0.0.1:0].
  --seed=N           Seed of the service times [default: 1].

Prints "listening 127.0.0.1:PORT" (the control port) on standard output when it is ready.
)";

std::string read_file(const std::string& path) {
    const std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char** argv) {
    using namespace endivelever;
    const auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    configure_logging("info");
    const auto specs = testbed::parse_server_specs(read_file(args.at("--servers").asString()));
    if (!specs) {
        LOG(ERROR) << "[fake] " << specs.error().message;
        return 1;
    }
    auto* loop = ev_default_loop(EVFLAG_AUTO);
    const socket_address control(args.at("--control").asString());
    const auto seed = static_cast<std::uint64_t>(args.at("--seed").asLong());
    const auto servers = testbed::fake_servers::open(loop, control, *specs, seed);
    if (!servers) {
        LOG(ERROR) << "[fake] " << servers.error().message;
        return 1;
    }
    const stop_signal stop(loop, [loop] { ev_break(loop, EVBREAK_ALL); });
    std::cout << "listening 127.0.0.1:" << (*servers)->control_port() << '\n' << std::flush;
    ev_run(loop, 0);
    return 0;
}
