#pragma once

#include "endivelever/config/routing.hpp"

#include <array>
#include <string_view>
#include <unordered_map>

namespace endivelever {

/// Digest of a key. It is keyed with a random value of the process, so that callers cannot choose keys whose
/// digests collide.
using key_digest = std::array<unsigned char, 32>;

struct key_digest_hash {
    std::size_t operator()(const key_digest& digest) const;
};

/// Tenants of one configuration by the digests of their keys. The duration of a lookup does not depend on how
/// much of a key is right.
struct tenant_directory {
    // The pointers refer to the configuration.
    std::unordered_map<key_digest, const tenant_config*, key_digest_hash> by_key;
    std::unordered_map<std::uint64_t, const tenant_config*> by_hash; ///< by hash_of() of the tenant's id
};

/// Builds the directory of a configuration, which must outlive it.
tenant_directory make_tenant_directory(const routing_config& config);

/// @return the tenant that holds the key, or nullptr
const tenant_config* find_tenant(const tenant_directory& directory, std::string_view key);

/// Hash of a tenant's id, the same on all VMs.
std::uint64_t hash_of(const tenant_id& tenant);

/// Extracts the key from the value of an Authorization header: the scheme "Bearer" in any case, blanks and
/// the key.
/// @return the key; empty if the value has another form
std::string_view bearer_key(std::string_view authorization);

} // namespace endivelever
