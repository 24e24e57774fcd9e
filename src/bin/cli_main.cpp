#include "endivelever/base/log.hpp"
#include "endivelever/cli/run_command.hpp"

#include <iostream>

int main(int argc, char** argv) {
    using namespace endivelever;
    configure_logging("warning");
    const auto options = parse_cli_options({argv + 1, argv + argc});
    if (!options) {
        std::cerr << options.error().message << '\n';
        return static_cast<int>(exit_code::invalid);
    }
    try {
        return static_cast<int>(run_command(*options, std::cout, std::cerr));
    } catch (const std::exception& failure) {
        std::cerr << "unexpected response: " << failure.what() << '\n';
        return static_cast<int>(exit_code::unknown);
    }
}
