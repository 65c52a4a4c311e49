// Closes a connection when its time is over. For everything that waits on a
// socket, since a read, a write or a connect has no limit of its own.
//
//     socket_deadline limit(socket);
//     limit.close_after(silence_limit);
//     ... read some ...                  // bytes came:
//     limit.close_after(silence_limit);  // the time begins anew
//     ... read the rest ...
//     limit.clear();                     // nothing is waited for
//
// Failure it guards against: the node's loop stands still for longer than the
// limit, since a megabyte is parsed on an eighth of a core or the machine gets
// no share of its own. When it goes on, the bytes that came meanwhile and the
// expired timer are found in one round. Setting a timer anew doesn't take back
// its handler once that is queued, so a handler that closes when it runs closes
// a connection that was just read from: a transfer begins anew, and a sound
// peer counts as silent.
//
// Why it holds: the handler decides by the deadline as it is when the handler
// runs, not by having been called. A deadline that has passed closes only at a
// second look, `last_look` later: what waited in the kernel at the first was
// ready before the timer of the second, so it's handled before, and whoever
// handles it moves the deadline on. A silent connection is closed `last_look`
// late.
//
// Cost: one timer. Moving the deadline to a later time sets no timer anew.
// Not thread safe.

#ifndef FENNELLADDER_EDGE_SOCKET_DEADLINE_HPP
#define FENNELLADDER_EDGE_SOCKET_DEADLINE_HPP

#include "fennelladder/edge/io.hpp"

#include <memory>

namespace fennelladder::edge {

/// From a deadline that has passed to closing. What waits needs one round of
/// the loop; more would only keep silent connections for longer.
inline constexpr duration last_look = milliseconds(20);

class socket_deadline
{
public:
    using time_point = asio::steady_timer::time_point;

    /// No limit yet. Doesn't keep the socket alive; a socket that is gone has
    /// nothing left to close.
    explicit socket_deadline(const std::shared_ptr<tcp::socket>& socket);

    ~socket_deadline() { clear(); }
    socket_deadline(const socket_deadline&) = delete;
    socket_deadline& operator=(const socket_deadline&) = delete;

    /// Closes the socket at `at`, in place of any deadline before.
    void close_at(time_point at);

    /// The same, `length` from now. A negative one has passed.
    void close_after(duration length);

    /// The socket may take as long as it likes.
    void clear();

    /// A deadline has closed the socket.
    bool has_closed() const;

private:
    class course;

    /// Held by the timer's handler too, which may run after this is gone.
    std::shared_ptr<course> course_;
};

} // namespace fennelladder::edge

#endif
