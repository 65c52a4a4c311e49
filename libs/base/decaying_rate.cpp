#include "fennelladder/base/decaying_rate.hpp"

#include <algorithm>
#include <cmath>

namespace fennelladder {

namespace {

/// Shorter observations count as this long: a rate over less time is
/// meaningless.
constexpr double min_observed_seconds = 1;

} // namespace

double decaying_rate::decayed_sum(instant now) const
{
    const double elapsed_time_constants =
        to_seconds(now - updated_at_) / to_seconds(time_constant_);
    return sum_ * std::exp(-std::max(elapsed_time_constants, 0.0));
}

void decaying_rate::add(double amount, instant now)
{
    if (!first_added_at_)
        first_added_at_ = now;
    sum_ = std::max(decayed_sum(now) + amount, 0.0);
    updated_at_ = now;
}

double decaying_rate::at(instant now) const
{
    if (!first_added_at_)
        return 0;
    const double time_constant = to_seconds(time_constant_);
    const double observed =
        std::max(to_seconds(now - *first_added_at_), min_observed_seconds);
    const double observed_weight = 1 - std::exp(-observed / time_constant);
    return decayed_sum(now) / (time_constant * observed_weight);
}

} // namespace fennelladder
