// Connections to targets: opened, kept while idle, and checked before reuse.
//
//     connection_ptr held = pool.take_idle(to, longest_rest, now);
//     if (!held) {
//         held = pool.make(to);
//         const status made = co_await pool.open(held, limit);
//     }
//     ... one request ...
//     pool.release(std::move(held), keep_alive, now);
//
// A target serves one request at a time on a connection. A kept connection
// may have ended unseen: before reuse it is asked without waiting whether the
// target closed it or sent bytes that belong to no request; either ends it.
// The check can't see an end that is still under way, so work that must not
// be sent twice takes only connections that rested for a very short time.
//
// Connections are kept by process and address: one that was made to a process
// before, or by an address that its target has left, is never taken for the
// process of today.

#ifndef FENNELLADDER_EDGE_TARGET_CONNECTION_HPP
#define FENNELLADDER_EDGE_TARGET_CONNECTION_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/catalog/target_entry.hpp"
#include "fennelladder/edge/io.hpp"

#include <compare>
#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace fennelladder::edge {

/// What a connection leads to.
struct target_endpoint
{
    catalog::target_process process;
    std::string address;

    friend auto operator<=>(const target_endpoint&,
                            const target_endpoint&) = default;
};

struct target_connection
{
    target_connection(asio::io_context& io, target_endpoint target);

    target_endpoint to;
    tcp::socket socket;
    beast::flat_buffer buf;         ///< Read from the target, not yet parsed.
    bool used = false;              ///< Carried a request before.
    bool awaiting_response = false; ///< A request is out, and nothing came yet.
    instant idle_since;
    duration idle_timeout{0};
};

using connection_ptr = std::shared_ptr<target_connection>;

struct connection_pool_options
{
    duration keepalive_timeout = seconds(3); ///< See enable_keepalive().
    /// Idle time granted to a connection whose target states none; targets
    /// that state theirs are given up a fifth earlier.
    duration idle_timeout = seconds(4);
    std::size_t max_idle_per_target = 24; ///< Kept for one target.
};

/// Not thread safe.
class connection_pool
{
public:
    connection_pool(asio::io_context& io, connection_pool_options options);

    /// An idle connection that rested for at most `longest`, the one used
    /// last; null if there is none.
    connection_ptr take_idle(const target_endpoint& to, duration longest,
                             instant now);

    /// Registers a connection that is about to be opened.
    connection_ptr make(const target_endpoint& to);

    /// Connects; fails when refused, or not done in `limit`, and says so.
    awaitable<status> open(connection_ptr made, duration limit);

    /// Keeps the connection for a later request. Precondition: its answer was
    /// complete, and nothing was read beyond it.
    void release(connection_ptr used, std::optional<duration> keep_alive,
                 instant now);

    /// Closes all idle connections there.
    void close_idle(const target_endpoint& to);

    /// Closes what rested too long. For a timer.
    void close_expired(instant now);

    std::uint64_t opened() const { return opened_; }

private:
    asio::io_context& io_;
    const connection_pool_options options_;
    // Of an endpoint, the one used last is the last.
    std::map<target_endpoint, std::vector<connection_ptr>> idle_;
    std::uint64_t opened_ = 0;
};

/// Whether an idle connection has ended or holds stray bytes.
bool is_stale(tcp::socket& socket);

} // namespace fennelladder::edge

#endif
