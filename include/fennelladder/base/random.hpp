// Random numbers from a seed.
//
// Deciding functions take a random_source& as an argument, so that a test or
// a bench run with the same seed decides the same.
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

    /// Any 64 bits.
    std::uint64_t bits() { return engine_(); }

    /// Uniform in [0, limit). Precondition: limit > 0.
    std::uint64_t below(std::uint64_t limit);

    /// Uniform in [0, 1).
    double unit();

    /// True with the given probability.
    bool chance(double probability) { return unit() < probability; }

    /// Exponential with the given mean.
    double exponential(double mean);

    /// A generator whose draws don't depend on how much this one is used
    /// afterwards.
    random_source fork() { return random_source(bits()); }

private:
    std::mt19937_64 engine_;
};

/// Uniform in [base / 2, base * 3 / 2): spreads what would come in step.
duration jitter(random_source& random, duration base);

/// Wait before try number `attempt` (0 is the first retry): doubles from
/// `first` up to `limit`, with full jitter.
duration backoff(random_source& random, int attempt, duration first,
                 duration limit);

} // namespace fennelladder

#endif
