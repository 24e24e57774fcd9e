#include "endivelever/control/operator_key.hpp"

#include <array>
#include <sodium.h>

namespace endivelever {
namespace detail {

using key_digest = std::array<unsigned char, crypto_generichash_BYTES>;

key_digest digest_of(const std::string& key) {
    key_digest digest{};
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(key.data()),
                       key.size(), nullptr, 0);
    return digest;
}

} // namespace detail

const operator_settings* find_operator(const std::vector<operator_settings>& operators,
                                       const std::string& header) {
    static const std::string scheme = "Bearer ";
    if (!header.starts_with(scheme) || sodium_init() < 0) {
        return nullptr;
    }
    const auto offered = detail::digest_of(header.substr(scheme.size()));
    const operator_settings* found = nullptr;
    for (const auto& it : operators) {
        const auto expected = detail::digest_of(it.key);
        if (sodium_memcmp(offered.data(), expected.data(), expected.size()) == 0) {
            found = &it;
        }
    }
    return found;
}

} // namespace endivelever
