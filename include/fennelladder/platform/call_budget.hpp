// Keeps a node's calls to the platform within its share of the rates.
//
// The platform counts each call, a waiting watch as one, and its rates grow
// more slowly than the fleet. A token bucket bounds the calls, and classes
// decide who gets the last ones: a lower class must leave a reserve in the
// bucket that only higher classes may use.
//
//     call_budget writes({.rate = 20, .burst = 20}, now);
//     if (writes.try_take(call_class::telemetry, now))
//         store.put(...);
//     else
//         try again at writes.ready_at(call_class::telemetry, now);
//
// Invariant: in any span of T seconds, at most burst + rate * T calls are
// let through. After the platform refused a call, the rate is halved, at most
// once in `halving_interval`, and it grows back within `recovery`.

#ifndef FENNELLADDER_PLATFORM_CALL_BUDGET_HPP
#define FENNELLADDER_PLATFORM_CALL_BUDGET_HPP

#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <string_view>

namespace fennelladder::platform {

/// What a call is for; the order is the precedence.
enum class call_class : std::uint8_t
{
    safety,   ///< Commits and read-backs that correctness waits for.
    refill,   ///< Budgets, configuration, membership.
    telemetry ///< Status reports and the like.
};

/// The stable name of a class, such as "safety".
std::string_view to_string(call_class which);

struct call_budget_options
{
    double rate = 100;  ///< Calls a second.
    double burst = 100; ///< Calls at once after a rest. At least 1.
    /// Shares of the burst that the class leaves to those above it.
    double refill_reserve = 0.2;
    double telemetry_reserve = 0.5;
    /// After refusals the rate falls to this share of it at the least.
    double least_share = 0.05;
    duration halving_interval = seconds(1);
    duration recovery = seconds(30); ///< From nothing to the full rate.
};

/// Not thread safe. Times must not decrease from call to call.
class call_budget
{
public:
    /// The bucket starts full. Precondition: rate > 0, burst >= 1.
    call_budget(call_budget_options options, instant now);

    /// Takes one call if the class may have one now.
    bool try_take(call_class which, instant now);

    /// When the class may have a call if nobody else takes one before.
    instant ready_at(call_class which, instant now) const;

    /// The platform refused a call (429 or 503).
    void on_refused(instant now);

    /// Calls a second at the moment.
    double rate(instant now) const;

private:
    double reserve(call_class which) const;
    double level(instant now) const;
    double share(instant now) const;

    call_budget_options options_;
    // The bucket's level and the share of the rate as of at_; both grow with
    // time since then, level at the share as of at_, so never too fast.
    instant at_;
    double level_;
    double share_ = 1;
    instant halved_at_;
    bool halved_ = false;
};

/// One node's share of rates that `nodes` nodes have together, less a
/// headroom for what isn't under this control. Precondition: nodes > 0.
double rate_of_node(double fleet_rate, std::uint32_t nodes,
                    double headroom = 0.2);

} // namespace fennelladder::platform

#endif
