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
// The end of a connection through a peer may be the peer's. Where it matters,
// because a response states no end of its own, the peer is asked:
//
//     const auto end = co_await ask_relay_end(tables, got.peer, ask, limit);
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
#include <deque>
#include <functional>
#include <memory>
#include <optional>
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

/// How the connection that `peer` relayed for `request` ended at the target's
/// side, by the peer itself; unset if it doesn't know, or doesn't answer within
/// `limit`.
awaitable<std::optional<mesh::relay_end>>
ask_relay_end(node_tables& tables, host_id peer, catalog::target_process target,
              std::string request, duration limit);

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

    /// How the last relay asked for with the same words ended; unset if it goes
    /// on, or ended long ago.
    std::optional<mesh::relay_end> end_of(const mesh::relay_request& ask) const;

    /// Number of connections that are relayed, or are being made.
    std::size_t active() const { return active_; }

private:
    struct relayed_connection;
    using relayed_ptr = std::shared_ptr<relayed_connection>;

    struct ended_relay
    {
        mesh::relay_request ask;
        mesh::relay_end end = mesh::relay_end::broken;
    };

    mesh::relay_result check(const mesh::relay_request& ask) const;
    awaitable<mesh::relay_result> connect(connection_ptr made);
    awaitable<void> relay(peer_stream& stream, relayed_ptr it,
                          mesh::sync_reply& reply);
    awaitable<void> watch_peer(relayed_ptr it);
    awaitable<void> copy_request(relayed_ptr it);
    awaitable<void> copy_answer(relayed_ptr it);
    void note_end(const mesh::relay_request& ask, mesh::relay_end end);
    void read_signals(relayed_connection& it, const char* bytes,
                      std::size_t size);

    node_tables& tables_;
    std::size_t active_ = 0;
    std::deque<ended_relay> ended_; ///< The last ones.
};

} // namespace fennelladder::edge

#endif
