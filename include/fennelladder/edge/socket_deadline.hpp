// Closes a connection when its deadline passes. For everything that waits on a
// socket, since an asynchronous read, write or connect has no timeout.
//
//     socket_deadline limit(socket);
//     limit.close_after(idle_timeout);
//     ... read some ...
//     limit.close_after(idle_timeout);  // bytes arrived: start over
//     ... read the rest ...
//     limit.clear();                    // nothing is awaited
//
// An event loop that stalls for longer than the limit closes no connection on
// which bytes arrived meanwhile: see expiry_check.hpp. An idle connection is
// therefore closed `expiry_grace` after its deadline.
//
// Cost: one timer. Moving the deadline to a later time does not re-arm it. Not
// thread safe.

#ifndef FENNELLADDER_EDGE_SOCKET_DEADLINE_HPP
#define FENNELLADDER_EDGE_SOCKET_DEADLINE_HPP

#include "fennelladder/edge/expiry_check.hpp"
#include "fennelladder/edge/io.hpp"

#include <functional>
#include <memory>

namespace fennelladder::edge {

class socket_deadline
{
public:
    using time_point = asio::steady_timer::time_point;

    /// Sets no deadline yet. Does not keep the socket alive; a socket that has
    /// been destroyed needs no closing. `close` is called in place of the
    /// socket's own function; it must not keep the socket alive either.
    explicit socket_deadline(const std::shared_ptr<tcp::socket>& socket,
                             std::function<void()> close = nullptr);

    ~socket_deadline() { clear(); }
    socket_deadline(const socket_deadline&) = delete;
    socket_deadline& operator=(const socket_deadline&) = delete;

    /// Closes the socket at `at`. Replaces any earlier deadline.
    void close_at(time_point at);

    /// Closes the socket `length` from now. A negative length is a deadline
    /// that has already passed.
    void close_after(duration length);

    /// Cancels what waits on the socket `length` from now, and leaves it open.
    /// Replaces any earlier deadline.
    void cancel_after(duration length);

    /// Removes the deadline.
    void clear();

    /// Whether a deadline has closed the socket.
    bool has_closed() const;

    /// Whether the deadline that was set last has passed.
    bool has_expired() const;

private:
    class state;

    /// Shared with the timer's handler, which may run after this is destroyed.
    std::shared_ptr<state> state_;
};

} // namespace fennelladder::edge

#endif
