// Connections to targets through a peer, for a node that doesn't reach them.
//
//     const relay_outcome got =
//         co_await connect_relayed(tables, connection, request_id);
//     if (got.result == mesh::relay_result::connected)
//         ... use `connection` as if it led to the target ...
//
// The peer connects to the target and copies bytes both ways; it doesn't read
// the request. So the node that has the caller keeps the request's tokens,
// deadline, retries and record of what ran, as with a connection of its own,
// and a request can't be relayed twice. The peer is who the target sees: before
// each request it checks that the target may get one, and it reads the signals
// in the target's answer.
//
// A peer is asked with its incarnation, which only nodes know that get its
// heartbeats. Others get no answer.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_RELAY_HPP
#define FENNELLADDER_EDGE_RELAY_HPP

#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/peer_stream.hpp"
#include "fennelladder/mesh/messages.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace fennelladder::edge {

struct relay_outcome
{
    mesh::relay_result result = mesh::relay_result::busy;
    host_id peer; ///< The last one asked; empty if there was none.
};

/// Connects `made` to its target through a peer, the nearest if possible. Asks
/// another peer if one is busy, unless `is_stopped` returns true: then `made`
/// was closed to stop the request. `request` is the id of the caller's request.
awaitable<relay_outcome> connect_relayed(node_tables& tables,
                                         connection_ptr made,
                                         std::string request,
                                         std::function<bool()> is_stopped);

/// Connects peers to targets.
class relay_server
{
public:
    explicit relay_server(node_tables& tables);

    /// Serves one request for a relay until the connection has ended. `stream`
    /// and `socket` are the same connection, from which the request was read.
    awaitable<void> serve(peer_stream& stream,
                          std::shared_ptr<tcp::socket> socket,
                          mesh::relay_request ask);

    /// Number of connections that are relayed, or are being made.
    std::size_t active() const { return active_; }

private:
    struct relayed_connection;
    using relayed_ptr = std::shared_ptr<relayed_connection>;

    mesh::relay_result check(const mesh::relay_request& ask) const;
    awaitable<mesh::relay_result> connect(connection_ptr made);
    awaitable<void> copy_request(relayed_ptr it);
    awaitable<void> copy_answer(relayed_ptr it);
    void read_signals(relayed_connection& it, const char* bytes,
                      std::size_t size);

    node_tables& tables_;
    const std::size_t limit_;
    std::size_t active_ = 0;
};

} // namespace fennelladder::edge

#endif
