// Seeded pseudorandom numbers, jitter and backoff.
//
// Functions that make random decisions take a random_source& as an argument,
// so that test and bench runs with the same seed make the same decisions.
//
//     random_source random(seed);
//     duration wait = jitter(random, milliseconds(50));

#ifndef FENNELLADDER_BASE_RANDOM_HPP
#define FENNELLADDER_BASE_RANDOM_HPP

#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <random>

namespace fennelladder {

/// A seeded generator. Not thread safe; give each thread its own.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// Uniform over all 64-bit values.
    std::uint64_t bits() { return engine_(); }

    /// Uniform in [0, limit). Precondition: limit > 0.
    std::uint64_t below(std::uint64_t limit);

    /// Uniform in [0, 1).
    double unit();

    /// True with the given probability, from 0 to 1.
    bool chance(double probability) { return unit() < probability; }

    /// Exponentially distributed with the given mean.
    double exponential(double mean);

    /// A new generator, seeded from this one; its values don't depend on how
    /// many this one generates afterwards.
    random_source fork() { return random_source(bits()); }

private:
    std::mt19937_64 engine_;
};

/// Uniform in [base / 2, base * 3 / 2): spreads work that would otherwise
/// happen at the same time.
duration jitter(random_source& random, duration base);

/// Delay before retry number `attempt` (0 is the first retry): exponential
/// backoff from `first` up to `limit`, with full jitter.
duration backoff(random_source& random, int attempt, duration first,
                 duration limit);

} // namespace fennelladder

#endif
