// Measures how long the node's event loop was stalled recently.
//
//     loop_lag lag(period);
//     lag.note_tick(now);          // from a timer with that period
//     if (lag.at(now) > ...)       // pending input may be that old
//
// While the loop is stalled, because it parses something large or the host
// gives it no processor time, requests and messages wait in the kernel, and
// they count as just arrived when they are read. Only the ticks that came late
// show how long that may have been.
//
// Pure computation. Not thread safe.

#ifndef FENNELLADDER_EDGE_LOOP_LAG_HPP
#define FENNELLADDER_EDGE_LOOP_LAG_HPP

#include "fennelladder/base/time.hpp"

#include <algorithm>
#include <optional>

namespace fennelladder::edge {

class loop_lag
{
public:
    /// How long a stall is reported after it was seen: input that arrived
    /// during the stall is still being read for a while.
    static constexpr duration retention = seconds(1);

    explicit loop_lag(duration period) : period_(period) {}

    /// Records a tick. Returns how late it was; negative if early.
    duration note_tick(instant now)
    {
        const duration late =
            last_tick_ ? now - *last_tick_ - period_ : duration(0);
        last_tick_ = now;
        if (late >= longest_lag_ || now - longest_at_ > retention) {
            longest_lag_ = std::max(late, duration(0));
            longest_at_ = now;
        }
        return late;
    }

    /// The longest recent stall, including one still in progress at `now`.
    duration at(instant now) const
    {
        const duration before =
            now - longest_at_ < retention ? longest_lag_ : duration(0);
        return std::max(before, since_tick(now) - period_);
    }

    /// Time since the last tick; 0 before the first.
    duration since_tick(instant now) const
    {
        return last_tick_ ? now - *last_tick_ : duration(0);
    }

private:
    const duration period_;
    std::optional<instant> last_tick_;
    instant longest_at_; ///< When `longest_lag_` was recorded.
    duration longest_lag_{0};
};

} // namespace fennelladder::edge

#endif
