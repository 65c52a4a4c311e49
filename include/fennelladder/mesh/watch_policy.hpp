// Decides whether a node polls the platform itself for one kind of update.
//
//     watch_policy policy(staleness_limits_for(bound, update_size::bulk),
//                         random.unit());
//     switch (policy.decide({.rank = rank, .age = freshness.age(now)})) ...
//     policy.record_success(...);              // or record_failure()
//
// In a healthy fleet the two nodes that rank first watch the platform, and all
// others receive updates from them. This only saves calls; correctness doesn't
// depend on it: the order is computed from the nodes' latest heartbeats, so
// those that rank first may be dead, frozen or partitioned for seconds before
// it is noticed. What a node can determine on its own is the age of its data.
// If that is too old, it asks the platform, whatever its rank.
//
// Two watchers suffice: the second covers the first, and if both are lost, the
// others notice at the age limit, which leaves a part of the bound to ask and
// to pass the answer on. A third one would add half as many calls again at all
// times.
//
// Pure: time, ages and random numbers are arguments. Not thread safe.

#ifndef FENNELLADDER_MESH_WATCH_POLICY_HPP
#define FENNELLADDER_MESH_WATCH_POLICY_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/mesh/peer_view.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace fennelladder::mesh {

/// Nodes that watch each kind in a healthy fleet.
inline constexpr std::size_t watcher_count = 2;

/// Each node multiplies its limits by its own factor between 1 and this, so
/// that one node asks first and the others receive its answer.
inline constexpr double max_limit_factor = 1.25;

/// This node's factor; `draw` is its random number from 0 to 1. A large host
/// fetches a megabyte in a tenth of a second, a small one in a second, which is
/// more than the factors differ: the factors therefore let large hosts finish
/// before a small one starts. The larger the fraction of large hosts, the
/// further their factors are spread.
double limit_factor(const size_class& size, double draw);

/// Time limits for updates that have to be in force within a bound.
struct staleness_limits
{
    /// Longest duration of a watch call without an update.
    duration watch_timeout;
    duration stale_after; ///< Age above which data has to be requested.
    /// Time after which an update that was announced and didn't arrive has to
    /// be requested.
    duration overdue_after;
};

/// Size of a full answer.
enum class update_size : std::uint8_t
{
    packets, ///< Targets: a few packets.
    bulk     ///< Configuration: takes a small host a second.
};

/// Derives the limits from the deployment's bound.
staleness_limits staleness_limits_for(duration bound, update_size size);

/// Why a node asks the platform.
enum class watch_reason : std::uint8_t
{
    none,
    unknown, ///< It has no data yet.
    ranked,  ///< It ranks among the first.
    stale    ///< Its data is stale, or was until it asked.
};

/// Inputs of decide().
struct watch_inputs
{
    std::size_t rank = 0;
    /// Age of this node's data; unset if it was never confirmed as current.
    std::optional<duration> age;
    /// Time since a newer version was announced that hasn't arrived.
    std::optional<duration> announced_for;
    size_class size;
};

class watch_policy
{
public:
    /// `draw` is this node's random number for its factor, from 0 to 1.
    watch_policy(staleness_limits limits, double draw);

    watch_reason decide(const watch_inputs& inputs);

    /// Records that the platform answered a call begun `elapsed` ago; `age` is
    /// the age of this node's data just before the answer. A node that asked
    /// because its data was stale stays on as a substitute watcher, since the
    /// ranked ones don't watch. Each time it learns that others watch, it stops
    /// with a probability of one half, so that some of many substitutes stay.
    void record_success(duration elapsed, std::optional<duration> age,
                        random_source& random);

    /// Records a failed call: this node can't act as a watcher.
    void record_failure() { is_substitute_ = false; }

private:
    bool is_stale(const watch_inputs& inputs) const;

    staleness_limits limits_;
    double draw_;
    watch_reason reason_ = watch_reason::none;
    bool is_substitute_ = false;
};

/// Delay before the next attempt, after `failures` failures in a row (from 1).
/// Nodes that rank first retry more often. For the others the longest delay and
/// the connect timeout add up to two seconds, within which a recovered platform
/// is noticed.
duration retry_delay(random_source& random, int failures, watch_reason reason);

/// Whether a node whose last call failed should probe the platform with a cheap
/// call; `rank_if_reached` is its rank if the platform answered. Without
/// probes, large hosts would keep ranking behind small ones long after a
/// partition has healed, since nothing else makes them call.
constexpr bool should_probe(bool reached, std::size_t rank_if_reached)
{
    return !reached && rank_if_reached < watcher_count;
}

} // namespace fennelladder::mesh

#endif
