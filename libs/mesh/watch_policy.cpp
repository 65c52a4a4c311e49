#include "fennelladder/mesh/watch_policy.hpp"

#include "fennelladder/base/part_of.hpp"

#include "fennelladder/mesh/freshness.hpp"

#include <algorithm>
#include <cmath>

namespace fennelladder::mesh {

namespace {

/// Of the bound. A watch that falls silent is noticed half a second after its
/// wait, and a third leaves time for a second try and the way to the others.
constexpr double watch_share = 1.0 / 3;

/// Of the bound. Times the largest spread that is three quarters; the rest is
/// for the call and for what it brings. In a calm fleet news are as old as a
/// watch's wait and the way of a beacon, about 0.4.
constexpr double stale_share = 0.6;

/// The same for bulk: half, times the largest spread, leaves a small host the
/// second that it needs, where the bound is three. But no less than the age in
/// a calm fleet: a watch's wait, and 0.2 to 0.35 s from beacon to beacon.
constexpr double stale_bulk_share = 0.5;
constexpr duration way_of_beacons = milliseconds(500);

/// Of the bound. A small host needs a second from its question to the
/// configuration in force, of the two to three that the bound is.
constexpr double overdue_share = 1.0 / 3;

/// Where the factors of small hosts begin, and how far those of a few large
/// ones lie apart. A tenth of a second between them, at the smallest limit in
/// use, is what a large host needs for a listing of a megabyte.
constexpr double small_from = 1.15;
constexpr double large_width = 0.05;

/// Doubled with each failure in a row. A call over a good connection takes
/// some ten milliseconds.
constexpr duration first_pause = milliseconds(100);
constexpr duration longest_ranked_pause = seconds(1);
constexpr duration longest_pause = milliseconds(1500);
constexpr int most_doublings = 6;

/// That a stand-in leaves when it hears of another watcher.
constexpr double leave_chance = 0.5;

} // namespace

staleness_limits staleness_limits_for(duration bound, update_size size)
{
    staleness_limits out;
    out.watch_timeout = part_of(bound, watch_share);
    out.stale_after = part_of(bound, stale_share);
    out.overdue_after = part_of(bound, overdue_share);
    if (size == update_size::bulk)
        out.stale_after = std::max(part_of(bound, stale_bulk_share),
                                   out.watch_timeout + way_of_beacons);
    return out;
}

double limit_factor(const size_class& size, double draw)
{
    if (!size.large)
        return small_from + draw * (max_limit_factor - small_from);
    const double width =
        std::max(large_width, size.large_fraction * (max_limit_factor - 1));
    return 1 + draw * width;
}

watch_policy::watch_policy(staleness_limits limits, double draw)
    : limits_(limits), draw_(std::clamp(draw, 0.0, 1.0))
{}

bool watch_policy::is_stale(const watch_inputs& view) const
{
    const double factor = limit_factor(view.size, draw_);
    return view.age > part_of(limits_.stale_after, factor) ||
           view.announced_for > part_of(limits_.overdue_after, factor);
}

watch_reason watch_policy::decide(const watch_inputs& view)
{
    reason_ = watch_reason::none;
    if (view.rank < watcher_count)
        reason_ = watch_reason::ranked;
    else if (!view.age)
        reason_ = watch_reason::unknown;
    else if (standing_in_ || is_stale(view))
        reason_ = watch_reason::stale;
    if (reason_ != watch_reason::stale)
        standing_in_ = false;
    return reason_;
}

void watch_policy::record_success(duration elapsed, std::optional<duration> age,
                                  random_source& random)
{
    if (reason_ != watch_reason::stale)
        return;
    if (!standing_in_) {
        standing_in_ = true;
        return;
    }
    const bool others_answered = age && *age + hop_allowance < elapsed;
    if (others_answered && random.chance(leave_chance))
        standing_in_ = false;
}

duration retry_delay(random_source& random, int failures, watch_reason reason)
{
    const duration longest =
        reason == watch_reason::ranked ? longest_ranked_pause : longest_pause;
    const int doublings = std::clamp(failures - 1, 0, most_doublings);
    const double grown = std::min(
        std::ldexp(to_seconds(first_pause), doublings), to_seconds(longest));
    return from_seconds(grown * (1 + random.unit()) / 2);
}

} // namespace fennelladder::mesh
