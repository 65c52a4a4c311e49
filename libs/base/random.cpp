// The engine is the standard library's Mersenne twister, whose output is
// fixed by the standard. Its distributions are not, so the few that are
// needed are written out here; a seed then means the same everywhere.

#include "fennelladder/base/random.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fennelladder {

namespace {

__extension__ using wide = unsigned __int128;

constexpr int largest_doubling = 20;

} // namespace

std::uint64_t random_source::below(std::uint64_t limit)
{
    assert(limit > 0);
    const auto product = static_cast<wide>(bits()) * limit;
    return static_cast<std::uint64_t>(product >> 64U);
}

double random_source::unit()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2 to the 53rd
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
    const int doublings = std::clamp(attempt, 0, largest_doubling);
    const double grown = to_seconds(first) * std::ldexp(1.0, doublings);
    return from_seconds(random.unit() * std::min(grown, to_seconds(limit)));
}

} // namespace fennelladder
