#include "endivelever/decide/quota_bounds.hpp"

#include <algorithm>

namespace endivelever {
namespace {

// Shares of the overage; they must not sum to more than 1.
constexpr double lifetime_overage_share = 0.2;
constexpr double bucket_overage_share = 0.55;
constexpr double floor_overage_share = 0.2;
// Shares of the tolerance; they must not sum to more than 1.
constexpr double bucket_tolerance_share = 0.85;
constexpr double floor_tolerance_share = 0.1;

/// Requests that the quota allows in one window.
double window_quota(const quota_limit& limit, const quota_bounds& bounds) {
    return limit.rate * to_seconds(bounds.window) + limit.burst;
}

} // namespace

double bucket_rate(const quota_limit& limit, const quota_bounds& bounds) {
    return window_quota(limit, bounds) / to_seconds(bounds.window);
}

duration token_lifetime(const quota_bounds& bounds) {
    return from_milliseconds(lifetime_overage_share * bounds.overage * to_milliseconds(bounds.window));
}

double bucket_capacity(const quota_limit& limit, const quota_bounds& bounds) {
    return bucket_overage_share * bounds.overage * window_quota(limit, bounds) +
           bucket_tolerance_share * bounds.tolerance;
}

double floor_total(const quota_limit& limit, const quota_bounds& bounds) {
    return floor_overage_share * bounds.overage * window_quota(limit, bounds) +
           floor_tolerance_share * bounds.tolerance;
}

std::size_t floor_of_vm(const quota_limit& limit, const quota_bounds& bounds, std::size_t position,
                        std::size_t vms) {
    const auto total = static_cast<std::size_t>(floor_total(limit, bounds));
    vms = std::max<std::size_t>(1, vms);
    return total / vms + (position < total % vms ? 1 : 0);
}

} // namespace endivelever
