// Spreads the connections that a host beyond its capacity accepts over time.
//
//     accept_bound bound;
//     bound.set_rate(control.max_accepts_per_second(), now);
//     if (bound.take(now)) ... accept one ...
//     else ... wait for bound.time_to_next(now) ...
//     listen(socket, bound.queue_length(longest))
//
// A connection that isn't accepted costs its host nothing. The queue of those
// that wait has to be short as well: what waits in a long one is accepted when
// its caller is about to leave.
//
// Pure computation. Not thread safe.

#ifndef FENNELLADDER_DISPATCH_ACCEPT_BOUND_HPP
#define FENNELLADDER_DISPATCH_ACCEPT_BOUND_HPP

#include "fennelladder/base/time.hpp"

#include <optional>

namespace fennelladder::dispatch {

struct accept_bound_options
{
    /// Connections that wait are accepted within this time.
    duration max_wait = milliseconds(100);
    int min_queue = 4; ///< Connections that may wait in any case.
    /// Accepts that may be saved for connections that come together.
    duration burst = milliseconds(50);
};

/// Not thread safe.
class accept_bound
{
public:
    explicit accept_bound(accept_bound_options options = {}) : options_(options)
    {}

    /// `rate` is in connections per second; unset: no bound. Precondition: it
    /// is positive.
    void set_rate(std::optional<double> rate, instant now);

    /// Takes leave to accept one connection. Returns false if it has to wait.
    bool take(instant now);

    /// Returns what take() took for a connection that wasn't there.
    void give_back();

    /// Time until take() returns true.
    duration time_to_next(instant now) const;

    /// Connections that may wait to be accepted; `longest` if there's no bound.
    int queue_length(int longest) const;

    bool is_bounded() const { return rate_.has_value(); }

private:
    double saved_at(instant now) const;
    double most_saved() const;

    accept_bound_options options_;
    std::optional<double> rate_;
    double saved_ = 0; ///< Connections that may be accepted, at saved_as_of_.
    instant saved_as_of_;
};

} // namespace fennelladder::dispatch

#endif
