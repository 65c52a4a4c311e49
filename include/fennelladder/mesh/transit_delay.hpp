// How much longer than usual the messages of one peer are under way.
//
//     transit_delay way;
//     const duration late = way.take(beacon.sent, now);
//
// The clocks of two hosts differ by an unknown amount, so one message says
// nothing of its own time under way. What all messages of a peer have in
// common, the difference of the clocks and the shortest way, is the least
// difference seen between arrival and sending; what a message has beyond that
// it spent waiting: on a full link, in a socket that is read late.
//
// The least is remembered for one to two spans, so that clocks that run at
// slightly different speeds (some ten parts in a million, 10 ms in a span)
// don't add up to a delay that isn't there. A link that is full for longer
// than that passes for one that always was so slow.
//
// A peer whose first message already waited is judged by that one, until a
// faster one comes.
//
// Not thread safe.

#ifndef FENNELLADDER_MESH_TRANSIT_DELAY_HPP
#define FENNELLADDER_MESH_TRANSIT_DELAY_HPP

#include "fennelladder/base/time.hpp"

#include <algorithm>
#include <optional>

namespace fennelladder::mesh {

class transit_delay
{
public:
    static constexpr duration span = minutes(5);

    /// A message that was sent at `sent` by its sender's clock is here at
    /// `arrived` by this node's. Returns how much longer it took than the
    /// fastest one remembered; 0 for the first.
    duration take(instant sent, instant arrived)
    {
        const duration difference = arrived - sent;
        if (!least_ || arrived - span_began_ >= span) {
            least_before_ = least_;
            least_ = difference;
            span_began_ = arrived;
        }
        least_ = std::min(*least_, difference);
        return difference - std::min(*least_, least_before_.value_or(*least_));
    }

private:
    std::optional<duration> least_; ///< In this span.
    std::optional<duration> least_before_;
    instant span_began_;
};

} // namespace fennelladder::mesh

#endif
