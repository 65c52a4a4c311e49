// How much longer than usual messages of one peer are in transit.
//
//     transit_delay transit;
//     const duration late = transit.record(heartbeat.sent, now);
//
// The clocks of two hosts differ by an unknown amount, so a single message
// doesn't reveal its transit time. The least difference seen between arrival
// and sending is the clock offset plus the shortest transit. What a message
// takes beyond that it spent queued: on a full link, or in a socket that is
// read late.
//
// The minimum is remembered for one to two windows, so that clock drift (some
// ten parts in a million, 10 ms in a window) doesn't accumulate to a delay
// that isn't there. A link that stays full for longer than that is taken for a
// slow one.
//
// A peer whose first message was already delayed is measured against that one
// until a faster one arrives.
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
    static constexpr duration window = minutes(5);

    /// Records a message sent at `sent` by its sender's clock and received at
    /// `arrived` by this node's. Returns how much longer it took than the
    /// fastest one remembered; 0 for the first.
    duration record(instant sent, instant arrived)
    {
        const duration difference = arrived - sent;
        if (!least_ || arrived - window_began_ >= window) {
            previous_least_ = least_;
            least_ = difference;
            window_began_ = arrived;
        }
        least_ = std::min(*least_, difference);
        return difference -
               std::min(*least_, previous_least_.value_or(*least_));
    }

private:
    std::optional<duration> least_; ///< In the current window.
    std::optional<duration> previous_least_;
    instant window_began_;
};

} // namespace fennelladder::mesh

#endif
