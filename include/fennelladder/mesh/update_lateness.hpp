// Whether a host hears of changes too late to give out work.
//
//     update_lateness lateness(bound);
//     lateness.note(delay, now);                       // of each beacon
//     if (lateness.is_late(age_of_targets, now)) ...   // refuse: not run
//
// Callers that send a small host more than its link carries make everything
// that comes to it wait for seconds, an answer of the platform too. The host
// would send requests to targets that left longer ago than is allowed, and
// nothing that it could ask would tell it in time. It gives out no new work
// then and tells callers to use other hosts, which also frees its link.
//
// Late means that news were in time when they were sent and aren't any more
// where they arrive. News that are old for everybody, since the platform is
// away, are no reason: the whole fleet would stop. Nor is hearing nothing: a
// host that is cut off serves its callers by what it knows.
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
    /// News have to be in force within `bound`.
    explicit update_lateness(duration bound) : bound_(bound) {}

    /// A message came that was under way for `delay` longer than usual.
    void note(duration delay, instant now);

    /// Whether what was known to be the newest `age` ago is too old by the way
    /// it had. An unknown age is not late.
    bool is_late(std::optional<duration> age, instant now) const;

    /// Whether what was known to be the newest `age` ago is too old to act on
    /// where something newer is known to exist. A host that hears of it can be
    /// unable to get it: the news are a packet, the rest waits on its link.
    bool is_overdue(std::optional<duration> age) const;

    /// How much longer than usual messages are under way at present: what they
    /// wait on the host's link and for its processor. Unset where none came
    /// within the bound.
    std::optional<duration> delay(instant now) const;

    /// The same, for who has to be sure that something arrives in time: what is
    /// waited while the queue grows or falls.
    std::optional<duration> max_delay(instant now) const;

private:
    /// Of the latest messages the one that waited least: one that was held up
    /// by itself says nothing of the link.
    struct window
    {
        instant began;
        std::optional<duration> least;
    };

    duration bound_;
    window now_;
    window before_;
};

} // namespace fennelladder::mesh

#endif
