// Fetches targets and configurations from nodes that have newer ones, and
// serves them to nodes that have older ones.
//
//     update_exchange exchange(tables, address);
//     if (auto ok = exchange.start(); !ok) ...
//     exchange.on_heartbeat(heartbeat);  // fetches what the node lacks
//
// Targets and configurations are fetched separately, each by one exchange at a
// time, so that a target's leaving never waits for a megabyte. Fetching
// continues until no live node is known to have a newer version. Each
// connection (see peer_stream) carries one request and one reply. A
// configuration is sent compressed, and compressed only once, by the node that
// got it from the platform. A node that already sends as many as its link can
// carry replies "busy" and names nodes that have it by now, so a distribution
// tree forms even if its root is a small host.
//
// While connections aren't established, since the link is full, a configuration
// is also asked for by datagrams (edge/configuration_datagrams).
//
// Replies of peers are validated. If one can't be parsed, that is logged, and
// another node is asked.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_UPDATE_EXCHANGE_HPP
#define FENNELLADDER_EDGE_UPDATE_EXCHANGE_HPP

#include "fennelladder/edge/configuration_datagrams.hpp"
#include "fennelladder/edge/connection_slots.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/peer_stream.hpp"
#include "fennelladder/edge/relay.hpp"
#include "fennelladder/mesh/source_choice.hpp"
#include "fennelladder/mesh/transfer_slots.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fennelladder::edge {

class update_exchange
{
public:
    /// `address` is the IP and port on which this node listens for peers.
    /// Without `send`, nothing is exchanged by datagrams.
    update_exchange(node_tables& tables, std::string address,
                    configuration_datagrams::sender send = {});

    /// Starts to serve other nodes. Fails if the address can't be used.
    status start();

    /// Starts to fetch whatever the sender of the heartbeat has that is newer.
    /// The membership view must have processed the heartbeat before.
    void on_heartbeat(const mesh::node_heartbeat& from);

    /// Handles a datagram of another node. `from` is the sender's address.
    void on_message(const mesh::datagram& message, const std::string& from)
    {
        datagrams_.on_message(message, from);
    }

    /// Number of connections that this node relays for peers.
    std::size_t relayed() const { return relays_.active(); }

private:
    /// State and counters of the fetches of one part.
    struct fetch_state
    {
        fetch_state(telemetry::metrics& metrics, mesh::sync_part wanted);

        telemetry::counter& count_of(mesh::fetch_result end) const;

        const mesh::sync_part part;
        const std::string name; ///< Used in log lines and metrics.
        bool under_way = false;
        mesh::source_backoff backoff;
        telemetry::counter& done;
        telemetry::counter& not_newer;
        telemetry::counter& busy;
        telemetry::counter& failed;
    };

    /// An encoded configuration, shared by all replies that contain it.
    struct encoded_configuration
    {
        catalog::configuration_version version;
        std::shared_ptr<const std::string> bytes; ///< Null: none yet.
        /// For datagrams; without bytes if it is too large for them.
        mesh::packed_configuration packed;
    };

    bool is_ahead(const mesh::node_heartbeat& from, mesh::sync_part part) const;

    void start_fetch(fetch_state& fetch);
    awaitable<void> fetch_all(fetch_state& fetch);
    awaitable<mesh::fetch_result> fetch_from(fetch_state& fetch,
                                             std::string address);
    awaitable<bool> query(peer_stream& stream, const fetch_state& fetch,
                          const std::string& address, std::string& answer);
    duration fetch_delay(const fetch_state& fetch);
    duration connect_timeout() const;
    std::vector<mesh::update_source> sources_of(mesh::sync_part part);
    void add_suggested_sources(std::vector<mesh::update_source>& to);
    void record_result(fetch_state& fetch, const std::string& address,
                       mesh::fetch_result end);
    mesh::fetch_result handle_reply(const fetch_state& fetch,
                                    const std::string& bytes,
                                    const std::string& source);
    mesh::fetch_result apply_targets(const mesh::sync_reply& reply);
    mesh::fetch_result apply_configuration(mesh::sync_reply reply,
                                           const std::string& source);
    void record_suggested_sources(const mesh::sync_reply& reply);
    void note_unreadable(const std::string& source, const error& cause);

    awaitable<void> serve(std::shared_ptr<tcp::socket> socket);
    awaitable<void> answer_relay_end(peer_stream& stream,
                                     const mesh::relay_request& ask);
    awaitable<void> answer(peer_stream& stream, const mesh::sync_request& ask);
    awaitable<bool> send_configuration(peer_stream& stream,
                                       std::shared_ptr<const std::string> bytes,
                                       const mesh::sync_request& ask,
                                       mesh::transfer_id slot);
    awaitable<bool> send_paced(peer_stream& stream, std::string_view bytes,
                               mesh::transfer_id slot);
    mesh::sync_reply targets_for(const mesh::sync_request& ask) const;
    mesh::sync_reply busy_reply() const;
    std::shared_ptr<const std::string>
    encoded_reply_for(const mesh::sync_request& ask);
    bool ensure_encoded();
    void cache_encoded(std::string packed);
    const mesh::packed_configuration* packed();

    node_tables& tables_;
    std::string address_;
    tcp::acceptor acceptor_;
    connection_slots connections_; ///< Of peers that ask.
    relay_server relays_;
    mesh::transfer_slots slots_;
    fetch_state targets_;
    fetch_state configuration_;
    encoded_configuration encoded_;
    /// Sources that busy nodes suggested, and the version they have.
    std::map<std::string, catalog::configuration_version> suggested_;
    telemetry::counter& fetched_bytes_;
    telemetry::counter& sent_;
    telemetry::counter& send_failed_;
    telemetry::counter& sent_busy_;
    configuration_datagrams datagrams_;
};

} // namespace fennelladder::edge

#endif
