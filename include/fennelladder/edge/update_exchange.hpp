// Brings targets and configurations from nodes that know more, and serves
// those that know less.
//
//     update_exchange news(tables, address);
//     if (auto ok = news.start(); !ok) ...
//     news.on_heartbeat(beacon);                 // fetches what the node lacks
//
// Targets and configurations are fetched apart, one exchange each at a time,
// so that a target's leaving never waits for a megabyte. Each goes on until
// no living node is known that has more. Over a connection (see peer_stream)
// goes one question and one answer; a configuration travels packed, and is
// packed once, by the node that got it from the platform. A node that sends
// as many as its link carries answers "busy" and names nodes that have it by
// now: a tree grows whose root may be a small host.
//
// What a peer sends is checked; bytes that can't be read are logged, and
// another node is asked.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_UPDATE_EXCHANGE_HPP
#define FENNELLADDER_EDGE_UPDATE_EXCHANGE_HPP

#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/peer_stream.hpp"
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
    /// `address`: where other nodes reach this one.
    update_exchange(node_tables& tables, std::string address);

    /// Serves other nodes. Fails with the reason when the address can't be
    /// used.
    status start();

    /// Fetches what the sender of the beacon knows beyond this node. The
    /// roster has to have heard it before.
    void on_heartbeat(const mesh::beacon& from);

private:
    /// The fetching of one part.
    struct fetching
    {
        fetching(telemetry::metrics& metrics, mesh::sync_part wanted);

        telemetry::counter& count_of(mesh::fetch_end end) const;

        const mesh::sync_part part;
        const std::string name; ///< In log lines and metrics.
        bool under_way = false;
        mesh::source_rests rests;
        telemetry::counter& done;
        telemetry::counter& not_newer;
        telemetry::counter& busy;
        telemetry::counter& failed;
    };

    /// A configuration as it goes over the wire, to all that ask.
    struct wire_form
    {
        catalog::configuration_version version;
        std::shared_ptr<const std::string> bytes; ///< Null: none yet.
    };

    bool is_ahead(const mesh::beacon& from, mesh::sync_part part) const;

    void begin(fetching& what);
    awaitable<void> fetch_all(fetching& what);
    awaitable<mesh::fetch_end> fetch_from(fetching& what, std::string address);
    awaitable<bool> exchange(peer_stream& stream, const fetching& what,
                             const std::string& address, std::string& answer);
    duration head_start(const fetching& what);
    std::vector<mesh::news_source> sources_of(mesh::sync_part part);
    void add_named(std::vector<mesh::news_source>& to);
    void note_end(fetching& what, const std::string& address,
                  mesh::fetch_end end);
    mesh::fetch_end take_answer(const fetching& what, const std::string& bytes,
                                const std::string& source);
    mesh::fetch_end take_targets(const mesh::sync_reply& reply);
    mesh::fetch_end apply_configuration(mesh::sync_reply reply,
                                        const std::string& source);
    void take_named(const mesh::sync_reply& reply);
    void note_unreadable(const std::string& source, const error& cause);

    awaitable<void> accept();
    awaitable<void> serve(std::shared_ptr<tcp::socket> socket);
    awaitable<void> answer(peer_stream& stream, const mesh::sync_ask& ask);
    awaitable<bool> send_configuration(peer_stream& stream,
                                       std::shared_ptr<const std::string> bytes,
                                       const mesh::sync_ask& ask,
                                       mesh::transfer_id slot);
    awaitable<bool> send_paced(peer_stream& stream, std::string_view bytes,
                               mesh::transfer_id slot);
    mesh::sync_reply targets_for(const mesh::sync_ask& ask) const;
    mesh::sync_reply busy_reply() const;
    std::shared_ptr<const std::string> wire_form_for(const mesh::sync_ask& ask);
    void keep_wire_form(std::string packed);

    node_tables& tables_;
    std::string address_;
    tcp::acceptor acceptor_;
    mesh::transfer_slots slots_;
    fetching targets_;
    fetching configuration_;
    wire_form wire_form_;
    /// Nodes named by busy ones, and the version they have.
    std::map<std::string, catalog::configuration_version> named_;
    telemetry::counter& fetched_bytes_;
    telemetry::counter& sent_;
    telemetry::counter& send_failed_;
    telemetry::counter& sent_busy_;
};

} // namespace fennelladder::edge

#endif
