#include "endivelever/base/result.hpp"

namespace endivelever {

error make_error(const char* prefix, int id, const std::string& text) {
    return error{id, "[" + std::string(prefix) + "." + std::to_string(id) + "] " + text};
}

} // namespace endivelever
