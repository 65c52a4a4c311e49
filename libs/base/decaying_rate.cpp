#include "fennelladder/base/decaying_rate.hpp"

#include <algorithm>
#include <cmath>

namespace fennelladder {

namespace {

/// A rate over less time than this says nothing.
constexpr double least_seen_seconds = 1;

} // namespace

double decaying_rate::decayed(instant now) const
{
    const double spans = to_seconds(now - changed_) / to_seconds(memory_);
    return sum_ * std::exp(-std::max(spans, 0.0));
}

void decaying_rate::add(double amount, instant now)
{
    if (!first_)
        first_ = now;
    sum_ = std::max(decayed(now) + amount, 0.0);
    changed_ = now;
}

double decaying_rate::at(instant now) const
{
    if (!first_)
        return 0;
    const double memory = to_seconds(memory_);
    const double seen = std::max(to_seconds(now - *first_), least_seen_seconds);
    const double part = 1 - std::exp(-seen / memory);
    return decayed(now) / (memory * part);
}

} // namespace fennelladder
