// Whether a node asks the platform itself for one kind of news.
//
//     watch_policy duty(staleness_limits_for(bound, update_size::bulk),
//     random.unit()); switch (duty.decide({.rank = rank, .age =
//     freshness.age(now)})) ... duty.record_success(...); // or
//     record_failure()
//
// In a calm fleet the two nodes that rank first watch and all others hear of
// it from them. That is thrift, and nothing rests on it: the order is made of
// what nodes last said, so those that come first may be dead, frozen or cut
// off for seconds before anybody knows. What a node can tell for itself is how
// old its knowledge is. Where that is too old it asks, whatever its rank.
//
// Two watchers suffice: the second covers the first, and the loss of both
// costs the limit on age, which leaves a part of the bound to ask and to pass
// the answer on. A third one costs half as many calls again in every calm
// second.
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

/// Nodes that watch each kind while all is well.
inline constexpr std::size_t watcher_count = 2;

/// Each node multiplies its limits by its own factor from 1 to this, so that
/// one asks first and the others hear its answer.
inline constexpr double max_limit_factor = 1.25;

/// This node's factor; `draw` is its own, from 0 to 1. A large host has a
/// megabyte in a tenth of a second, a small one in one, which is longer than
/// all factors differ: so the large ones are done before a small one begins.
/// The more of the fleet is large, the further their own factors lie apart.
double limit_factor(const size_class& size, double draw);

/// How long things may take where news have to be in force within a bound.
struct staleness_limits
{
    duration watch_timeout; ///< A watch without news is answered after this.
    duration stale_after;   ///< What is older has to be asked for.
    /// What was announced and didn't come has to be asked for.
    duration overdue_after;
};

/// How much an answer about everything brings.
enum class update_size : std::uint8_t
{
    packets, ///< Targets: there at once.
    bulk     ///< Configuration: a small host needs a second for it.
};

/// The limits that follow from the deployment's bound.
staleness_limits staleness_limits_for(duration bound, update_size size);

/// Why a node asks.
enum class watch_reason : std::uint8_t
{
    none,
    unknown, ///< It knows nothing yet.
    ranked,  ///< It ranks among the first.
    stale    ///< What it knows is old, or was until it asked.
};

/// What a decision rests on.
struct watch_inputs
{
    std::size_t rank = 0;
    /// Of what this node knows; none if it never was known to be the newest.
    std::optional<duration> age;
    /// Since a newer one was heard of that isn't here yet.
    std::optional<duration> announced_for;
    size_class size;
};

class watch_policy
{
public:
    /// `draw` is this node's own for its factor, from 0 to 1.
    watch_policy(staleness_limits limits, double draw);

    watch_reason decide(const watch_inputs& view);

    /// The platform answered a call begun `elapsed` ago; `age` is that of
    /// what was known just before. A node that asked because its news were
    /// old stays on as a watcher, since those that should watch don't; when it
    /// hears that others do, it leaves, each time with even chances, so that
    /// of many some stay.
    void record_success(duration elapsed, std::optional<duration> age,
                        random_source& random);

    /// A call failed: this node is no use as a watcher.
    void record_failure() { standing_in_ = false; }

private:
    bool is_stale(const watch_inputs& view) const;

    staleness_limits limits_;
    double draw_;
    watch_reason reason_ = watch_reason::none;
    bool standing_in_ = false;
};

/// Before the next try, after so many failures in a row (from 1). Those that
/// rank first try more often; for the others the longest pause and the limit
/// on connecting make up two seconds, in which a platform that is back is
/// noticed.
duration retry_delay(random_source& random, int failures, watch_reason reason);

/// Whether a node whose last call failed should try one that costs little,
/// `rank_if_reached` being its rank if the platform answered. Without it the
/// large hosts would stay behind the small ones after a cut that has long
/// ended, since nothing else makes them call.
constexpr bool should_probe(bool reached, std::size_t rank_if_reached)
{
    return !reached && rank_if_reached < watcher_count;
}

} // namespace fennelladder::mesh

#endif
