#pragma once

#include "endivelever/base/time.hpp"

#include <cstddef>

namespace endivelever {

/// Quota of a tenant over all VMs.
struct quota_limit {
    double rate = 0.0;  ///< requests per second
    double burst = 0.0; ///< requests beyond the rate

    bool operator==(const quota_limit&) const = default;
};

/// How far the requests of a tenant in a sliding window may exceed its quota. The overage and the tolerance
/// are divided: part of them covers tokens that are used after the window in which they were granted, part
/// covers requests without a grant, and part is the size of the buckets.
struct quota_bounds {
    duration window{};
    double overage = 0.0;   ///< share of the quota
    double tolerance = 0.0; ///< requests besides
};

/// Validity of a granted token from the sending of the request for it.
duration token_lifetime(const quota_bounds& bounds);

/// Tokens that a bucket gains each second. A tenant may send its rate and its burst in each window.
double bucket_rate(const quota_limit& limit, const quota_bounds& bounds);

/// Tokens that a full bucket holds.
double bucket_capacity(const quota_limit& limit, const quota_bounds& bounds);

/// Requests in a window that all VMs together may let through without a grant.
double floor_total(const quota_limit& limit, const quota_bounds& bounds);

/// Requests in a window that one VM may let through without a grant.
/// @param position  place of this VM in an order of all VMs that differs from tenant to tenant; 0 is the
/// first
std::size_t floor_of_vm(const quota_limit& limit, const quota_bounds& bounds, std::size_t position,
                        std::size_t vms);

} // namespace endivelever
