#include "endivelever/decide/caller_deadline.hpp"

namespace endivelever {
namespace {

// Part of the deadlines that are below deadline_profile::low. It exceeds the part of repeated requests in
// calm times.
constexpr double low_quantile = 0.05;
constexpr double typical_quantile = 0.5;
// Relative change of a quantile by one deadline. Repeated requests during a short overload hardly move it.
constexpr double step = 0.02;
// Weight of a repeated request in the low quantile. It lets the profile follow deadlines that became shorter.
constexpr double repeated_weight = 0.25;
// Deadlines closer to the low quantile than this may belong to first attempts.
constexpr double tolerance = 0.03;

/// Moves an estimate of a quantile towards the quantile.
void track(duration& estimate, double quantile, duration value, double weight) {
    const double change = step * weight * (value < estimate ? quantile - 1.0 : quantile);
    estimate += duration(static_cast<duration::rep>(static_cast<double>(estimate.count()) * change));
}

} // namespace

duration estimate_prior_time(deadline_profile& profile, duration deadline) {
    if (profile.low == duration::zero()) {
        profile.low = deadline;
        profile.typical = deadline;
    }
    const bool repeated = to_seconds(deadline) < (1.0 - tolerance) * to_seconds(profile.low);
    const auto spent = repeated ? profile.low - deadline : duration::zero();
    const double weight = repeated ? repeated_weight : 1.0;
    track(profile.low, low_quantile, deadline, weight);
    track(profile.typical, typical_quantile, deadline, weight);
    return spent > duration::zero() ? spent : duration::zero();
}

} // namespace endivelever
