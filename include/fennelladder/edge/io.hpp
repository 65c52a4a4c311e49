// Short names for Boost.Asio and Beast, shared by the files of this library.
//
// One io_context carries a node; all its coroutines run on it, on one thread,
// so the tables they share need no locks. The hosts this is built for give a
// process a part of one core.

#ifndef FENNELLADDER_EDGE_IO_HPP
#define FENNELLADDER_EDGE_IO_HPP

#include "fennelladder/base/time.hpp"

#include <utility> // awaitable.hpp needs it and does not include it

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
#include <memory>
#include <optional>
#include <string>

namespace fennelladder::edge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Errors of the network; failures of the product are fennelladder::error.
using net_error = boost::system::error_code;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

template <class T>
using awaitable = asio::awaitable<T>;

/// Completion token: co_await, with the failure in `ec` instead of thrown.
inline auto into(net_error& ec)
{
    return asio::redirect_error(asio::use_awaitable, ec);
}

/// "10.1.0.40:8227"; nothing if it isn't an IP address with a port.
std::optional<tcp::endpoint> parse_endpoint(const std::string& address);

/// Whether a read that doesn't wait failed only since nothing is there, or it
/// was interrupted: it says nothing of the other side.
bool is_transient(const net_error& ec);

/// How a connection ended, for the log: "closed" by the other side, "reset",
/// or the error; empty if there was none.
std::string disconnect_reason(const net_error& ec);

/// Replaces the port of an IP:port.
std::string with_port(const std::string& address, std::uint16_t port);

/// Sets what every connection needs: no delay, and an end to connections
/// that went silent. A peer that vanished without a word, or a connection
/// that something between the two ends has forgotten, shows neither an end
/// nor an error; the kernel's probes and the limit on unconfirmed bytes turn
/// it into one after about `limit`.
void enable_keepalive(tcp::socket& socket, duration limit);

/// Waits; returns at once when the timer is cancelled.
awaitable<void> sleep_on(asio::steady_timer& timer, duration length);

/// The socket of a connection, keeping the whole connection alive.
template <class Connection>
std::shared_ptr<tcp::socket> socket_of(std::shared_ptr<Connection> whole)
{
    tcp::socket* part = &whole->socket;
    return {std::move(whole), part};
}

/// Starts a coroutine of the node. An exception that leaves it ends the
/// process, since the state it worked on can't be trusted.
void spawn(asio::io_context& io, awaitable<void> work);

} // namespace fennelladder::edge

#endif
