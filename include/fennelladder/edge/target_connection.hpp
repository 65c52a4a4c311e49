// Connections to targets: opened, pooled while idle, and checked before reuse.
//
//     connection_ptr connection = pool.take_idle(to, max_idle_time, now);
//     if (!connection) {
//         connection = pool.make(to);
//         const status opened = co_await pool.open(connection, limit);
//     }
//     ... one request ...
//     pool.release(std::move(connection), keep_alive, now);
//
// A target serves one request at a time on a connection. An idle connection may
// have ended unnoticed: before reuse a non-blocking check tests whether the
// target closed it or sent bytes that belong to no request, and drops it in
// either case. The check cannot see a close that is still in transit, so
// requests that must not be sent twice use only connections that were idle for
// a very short time.
//
// Connections are pooled by process and address: one that was opened to an
// earlier process of a target, or to an address that the target has left, is
// never used for the current process.

#ifndef FENNELLADDER_EDGE_TARGET_CONNECTION_HPP
#define FENNELLADDER_EDGE_TARGET_CONNECTION_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/catalog/target_entry.hpp"
#include "fennelladder/edge/io.hpp"
#include "fennelladder/edge/link_meter.hpp"

#include <compare>
#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace fennelladder::edge {

/// The process and address that a connection leads to.
struct target_endpoint
{
    catalog::target_process process;
    std::string address;

    friend auto operator<=>(const target_endpoint&,
                            const target_endpoint&) = default;
};

/// One connection to a target. It may be idle in the pool or carry a request.
struct target_connection
{
    target_connection(asio::io_context& io, target_endpoint target);

    target_endpoint to;
    tcp::socket socket;
    beast::flat_buffer buf;         ///< Bytes read but not yet parsed.
    bool used = false;              ///< Has carried a request.
    bool awaiting_response = false; ///< Sent, no response yet.
    instant idle_since;
    duration idle_timeout{0};
};

using connection_ptr = std::shared_ptr<target_connection>;

struct connection_pool_options
{
    duration keepalive_timeout = seconds(3); ///< See enable_keepalive().
    /// Idle timeout of connections whose target states none. A stated timeout
    /// is shortened by a fifth, so that the target does not close first.
    duration idle_timeout = seconds(4);
    std::size_t max_idle_per_target = 24; ///< Excess ones are closed.
};

/// Opens connections to targets and keeps idle ones for reuse. Not thread safe.
class connection_pool
{
public:
    /// `link` counts what connections are opened; null: nothing does. It must
    /// outlive the pool.
    connection_pool(asio::io_context& io, connection_pool_options options,
                    link_meter* link = nullptr);

    /// Takes the most recently used idle connection that has been idle for at
    /// most `max_idle_time`. Returns null if there is none.
    connection_ptr take_idle(const target_endpoint& to, duration max_idle_time,
                             instant now);

    /// Creates a connection object for open().
    connection_ptr make(const target_endpoint& to);

    /// Creates a connection object for connect_relayed(); see edge/relay.hpp.
    connection_ptr make_relayed(const target_endpoint& to);

    const connection_pool_options& options() const { return options_; }

    /// Connects. Fails if the connection is refused, or with `timeout` if it
    /// isn't made within `limit`.
    awaitable<status> open(connection_ptr made, duration limit);

    /// Returns a connection to the pool. `keep_alive` is the idle timeout that
    /// the target stated. Precondition: the response was complete and nothing
    /// was read beyond it.
    void release(connection_ptr used, std::optional<duration> keep_alive,
                 instant now);

    /// Closes all idle connections to this endpoint.
    void close_idle(const target_endpoint& to);

    /// Closes connections that are stale or have been idle for too long. Call
    /// it periodically.
    void close_expired(instant now);

    /// Number of connections created so far.
    std::uint64_t opened() const { return opened_; }

private:
    asio::io_context& io_;
    const connection_pool_options options_;
    link_meter* const link_;
    // The most recently used connection of an endpoint is the last.
    std::map<target_endpoint, std::vector<connection_ptr>> idle_;
    std::uint64_t opened_ = 0;
};

/// Whether an idle connection has ended or holds unexpected bytes.
bool is_stale(tcp::socket& socket);

} // namespace fennelladder::edge

#endif
