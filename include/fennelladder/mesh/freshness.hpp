// How old what a node knows of the platform may be.
//
//     freshness targets;
//     targets.confirm(now);                    // the platform answered
//     targets.confirm(now - age_at_the_peer);  // a peer knows the same
//     if (targets.age(now) > limit) ...
//
// A node that has heard of no change can't tell "nothing changed" from "nobody
// told me". It can if what it has was confirmed as the newest at a known time,
// by the platform or by a peer that has the same and says how old that is.
// Ages add up over peers, so a circle of nodes that confirm each other grows
// old together.
//
// Not thread safe.

#ifndef FENNELLADDER_MESH_FRESHNESS_HPP
#define FENNELLADDER_MESH_FRESHNESS_HPP

#include "fennelladder/base/time.hpp"

#include <algorithm>
#include <optional>

namespace fennelladder::mesh {

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
