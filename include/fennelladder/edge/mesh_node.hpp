// A node's part in the mesh: hears and sends beacons, carries the transfers
// of tokens, and brings the configuration and the list of targets from nodes
// that know more.
//
// Beacons are datagrams to each node once a period, and to all at once when
// there is news; these carry the latest changes of targets. What they only
// announce is fetched over a connection: four
// bytes of length (network order), then one message; one question, one
// answer, as often as the asker likes.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_MESH_NODE_HPP
#define FENNELLADDER_EDGE_MESH_NODE_HPP

#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/token_desk.hpp"

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
    void connect_desk(token_desk& desk);

    /// Fails with the reason when the address can't be used.
    status start();

    void send(const std::string& address, const mesh::datagram& message);

    /// Addresses of nodes learned elsewhere.
    void introduce(const std::vector<std::string>& addresses);

    const std::string& address() const { return address_; }

private:
    awaitable<void> receive();
    awaitable<void> tick();
    awaitable<void> accept();
    awaitable<void> serve_sync(std::shared_ptr<tcp::socket> socket);
    awaitable<void> sync_from(std::string address);
    awaitable<bool> sync_once(std::string address);
    std::string better_informed(const std::string& except) const;
    awaitable<std::size_t> ask_sync(tcp::socket& socket,
                                    const std::string& address);
    std::string generation_text() const;
    void take(const mesh::datagram& message, const std::string& from);
    void take_beacon(const mesh::beacon& from);
    void take_freshness(const mesh::beacon& from, instant now);
    void take_sync(const mesh::sync_reply& reply, const std::string& source);
    mesh::sync_reply sync_answer(const mesh::sync_ask& ask) const;
    catalog::revision targets_at(const std::string& address) const;
    bool knows_less_than(const mesh::beacon& from) const;
    mesh::beacon own_beacon();
    void send_to_all(const std::vector<std::string>& addresses,
                     const mesh::datagram& message);
    void send_beacon(const std::vector<std::string>& addresses);
    void send_news(const std::vector<std::string>& addresses);
    bool missed_news(const mesh::node_row& peer) const;
    void send_due_beacons();
    void greet(const std::string& address);
    void spread();

    node_tables& tables_;
    std::string address_;
    token_desk* desk_ = nullptr;
    udp::socket socket_;
    tcp::acceptor acceptor_;
    telemetry::counter& sent_;
    telemetry::counter& failed_;
    telemetry::counter& fetched_;
    telemetry::counter& fetch_failed_;
    telemetry::counter& fetched_bytes_;
    std::array<char, 65536> datagram_{};
    std::uint64_t sequence_ = 0;
    bool syncing_ = false;
    bool spreading_ = false;
};

} // namespace fennelladder::edge

#endif
