// Upper bound on how stale a node's copy of platform data may be.
//
//     freshness targets;
//     targets.confirm(now);                    // the platform answered
//     targets.confirm(now - its_age - hop_allowance); // a peer has the same
//     if (targets.age(now) > limit) ...
//
// A node that received no change can't tell "nothing changed" from "the update
// was lost". It can if its copy was confirmed as current at a known time, by
// the platform or by a peer that has the same copy and reports its age.
// Ages add up over peers, so a cycle of nodes that confirm each other grows
// stale together. The transit time of a message isn't known, so each hop adds
// more than it usually takes: a cycle of sixty nodes passes an age on a
// hundred times a second and would otherwise appear fresh forever.
//
// Not thread safe.

#ifndef FENNELLADDER_MESH_FRESHNESS_HPP
#define FENNELLADDER_MESH_FRESHNESS_HPP

#include "fennelladder/base/time.hpp"

#include <algorithm>
#include <optional>

namespace fennelladder::mesh {

/// Added to an age for each message that carried it. A packet takes a few
/// milliseconds, and a host that gets an eighth of a core may read it some ten
/// milliseconds later.
inline constexpr duration hop_allowance = milliseconds(50);

class freshness
{
public:
    /// Records that the node's copy was current at `at`. Has no effect if a
    /// later confirmation is recorded.
    void confirm(instant at)
    {
        confirmed_ = std::max(confirmed_, std::optional(at));
    }

    /// Time since the latest confirmation; unset if there was none.
    std::optional<duration> age(instant now) const
    {
        if (!confirmed_)
            return std::nullopt;
        return std::max(now - *confirmed_, duration(0));
    }

private:
    std::optional<instant> confirmed_;
};

} // namespace fennelladder::mesh

#endif
