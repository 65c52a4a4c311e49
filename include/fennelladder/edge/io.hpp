// Short names for Boost.Asio and Beast, and socket helpers, shared by the files
// of this library.
//
// A node runs on one io_context with one thread, so the tables that its
// coroutines share need no locks. The hosts this is built for give a process a
// fraction of one core.

#ifndef FENNELLADDER_EDGE_IO_HPP
#define FENNELLADDER_EDGE_IO_HPP

#include "fennelladder/base/time.hpp"

#include <utility> // awaitable.hpp needs it and does not include it

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fennelladder::edge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Network errors. Other failures are reported as fennelladder::error.
using net_error = boost::system::error_code;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

template <class T>
using awaitable = asio::awaitable<T>;

/// Completion token for co_await that stores a failure in `ec` instead of
/// throwing it.
inline auto into(net_error& ec)
{
    return asio::redirect_error(asio::use_awaitable, ec);
}

/// Parses an address such as "10.1.0.40:8227". Returns nothing if it is not an
/// IP address with a port.
std::optional<tcp::endpoint> parse_endpoint(const std::string& address);

/// Whether a non-blocking read failed only because no data is available or it
/// was interrupted by a signal. Such an error says nothing about the peer.
bool is_transient(const net_error& ec);

/// How a connection ended, for the log: "closed" (by the peer), "reset" or the
/// error message; empty if there was no error.
std::string disconnect_reason(const net_error& ec);

/// The error that a connection's input ended with. `read` is what the last read
/// returned, `write` what the last write did. The kernel tells of a reset once,
/// to the call that comes first: if that is a write, the next read returns an
/// end of file. A broken pipe doesn't count: the other side ended its output in
/// order, and reset the connection only afterwards.
net_error end_of_input(const net_error& read, const net_error& write);

/// Returns `address`, an IP:port, with its port replaced.
std::string with_port(const std::string& address, std::uint16_t port);

/// Lets the handlers run that are ready. A write that a reset has ended may
/// have been told so before a read that returned an end of file, and complete
/// after it.
awaitable<void> run_ready_handlers(asio::any_io_executor executor);

/// Sets TCP_NODELAY, keepalive probes and the TCP user timeout. A peer that
/// vanished, or a connection whose state was lost between the two ends (as in a
/// NAT or firewall), shows neither an end nor an error; the kernel's probes and
/// the limit on unacknowledged bytes turn it into an error after about `limit`.
/// On Linux the user timeout, which is `limit`, also decides when probes give
/// up; their count, which adds up to the same, has no say. A peer whose process
/// pauses while its kernel answers isn't affected.
void enable_keepalive(tcp::socket& socket, duration limit);

/// The same without the user timeout, so that only silent connections on which
/// all bytes were acknowledged end: by the count of probes.
void enable_probes(tcp::socket& socket, duration limit);

/// Bytes written to the connection that the peer's kernel hasn't acknowledged;
/// unset if the kernel doesn't say.
std::optional<std::size_t> unacknowledged_bytes(tcp::socket& socket);

/// Lets close(), and the end of the process, reset the connection: the kernel
/// then discards what it hasn't delivered. Off: it goes on sending that.
void set_reset_on_close(tcp::socket& socket, bool resets);

/// Waits for `length`. Returns early if the timer is cancelled.
awaitable<void> sleep_on(asio::steady_timer& timer, duration length);

/// A pointer to the socket of a connection that keeps the whole connection
/// alive.
template <class Connection>
std::shared_ptr<tcp::socket> socket_of(std::shared_ptr<Connection> whole)
{
    tcp::socket* part = &whole->socket;
    return {std::move(whole), part};
}

/// Starts a coroutine on the node's io_context. An exception that escapes from
/// it ends what it was doing, as one connection, and is logged with the name of
/// `task`; its objects are destroyed, so what it has to undo belongs into their
/// destructors, or into undo_on_failure().
void spawn(asio::io_context& io, awaitable<void> work,
           std::string_view task = "task");

/// Completes with `work`. If an exception leaves that, calls `undo`, which must
/// not throw, and passes the exception on. `undo` isn't called if the coroutine
/// is destroyed while it waits, as at the end of the process.
awaitable<void> undo_on_failure(awaitable<void> work,
                                std::function<void()> undo);

/// Starts a coroutine that has to run as long as the node: after an
/// exception has ended it, `start` is called again.
void spawn_lasting(asio::io_context& io, std::function<awaitable<void>()> start,
                   std::string_view task);

/// Calls `run`, which runs handlers of `io`, until that is stopped. An
/// exception that escapes from a handler is logged, and the others go on.
void run_contained(asio::io_context& io, const std::function<void()>& run);

} // namespace fennelladder::edge

#endif
