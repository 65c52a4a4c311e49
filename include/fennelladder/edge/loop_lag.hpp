// How long the node's loop stood still lately.
//
//     loop_lag lag(period);
//     lag.note_tick(now);          // from a timer that should run each period
//     if (lag.at(now) > ...)       // what waits may be that old
//
// While the loop stands still, since it reads something large or the host
// gives it no processor time, requests and messages lie in the kernel unread
// and count as just arrived when they are read. Only the ticks that came late
// tell how long that may have been.
//
// Pure. Not thread safe.

#ifndef FENNELLADDER_EDGE_LOOP_LAG_HPP
#define FENNELLADDER_EDGE_LOOP_LAG_HPP

#include "fennelladder/base/time.hpp"

#include <algorithm>
#include <optional>

namespace fennelladder::edge {

class loop_lag
{
public:
    /// A stall is told of for this long: what came while the loop stood still
    /// is read for a while after.
    static constexpr duration retention = seconds(1);

    explicit loop_lag(duration period) : period_(period) {}

    /// A tick came. Returns how late it was; negative if early.
    duration note_tick(instant now)
    {
        const duration late = last_ ? now - *last_ - period_ : duration(0);
        last_ = now;
        if (late >= longest_ || now - seen_ > retention) {
            longest_ = std::max(late, duration(0));
            seen_ = now;
        }
        return late;
    }

    /// The longest stall of late, one that lasts at `now` included.
    duration at(instant now) const
    {
        const duration before =
            now - seen_ < retention ? longest_ : duration(0);
        return std::max(before, since_tick(now) - period_);
    }

    /// Since the last tick; 0 before the first.
    duration since_tick(instant now) const
    {
        return last_ ? now - *last_ : duration(0);
    }

private:
    const duration period_;
    std::optional<instant> last_;
    instant seen_; ///< When `longest_` was.
    duration longest_{0};
};

} // namespace fennelladder::edge

#endif
