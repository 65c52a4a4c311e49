// How much of something passes a second, lately.
//
//     decaying_rate spending(seconds(4));
//     spending.add(1'200, now);
//     double a_second = spending.at(now);
//
// What passed counts for less the longer it is ago, and is divided by the part
// of that fading past that was seen at all: without that, what has just begun
// would seem to pass at a fraction of its rate.
//
// Cost: three words. Not thread safe.

#ifndef FENNELLADDER_BASE_DECAYING_RATE_HPP
#define FENNELLADDER_BASE_DECAYING_RATE_HPP

#include "fennelladder/base/time.hpp"

#include <optional>

namespace fennelladder {

class decaying_rate
{
public:
    /// In a time of `memory` without anything the rate falls to 1/e.
    explicit decaying_rate(duration memory) : memory_(memory) {}

    /// Notes what passed, or, if negative, what didn't pass after all.
    void add(double amount, instant now);

    /// A second, never negative; 0 until something was added.
    double at(instant now) const;

private:
    double decayed(instant now) const;

    duration memory_;
    double sum_ = 0; ///< As of `changed_`.
    instant changed_;
    std::optional<instant> first_;
};

} // namespace fennelladder

#endif
