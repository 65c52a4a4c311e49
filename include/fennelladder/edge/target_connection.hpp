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
// A request that is given up must not reach its target later: a network that
// heals delivers what the kernel still holds, seconds after the caller was
// answered. So a connection ends by a reset, which takes these bytes back,
// unless the target has begun to answer and all bytes were acknowledged. This
// holds for each way in which one ends, also the end of this process. For the
// same reason the kernel's limit on unacknowledged bytes isn't used for them,
// since nothing takes back what it gives up: watch_sending() resets the
// connection instead.
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
/// Owned by shared pointers. Not thread safe.
struct target_connection
{
    target_connection(asio::io_context& io, target_endpoint target);
    ~target_connection() { close(); }
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;

    /// Ends the connection, and takes back what the target hasn't got.
    void close();

    target_endpoint to;
    tcp::socket socket;
    beast::flat_buffer buf;         ///< Bytes read but not yet parsed.
    bool used = false;              ///< Has carried a request.
    bool awaiting_response = false; ///< Sent, no response yet.
    /// Bytes received so far. Signs of a live target, see watch_sending().
    std::size_t received = 0;
    bool timed_out = false; ///< Ended by watch_sending().
    instant idle_since;
    duration idle_timeout{0};

private:
    friend void watch_sending(const std::shared_ptr<target_connection>& it,
                              std::size_t bytes, duration limit);
    using time_point = asio::steady_timer::time_point;

    void arm(std::weak_ptr<target_connection> self, duration length);
    void check_sending(const std::weak_ptr<target_connection>& self);

    asio::steady_timer watch_;
    bool is_watched_ = false;
    duration limit_{0};
    std::size_t last_unacknowledged_ = 0;
    std::size_t last_received_ = 0;
    time_point stalled_since_;
};

using connection_ptr = std::shared_ptr<target_connection>;

/// Resets the connection once its target has acknowledged nothing more, and
/// sent nothing, for `limit`. Call it when a write of `bytes` begins; the watch
/// ends by itself when all is acknowledged.
void watch_sending(const connection_ptr& it, std::size_t bytes, duration limit);

struct connection_pool_options
{
    duration keepalive_timeout = seconds(3); ///< See enable_probes().
    /// See watch_sending(). Shorter than the former, so that the kernel doesn't
    /// end the connection first, whatever it counts.
    duration sending_timeout = milliseconds(2500);
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
