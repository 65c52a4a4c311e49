#include "fennelladder/mesh/watch_policy.hpp"

#include "fennelladder/base/part_of.hpp"

#include "fennelladder/mesh/freshness.hpp"

#include <algorithm>
#include <cmath>

namespace fennelladder::mesh {

namespace {

/// Fraction of the bound. A watch call that stalls is detected half a second
/// after its timeout, and a third of the bound leaves time for a second attempt
/// and for passing the answer on.
constexpr double watch_timeout_fraction = 1.0 / 3;

/// Fraction of the bound. Times max_limit_factor this is three quarters; the
/// rest is left for the call and for its answer. In a healthy fleet data is as
/// old as a watch timeout plus the transit of a heartbeat, about 0.4 of the
/// bound.
constexpr double stale_fraction = 0.6;

/// The same for bulk: half of a bound of three seconds, times max_limit_factor,
/// leaves a small host the second that it needs. The limit is no less than the
/// age in a healthy fleet: a watch timeout plus 0.2 to 0.35 s between
/// heartbeats.
constexpr double stale_bulk_fraction = 0.5;
constexpr duration heartbeat_transit = milliseconds(500);

/// Fraction of the bound, which is two to three seconds. A small host needs a
/// second from its request until the configuration is in force.
constexpr double overdue_fraction = 1.0 / 3;

/// Smallest factor of small hosts, and the spread of the factors of a few large
/// ones. The gap between the two is a tenth of a second at the smallest limit
/// in use, which is what a large host needs for a listing of a megabyte.
constexpr double min_small_factor = 1.15;
constexpr double min_large_spread = 0.05;

/// The delay doubles with each failure in a row. A call over a good connection
/// takes some ten milliseconds.
constexpr duration initial_retry_delay = milliseconds(100);
constexpr duration max_ranked_retry_delay = seconds(1);
constexpr duration max_retry_delay = milliseconds(1500);
constexpr int max_doublings = 6;

/// Probability that a substitute stops when it learns of another watcher.
constexpr double substitute_stop_chance = 0.5;

} // namespace

staleness_limits staleness_limits_for(duration bound, update_size size)
{
    staleness_limits out;
    out.watch_timeout = part_of(bound, watch_timeout_fraction);
    out.stale_after = part_of(bound, stale_fraction);
    out.overdue_after = part_of(bound, overdue_fraction);
    if (size == update_size::bulk)
        out.stale_after = std::max(part_of(bound, stale_bulk_fraction),
                                   out.watch_timeout + heartbeat_transit);
    return out;
}

double limit_factor(const size_class& size, double draw)
{
    if (!size.large)
        return min_small_factor + draw * (max_limit_factor - min_small_factor);
    const double spread = std::max(
        min_large_spread, size.large_fraction * (max_limit_factor - 1));
    return 1 + draw * spread;
}

watch_policy::watch_policy(staleness_limits limits, double draw)
    : limits_(limits), draw_(std::clamp(draw, 0.0, 1.0))
{}

bool watch_policy::is_stale(const watch_inputs& inputs) const
{
    const double factor = limit_factor(inputs.size, draw_);
    return inputs.age > part_of(limits_.stale_after, factor) ||
           inputs.announced_for > part_of(limits_.overdue_after, factor);
}

watch_reason watch_policy::decide(const watch_inputs& inputs)
{
    reason_ = watch_reason::none;
    if (inputs.rank < watcher_count)
        reason_ = watch_reason::ranked;
    else if (!inputs.age)
        reason_ = watch_reason::unknown;
    else if (is_substitute_ || is_stale(inputs))
        reason_ = watch_reason::stale;
    if (reason_ != watch_reason::stale)
        is_substitute_ = false;
    return reason_;
}

void watch_policy::record_success(duration elapsed, std::optional<duration> age,
                                  random_source& random)
{
    if (reason_ != watch_reason::stale)
        return;
    if (!is_substitute_) {
        is_substitute_ = true;
        return;
    }
    const bool others_answered = age && *age + hop_allowance < elapsed;
    if (others_answered && random.chance(substitute_stop_chance))
        is_substitute_ = false;
}

duration retry_delay(random_source& random, int failures, watch_reason reason)
{
    const duration max_delay = reason == watch_reason::ranked
                                   ? max_ranked_retry_delay
                                   : max_retry_delay;
    const int doublings = std::clamp(failures - 1, 0, max_doublings);
    const double backoff =
        std::min(std::ldexp(to_seconds(initial_retry_delay), doublings),
                 to_seconds(max_delay));
    return from_seconds(backoff * (1 + random.unit()) / 2);
}

} // namespace fennelladder::mesh
