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
// A loop that stood still for longer than the limit closes no connection on
// which bytes came meanwhile: see expiry_check.hpp. A silent connection is
// closed `expiry_grace` late.
//
// Cost: one timer. Moving the deadline to a later time sets no timer anew.
// Not thread safe.

#ifndef FENNELLADDER_EDGE_SOCKET_DEADLINE_HPP
#define FENNELLADDER_EDGE_SOCKET_DEADLINE_HPP

#include "fennelladder/edge/expiry_check.hpp"
#include "fennelladder/edge/io.hpp"

#include <memory>

namespace fennelladder::edge {

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
