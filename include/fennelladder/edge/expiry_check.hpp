// Decides whether a time limit has really expired, in a timer handler on an
// event loop that may have stalled.
//
//     expiry_check<instant> check;
//     ... the timer's handler:
//     if (check.has_expired(limit, now))
//         ... give up ...
//     else
//         ... wait until check.next_check(limit) ...
//
// Failure it guards against: the loop stalls for longer than the limit, because
// a megabyte is parsed on an eighth of a core or the machine gets no processor
// time. When it resumes, the bytes that arrived meanwhile and the expired timer
// become ready in the same round. Re-arming a timer does not withdraw a handler
// that is already queued, and bytes take several handlers (head, then body), of
// which the later ones are queued behind the timer's. A handler that gives up
// as soon as it runs discards data that is already there: a transfer restarts,
// a healthy peer counts as unresponsive, a complete response is lost.
//
// Why it works: the handler decides by the value of the limit when it runs, not
// by the fact that it was called. An expired limit counts only at a second
// check, `expiry_grace` later. Data that waited in the kernel at the first
// check became ready before the timer of the second one, so it is handled
// first, and its handler extends the limit or no longer needs it. The cost is
// that a real timeout takes effect `expiry_grace` late.

#ifndef FENNELLADDER_EDGE_EXPIRY_CHECK_HPP
#define FENNELLADDER_EDGE_EXPIRY_CHECK_HPP

#include "fennelladder/base/time.hpp"

#include <optional>

namespace fennelladder::edge {

/// Time from the first check of an expired limit to the second. Pending data
/// needs only a few rounds of the loop; a longer time would only delay real
/// timeouts.
inline constexpr duration expiry_grace = milliseconds(20);

/// Checks one limit, which may change: a new value starts over with a first
/// check. Not thread safe.
template <class TimePoint>
class expiry_check
{
public:
    /// Whether `limit` had already expired at a check `expiry_grace` ago. If it
    /// has expired only by `now`, records this as the first check.
    /// Precondition: `now` is not before that of an earlier call.
    bool has_expired(TimePoint limit, TimePoint now)
    {
        if (limit <= now && expired_limit_ != limit) {
            expired_limit_ = limit;
            confirm_at_ = now + expiry_grace;
        }
        return next_check(limit) <= now;
    }

    /// Earliest time at which has_expired() can become true, unless the limit
    /// changes.
    TimePoint next_check(TimePoint limit) const
    {
        return expired_limit_ == limit ? confirm_at_ : limit;
    }

    /// Starts over, for a limit that was set again, perhaps to the same value.
    void reset() { expired_limit_.reset(); }

private:
    std::optional<TimePoint> expired_limit_; ///< Expired at the first check.
    TimePoint confirm_at_;                   ///< Time of the second check.
};

} // namespace fennelladder::edge

#endif
