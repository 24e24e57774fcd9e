#include "endivelever/net/percent_encoding.hpp"

#include <curl/curl.h>

#include <memory>

namespace endivelever {

std::string percent_encode(std::string_view text) {
    if (text.empty()) {
        return {}; // libcurl takes the length 0 for "up to the terminating zero"
    }
    const std::unique_ptr<char, decltype(&curl_free)> encoded(
        curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free);
    return encoded == nullptr ? std::string() : std::string(encoded.get());
}

} // namespace endivelever
