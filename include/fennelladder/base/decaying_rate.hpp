// Exponentially weighted estimate of a rate per second.
//
//     decaying_rate spending(seconds(4));
//     spending.add(1'200, now);
//     double a_second = spending.at(now);
//
// Older amounts weigh less. The weighted sum is divided by the weight of the
// time observed since the first amount, not by that of an infinite past, which
// would underestimate the rate shortly after the start.
//
// Size: five words. Not thread safe.

#ifndef FENNELLADDER_BASE_DECAYING_RATE_HPP
#define FENNELLADDER_BASE_DECAYING_RATE_HPP

#include "fennelladder/base/time.hpp"

#include <optional>

namespace fennelladder {

class decaying_rate
{
public:
    /// After `time_constant` without amounts the rate has fallen to 1/e.
    explicit decaying_rate(duration time_constant)
        : time_constant_(time_constant)
    {}

    /// Adds an amount; a negative one takes back an amount added before.
    void add(double amount, instant now);

    /// The rate per second: never negative, and 0 before the first add().
    double at(instant now) const;

private:
    double decayed_sum(instant now) const;

    duration time_constant_;
    double sum_ = 0; ///< Weighted sum as of `updated_at_`.
    instant updated_at_;
    std::optional<instant> first_added_at_;
};

} // namespace fennelladder

#endif
