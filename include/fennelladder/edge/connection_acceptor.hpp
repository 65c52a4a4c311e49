// Accepts connections for a server.
//
//     spawn(io, accept_connections(acceptor, [this](tcp::socket socket) {
//               ... serve it ...
//           }));
//
// All connections that wait are accepted in one turn of the event loop. On a
// busy node a turn takes tens of milliseconds. A server that accepts one
// connection in each turn falls behind its callers, and reads requests whose
// callers are about to give up.
//
// A server beyond its capacity bounds the connections that it accepts a second
// (accept_limit). The others wait in the kernel's queue, which is made short.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_CONNECTION_ACCEPTOR_HPP
#define FENNELLADDER_EDGE_CONNECTION_ACCEPTOR_HPP

#include "fennelladder/edge/io.hpp"

#include <functional>
#include <optional>

namespace fennelladder::edge {

/// Connections accepted in one turn at most, so that other work gets its turn.
inline constexpr int max_accepts_per_turn = 64;

/// Bounds the connections that are accepted. Those beyond it wait in the
/// kernel's queue.
struct accept_limit
{
    /// Present bound, in connections per second; unset: none.
    std::function<std::optional<double>()> rate = [] {
        return std::optional<double>();
    };
    /// Called when connections wait for the bound.
    std::function<void()> on_wait = [] {};
    std::function<instant()> now = [] { return instant(); };
    /// Whether there's no place for another connection.
    std::function<bool()> is_full = [] { return false; };
    /// Called when a connection waits and there's no place for it. Returns
    /// whether it made one.
    std::function<bool()> make_room = [] { return false; };
    /// Connections that may wait for the acceptor, as it was told to listen;
    /// the bound only shortens that.
    int longest_queue = asio::socket_base::max_listen_connections;
};

/// Passes each new connection to `take` until the acceptor is closed. After a
/// failure, which is passed to `on_failure`, it pauses for a moment: the system
/// allows no more descriptors, for instance. Precondition: the acceptor listens
/// and outlives the coroutine, as does all that `take` refers to.
awaitable<void> accept_connections(
    tcp::acceptor& acceptor, std::function<void(tcp::socket)> take,
    std::function<void(const net_error&)> on_failure = [](const auto&) {},
    accept_limit limit = {});

} // namespace fennelladder::edge

#endif
