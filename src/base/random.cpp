#include "endivelever/base/random.hpp"

#include <random>

namespace endivelever {

random_source make_random_source() {
    std::random_device device;
    const auto word = [&device] { return (static_cast<std::uint64_t>(device()) << 32U) | device(); };
    const auto seed = word();
    const auto stream = word();
    return {seed, stream};
}

std::string random_hex(random_source& random, int digits) {
    constexpr const char* alphabet = "0123456789abcdef";
    std::string text;
    for (int i = 0; i < digits; ++i) {
        text.push_back(alphabet[random_below(random, 16)]);
    }
    return text;
}

} // namespace endivelever
