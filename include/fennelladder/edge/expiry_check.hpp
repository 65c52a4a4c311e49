// Whether a limit has really passed, for the handler of a timer on a loop that
// may have stood still.
//
//     expiry_check<instant> look;
//     ... the timer's handler:
//     if (look.has_expired(limit, now))
//         ... give up ...
//     else
//         ... wait until look.next_check(limit) ...
//
// Failure it guards against: the node's loop stands still for longer than the
// limit, since a megabyte is parsed on an eighth of a core or the machine gets
// no share of its own. When it goes on, the bytes that came meanwhile and the
// expired timer are found in one round. Setting a timer anew doesn't take back
// its handler once that is queued, and bytes take several handlers (head, then
// body), of which the later ones are queued behind the timer's. A handler that
// gives up when it runs throws away what was there: a transfer begins anew, a
// sound peer counts as silent, a whole answer is lost.
//
// Why it holds: the handler decides by the limit as it is when the handler
// runs, not by having been called. A limit that has passed counts only at a
// second look, `expiry_grace` later: what waited in the kernel at the first was
// ready before the timer of the second, so it's handled before, and whoever
// handles it moves the limit on or has no more use for it. What is silent is
// given up `expiry_grace` late.

#ifndef FENNELLADDER_EDGE_EXPIRY_CHECK_HPP
#define FENNELLADDER_EDGE_EXPIRY_CHECK_HPP

#include "fennelladder/base/time.hpp"

#include <optional>

namespace fennelladder::edge {

/// From a limit that has passed to giving up. What waits needs few rounds of
/// the loop; more would only keep what is silent for longer.
inline constexpr duration expiry_grace = milliseconds(20);

/// Of one limit, which may move: one with another value is looked at from the
/// beginning. Not thread safe.
template <class TimePoint>
class expiry_check
{
public:
    /// Whether `limit` had passed at a look that is `expiry_grace` old. Notes a
    /// first look at one that has passed by `now`. Precondition: `now` isn't
    /// before that of an earlier call.
    bool has_expired(TimePoint limit, TimePoint now)
    {
        if (limit <= now && seen_ != limit) {
            seen_ = limit;
            again_ = now + expiry_grace;
        }
        return next_check(limit) <= now;
    }

    /// When has_expired() may become true, as far as is known.
    TimePoint next_check(TimePoint limit) const
    {
        return seen_ == limit ? again_ : limit;
    }

    /// The limit was set anew, perhaps to the value that it had.
    void reset() { seen_.reset(); }

private:
    std::optional<TimePoint> seen_; ///< A limit that had passed when seen.
    TimePoint again_;               ///< When to look at it again.
};

} // namespace fennelladder::edge

#endif
