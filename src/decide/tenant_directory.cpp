#include "endivelever/decide/tenant_directory.hpp"

#include <algorithm>
#include <cstring>
#include <sodium.h>
#include <xxhash.h>

namespace endivelever {
namespace {

constexpr std::string_view bearer_scheme = "bearer";

const std::array<unsigned char, crypto_generichash_KEYBYTES>& process_secret() {
    static const auto secret = [] {
        std::array<unsigned char, crypto_generichash_KEYBYTES> bytes{};
        randombytes_buf(bytes.data(), bytes.size());
        return bytes;
    }();
    return secret;
}

key_digest digest_of(std::string_view key) {
    key_digest digest{};
    const auto& secret = process_secret();
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(key.data()),
                       key.size(), secret.data(), secret.size());
    return digest;
}

char to_lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

std::size_t key_digest_hash::operator()(const key_digest& digest) const {
    std::size_t value = 0;
    std::memcpy(&value, digest.data(), sizeof value);
    return value;
}

tenant_directory make_tenant_directory(const routing_config& config) {
    tenant_directory directory;
    for (const auto& tenant : config.tenants) {
        directory.by_hash.emplace(hash_of(tenant.id), &tenant);
        for (const auto& key : tenant.keys) {
            directory.by_key.emplace(digest_of(key), &tenant);
        }
    }
    return directory;
}

const tenant_config* find_tenant(const tenant_directory& directory, std::string_view key) {
    const auto found = directory.by_key.find(digest_of(key));
    return found == directory.by_key.end() ? nullptr : found->second;
}

std::uint64_t hash_of(const tenant_id& tenant) {
    return XXH3_64bits(tenant.text.data(), tenant.text.size());
}

std::string_view bearer_key(std::string_view authorization) {
    const auto scheme_end = authorization.find(' ');
    if (scheme_end == std::string_view::npos ||
        !std::equal(bearer_scheme.begin(), bearer_scheme.end(), authorization.begin(),
                    authorization.begin() + static_cast<std::ptrdiff_t>(scheme_end),
                    [](char expected, char c) { return expected == to_lower(c); })) {
        return {};
    }
    const auto begin = authorization.find_first_not_of(' ', scheme_end);
    return begin == std::string_view::npos ? std::string_view() : authorization.substr(begin);
}

} // namespace endivelever
