// A node's part in the mesh: hears and sends beacons, carries the transfers
// of tokens, and has what beacons only announce fetched (edge/update_exchange).
//
// Beacons are datagrams to each node once a period, and to all at once when
// there is news; these carry the latest changes of targets.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_MESH_NODE_HPP
#define FENNELLADDER_EDGE_MESH_NODE_HPP

#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/token_desk.hpp"
#include "fennelladder/edge/update_exchange.hpp"

#include <array>
#include <functional>
#include <string>

namespace fennelladder::edge {

class mesh_node
{
public:
    /// `address`: where other nodes reach this one, by datagram and
    /// connection alike.
    mesh_node(node_tables& tables, std::string address);

    /// Where token messages go. Call before start().
    void set_token_desk(token_desk& desk);

    /// Fails with the reason when the address can't be used.
    status start();

    void send(const std::string& address, const mesh::datagram& message);

    /// Addresses of nodes learned elsewhere.
    void add_peer_addresses(const std::vector<std::string>& addresses);

    const std::string& address() const { return address_; }

    /// Writes a line with what was sent since the last one, as
    /// "datagrams/bytes" of each kind.
    void log_traffic();

private:
    /// What a datagram is sent for.
    enum class traffic : std::uint8_t
    {
        beacons,   ///< Regular ones.
        news,      ///< Brief ones, for a change.
        greetings, ///< To nodes that are new here.
        tokens     ///< Transfers.
    };

    struct traffic_count
    {
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0;
    };

    awaitable<void> receive();
    awaitable<void> tick();
    void take(const mesh::datagram& message, const std::string& from);
    void take_beacon(const mesh::beacon& from);
    void take_signals(const mesh::beacon& from, instant sent);
    void note_death(const host_id& host, instant now);
    void hear_losses(const mesh::beacon& from, instant now);
    void take_holdings(const mesh::beacon& from);
    duration way_allowance(instant now) const;
    void note_tick(instant now);
    void note_lateness();
    void note_unreadable(const std::string& sender, const error& cause);
    void take_freshness(const mesh::beacon& from, std::optional<duration> delay,
                        instant now);
    mesh::beacon own_beacon();
    void send_to_all(const std::vector<std::string>& addresses,
                     const mesh::datagram& message, traffic kind);
    void send_beacon(const std::vector<std::string>& addresses);
    void send_news(const std::vector<std::string>& addresses);
    bool missed_news(const mesh::node_row& peer) const;
    void send_due_beacons();
    void greet(const std::string& address);
    void spread();
    awaitable<void> spread_when_due();

    node_tables& tables_;
    std::string address_;
    token_desk* desk_ = nullptr;
    udp::socket socket_;
    update_exchange news_;
    telemetry::counter& sent_;
    telemetry::counter& failed_;
    telemetry::gauge& lag_gauge_;
    std::array<traffic_count, 4> traffic_{}; ///< Since the last line.
    std::array<char, 65536> datagram_{};
    std::uint64_t sequence_ = 0;
    bool spreading_ = false;
    instant last_spread_;
    bool was_late_ = false;
};

} // namespace fennelladder::edge

#endif
