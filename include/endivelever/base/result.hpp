#pragma once

#include <string>
#include <tl/expected.hpp>

namespace endivelever {

/// Error value with a stable number. The message reads "[prefix.id] what was wrong with which value".
struct error {
    int id = 0;
    std::string message;
};

/// Builds an error whose message starts with "[prefix.id] ".
/// @param prefix  part of the program, for instance "config"
/// @param id      stable number within the prefix
/// @param text    what was wrong with which value
error make_error(const char* prefix, int id, const std::string& text);

template <typename T>
using result = tl::expected<T, error>;

/// Failed result with a built error; same parameters as make_error().
inline tl::unexpected<error> fail(const char* prefix, int id, const std::string& text) {
    return tl::unexpected<error>(make_error(prefix, id, text));
}

} // namespace endivelever
