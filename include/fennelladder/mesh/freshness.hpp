// How old what a node knows of the platform may be.
//
//     freshness targets;
//     targets.confirm(now);                    // the platform answered
//     targets.confirm(now - its_age - hop_allowance); // a peer has the same
//     if (targets.age(now) > limit) ...
//
// A node that has heard of no change can't tell "nothing changed" from "nobody
// told me". It can if what it has was confirmed as the newest at a known time,
// by the platform or by a peer that has the same and says how old that is.
// Ages add up over peers, so a circle of nodes that confirm each other grows
// old together. The time that a message was under way isn't known; each hop
// counts as more than it usually takes, since a circle of sixty nodes passes
// an age on a hundred times a second, and would stay young otherwise.
//
// Not thread safe.

#ifndef FENNELLADDER_MESH_FRESHNESS_HPP
#define FENNELLADDER_MESH_FRESHNESS_HPP

#include "fennelladder/base/time.hpp"

#include <algorithm>
#include <optional>

namespace fennelladder::mesh {

/// Added to an age for each message that carried it. A packet takes a few
/// milliseconds, and a host that gets an eighth of a core may leave it lying
/// for some ten more.
inline constexpr duration hop_allowance = milliseconds(50);

class freshness
{
public:
    /// What the node knows was the newest at `at`. Earlier confirmations than
    /// the latest change nothing.
    void confirm(instant at)
    {
        confirmed_ = std::max(confirmed_, std::optional(at));
    }

    /// Time since the latest confirmation; none if there was none.
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
