// Connections to targets: opened, kept while idle, and checked before reuse.
//
//     connection_ptr held = pool.take_idle(target, address, least_sure, now);
//     if (!held)
//         held = co_await pool.open(target, address, limit);
//     ... one request ...
//     pool.give_back(std::move(held), keep_alive, now);
//
// A target serves one request at a time on a connection. A kept connection
// may have ended unseen: before reuse it is asked without waiting whether the
// target closed it or sent bytes that belong to no request; either ends it.
// The check can't see an end that is still under way, so work that must not
// be sent twice takes only connections that rested for a very short time.

#ifndef FENNELLADDER_EDGE_TARGET_CONNECTION_HPP
#define FENNELLADDER_EDGE_TARGET_CONNECTION_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/edge/io.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace fennelladder::edge {

struct target_connection
{
    target_connection(asio::io_context& io, target_id to);

    target_id target;
    tcp::socket socket;
    beast::flat_buffer buf;  ///< Read from the target, not yet parsed.
    bool used = false;       ///< Carried a request before.
    bool unanswered = false; ///< A request is out, and nothing came yet.
    instant idle_since;
    duration idle_limit{0};
};

using connection_ptr = std::shared_ptr<target_connection>;

struct target_pool_options
{
    duration silence_limit = seconds(3); ///< See guard_silence().
    /// Idle time granted to a connection whose target states none; targets
    /// that state theirs are given up a fifth earlier.
    duration idle_limit = seconds(4);
    std::size_t most_idle = 24; ///< Kept for one target.
};

/// Not thread safe.
class target_pool
{
public:
    target_pool(asio::io_context& io, target_pool_options options);

    /// An idle connection to the target that rested for at most `longest`,
    /// the one used last; null if there is none.
    connection_ptr take_idle(const target_id& target, duration longest,
                             instant now);

    /// Registers a connection that is about to be opened.
    connection_ptr make(const target_id& target);

    /// Connects; fails when refused, or not done in `limit`, and says so.
    awaitable<status> open(connection_ptr made, const std::string& address,
                           duration limit);

    /// Keeps the connection for a later request. Precondition: its answer was
    /// complete, and nothing was read beyond it.
    void give_back(connection_ptr used, std::optional<duration> keep_alive,
                   instant now);

    /// Closes all idle connections to a target.
    void drop_idle(const target_id& target);

    /// Closes what rested too long. For a timer.
    void drop_old(instant now);

    std::uint64_t opened() const { return opened_; }

private:
    asio::io_context& io_;
    const target_pool_options options_;
    std::map<target_id, std::vector<connection_ptr>> idle_; // last used last
    std::uint64_t opened_ = 0;
};

/// Whether an idle connection has ended or holds stray bytes.
bool is_spent(tcp::socket& socket);

} // namespace fennelladder::edge

#endif
