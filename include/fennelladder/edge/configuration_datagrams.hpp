// Gets configurations from peers by datagrams while connections aren't
// established, and sends them to peers that ask (mesh/configuration_parts.hpp).
//
//     configuration_datagrams datagrams(tables, {send, sources, packed,
//     apply}); datagrams.start();                  // after a fetch failed
//     datagrams.on_message(message, from);
//
// Asks until no live node is known to have a newer configuration. Only nodes
// whose heartbeats this node gets are answered, at the address that they state
// there: nobody else can make it send.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_CONFIGURATION_DATAGRAMS_HPP
#define FENNELLADDER_EDGE_CONFIGURATION_DATAGRAMS_HPP

#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/mesh/answer_budget.hpp"
#include "fennelladder/mesh/configuration_download.hpp"
#include "fennelladder/mesh/source_choice.hpp"

#include <functional>
#include <string>
#include <vector>

namespace fennelladder::edge {

class configuration_datagrams
{
public:
    /// Sends a datagram to the node at an address. Empty: this node neither
    /// asks nor answers.
    using sender =
        std::function<void(const std::string& address, const mesh::datagram&)>;

    /// What the owner does for this object.
    struct owner
    {
        sender send;
        /// The configuration in force; null if it can't be compressed or is
        /// too large to be sent by datagrams.
        std::function<const mesh::packed_configuration*()> packed;
        /// Checks a compressed configuration and puts it into force. `source`
        /// names the sender for the log.
        std::function<mesh::fetch_result(std::string packed,
                                         const std::string& source)>
            apply;
    };

    configuration_datagrams(node_tables& tables, owner owned_by);

    /// Starts to ask for a newer configuration, unless it does so already or
    /// the option is off.
    void start();

    /// Handles messages of other nodes. `from` is the sender's address.
    void on_message(const mesh::datagram& message, const std::string& from);

private:
    struct counters
    {
        explicit counters(telemetry::metrics& metrics);

        telemetry::counter& of_result(mesh::fetch_result end) const;

        telemetry::counter& done;
        telemetry::counter& not_newer;
        telemetry::counter& failed;
        telemetry::counter& asked;
        telemetry::counter& answered;
        telemetry::counter& limited;
        telemetry::counter& unanswerable;
    };

    bool is_enabled() const;
    std::vector<mesh::part_source> sources() const;
    awaitable<void> ask();
    void on_part(const mesh::configuration_part& part, const std::string& from);
    void on_question(const mesh::configuration_question& question);
    telemetry::counter& answer(const mesh::configuration_question& question);
    void apply(const std::string& from);

    node_tables& tables_;
    owner owner_;
    mesh::configuration_download download_;
    mesh::answer_budget budget_;
    asio::steady_timer answered_; ///< Cancelled when a question is answered.
    bool is_asking_ = false;
    bool is_pausing_ = false; ///< The last text was of no use.
    instant started_;         ///< When it began to ask.
    counters counters_;
};

} // namespace fennelladder::edge

#endif
