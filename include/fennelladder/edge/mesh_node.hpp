// A node's side of the mesh protocol: exchanges heartbeats and token messages
// with its peers, and starts fetches of updates that heartbeats announce
// (edge/update_exchange).
//
// Heartbeats are datagrams, sent to each node once per period and to all nodes
// at once when something changed. The latter carry the latest target changes.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_MESH_NODE_HPP
#define FENNELLADDER_EDGE_MESH_NODE_HPP

#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/quarantine_exchange.hpp"
#include "fennelladder/edge/stream_origin_exchange.hpp"
#include "fennelladder/edge/token_allocator.hpp"
#include "fennelladder/edge/update_exchange.hpp"

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace fennelladder::edge {

class mesh_node
{
public:
    /// `address` is the IP and port on which this node listens for peers, both
    /// for datagrams and for connections.
    mesh_node(node_tables& tables, std::string address);

    /// Sets the receiver of token messages. Call before start().
    void set_token_allocator(token_allocator& allocator);

    /// Sets the receiver of messages about streams. Call before start().
    void set_stream_origins(stream_origin_exchange& origins);

    /// Sets the receiver of messages about requests that crash targets. Call
    /// before start().
    void set_quarantine(quarantine_exchange& exchange);

    /// Opens the sockets and starts to send and receive. Fails if the address
    /// can't be used.
    status start();

    /// Sends one datagram of tokens, streams, crashes or configurations. It may
    /// be lost without an error.
    void send(const std::string& address, const mesh::datagram& message);

    /// Adds peer addresses from other sources, such as seeds and the platform.
    void add_peer_addresses(const std::vector<std::string>& addresses);

    const std::string& address() const { return address_; }

    /// Number of connections that this node relays for peers.
    std::size_t relayed() const { return exchange_.relayed(); }

    /// Logs the traffic sent since the last call, as "datagrams/bytes" for each
    /// kind.
    void log_traffic();

private:
    /// The purpose of a datagram.
    enum class traffic : std::uint8_t
    {
        heartbeats,    ///< Periodic ones.
        updates,       ///< Brief heartbeats, sent when something changed.
        introductions, ///< Heartbeats to newly discovered nodes.
        tokens,        ///< Token messages.
        streams,       ///< Where streams began.
        crashes,       ///< Requests that crash targets.
        configurations ///< Parts of configurations, and questions for them.
    };

    struct traffic_count
    {
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0;
    };

    awaitable<void> receive();
    void handle_bytes(std::string_view bytes, const udp::endpoint& from);
    awaitable<void> tick();
    void handle_datagram(const mesh::datagram& message,
                         const std::string& from);
    void handle_streams(const mesh::datagram& message, const std::string& from);
    void handle_crashes(const mesh::datagram& message, const std::string& from);
    void handle_heartbeat(const mesh::node_heartbeat& from);
    void apply_target_signals(const mesh::node_heartbeat& from, instant sent);
    void handle_node_death(const host_id& host, instant now);
    void merge_loss_history(const mesh::node_heartbeat& from, instant now);
    void apply_load_and_stock(const mesh::node_heartbeat& from);
    duration transit_allowance(instant now) const;
    void record_tick(instant now);
    void report_lateness();
    void note_unreadable(const std::string& sender, const error& cause);
    void apply_freshness(const mesh::node_heartbeat& from,
                         std::optional<duration> delay, instant now);
    mesh::node_heartbeat make_heartbeat();
    void send_to_all(const std::vector<std::string>& addresses,
                     const mesh::datagram& message, traffic kind);
    void send_heartbeat(const std::vector<std::string>& addresses);
    void send_update(const std::vector<std::string>& addresses);
    bool missed_update(const mesh::peer_record& peer) const;
    void send_due_heartbeats();
    void send_introduction(const std::string& address);
    void schedule_update();
    awaitable<void> send_scheduled_update();

    node_tables& tables_;
    std::string address_;
    token_allocator* allocator_ = nullptr;
    stream_origin_exchange* origins_ = nullptr;
    quarantine_exchange* quarantine_ = nullptr;
    udp::socket socket_;
    update_exchange exchange_;
    telemetry::counter& sent_;
    telemetry::counter& failed_;
    telemetry::gauge& lag_gauge_;
    std::array<traffic_count, 7> traffic_{}; ///< Since the last log_traffic().
    std::array<char, 65536> datagram_{};
    std::uint64_t sequence_ = 0;
    bool update_scheduled_ = false;
    instant last_update_;
    bool was_late_ = false;
};

} // namespace fennelladder::edge

#endif
