// The C++ standard fixes the output of std::mt19937_64, but not that of its
// distributions. The few distributions needed are therefore implemented here,
// so that a seed gives the same values with every standard library.

#include "fennelladder/base/random.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fennelladder {

namespace {

__extension__ using uint128 = unsigned __int128;

constexpr int max_doublings = 20;

} // namespace

std::uint64_t random_source::below(std::uint64_t limit)
{
    assert(limit > 0);
    const auto product = static_cast<uint128>(bits()) * limit;
    return static_cast<std::uint64_t>(product >> 64U);
}

double random_source::unit()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^53
    return static_cast<double>(bits() >> 11U) * scale;
}

double random_source::exponential(double mean)
{
    return -mean * std::log1p(-unit());
}

duration jitter(random_source& random, duration base)
{
    return from_seconds(to_seconds(base) * (0.5 + random.unit()));
}

duration backoff(random_source& random, int attempt, duration first,
                 duration limit)
{
    const int doublings = std::clamp(attempt, 0, max_doublings);
    const double unjittered_seconds =
        to_seconds(first) * std::ldexp(1.0, doublings);
    return from_seconds(random.unit() *
                        std::min(unjittered_seconds, to_seconds(limit)));
}

} // namespace fennelladder
