// The open connections of one listener for short requests, up to a limit, which
// may change. The connection on which nothing has happened for longest makes
// room for a new one.
//
//     connection_slots slots([&] { return peer_connections_for(settings); });
//     spawn(io, accept_connections(acceptor, take, on_failure,
//                                  accept_limit_of(slots)));
//     const auto slot = slots.take(socket, now);   // keeps its place
//     ... slot->note_active(now), slot->keep() ...
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_CONNECTION_SLOTS_HPP
#define FENNELLADDER_EDGE_CONNECTION_SLOTS_HPP

#include "fennelladder/edge/connection_acceptor.hpp"
#include "fennelladder/edge/io.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace fennelladder::edge {

class connection_slots
{
public:
    using time_point = asio::steady_timer::time_point;

    /// The place of one connection, until it is destroyed.
    class slot
    {
    public:
        slot(connection_slots& owner, std::shared_ptr<tcp::socket> socket,
             time_point now);
        ~slot();
        slot(const slot&) = delete;
        slot& operator=(const slot&) = delete;

        void note_active(time_point now) { active_ = now; }

        /// From now on the connection doesn't make room for others.
        void keep() { active_.reset(); }

    private:
        friend class connection_slots;

        /// Outlives the server, as connections may.
        std::shared_ptr<std::set<slot*>> open_;
        std::shared_ptr<tcp::socket> socket_;
        std::optional<time_point> active_; ///< Unset: it is kept.
    };

    using limit_source = std::function<std::size_t()>;

    /// `limit` is asked before each connection is accepted.
    explicit connection_slots(limit_source limit) : limit_(std::move(limit)) {}

    bool is_full() const { return open_->size() >= limit_(); }

    std::unique_ptr<slot> take(std::shared_ptr<tcp::socket> socket,
                               time_point now);

    /// Closes the connection that has been inactive for longest. Returns false
    /// if none has been for long enough.
    bool make_room(time_point now);

private:
    limit_source limit_;
    std::shared_ptr<std::set<slot*>> open_ =
        std::make_shared<std::set<slot*>>();
};

/// The limit with which accept_connections() keeps to the slots, which must
/// outlive it.
accept_limit accept_limit_of(connection_slots& slots);

} // namespace fennelladder::edge

#endif
