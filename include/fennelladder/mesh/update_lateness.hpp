// Detects that updates reach this host too late for it to route requests.
//
//     update_lateness lateness(bound);
//     lateness.note(delay, now);                       // of each heartbeat
//     if (lateness.is_late(age_of_targets, now)) ...   // refuse: not run
//
// When callers send a small host more than its link carries, everything it
// receives is queued for seconds, answers of the platform included. The host
// would send requests to targets that left longer ago than the bound allows,
// and no query could tell it in time. It then accepts no new work and tells
// callers to use other hosts, which also relieves its link.
//
// Late means that updates were within the bound when sent and exceed it on
// arrival. Updates that are stale for every node, since the platform is
// unreachable, don't count: the whole fleet would stop. Nor does receiving
// nothing: a host that is partitioned serves its callers from what it has.
//
// Not thread safe.

#ifndef FENNELLADDER_MESH_UPDATE_LATENESS_HPP
#define FENNELLADDER_MESH_UPDATE_LATENESS_HPP

#include "fennelladder/base/time.hpp"

#include <optional>

namespace fennelladder::mesh {

class update_lateness
{
public:
    /// Updates have to be in force within `bound`.
    explicit update_lateness(duration bound) : bound_(bound) {}

    /// Records a message whose transit took `delay` longer than usual.
    void note(duration delay, instant now);

    /// Whether data confirmed `age` ago is too old because of transit delay. An
    /// unknown age is not late.
    bool is_late(std::optional<duration> age, instant now) const;

    /// Whether data confirmed `age` ago is too old to act on, given that a
    /// newer version is known to exist. A host may learn of a version and be
    /// unable to fetch it: the announcement is one packet, the rest is queued
    /// on its link.
    bool is_overdue(std::optional<duration> age) const;

    /// Current transit delay beyond the usual: time queued on the host's link
    /// and waiting for its processor. Unset if no message came within the
    /// bound.
    std::optional<duration> delay(instant now) const;

    /// Upper estimate of the same, for callers that need a message to arrive in
    /// time: the delay while the queue grows or shrinks.
    std::optional<duration> max_delay(instant now) const;

private:
    /// The least delay among recent messages: a single delayed message says
    /// nothing about the link.
    struct window
    {
        instant start;
        std::optional<duration> least;
    };

    duration bound_;
    window current_;
    window previous_;
};

} // namespace fennelladder::mesh

#endif
