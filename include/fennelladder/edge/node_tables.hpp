// Everything that the parts of one node share.
//
// The parts (caller sessions, the feed from the platform, the mesh, the token
// desk) get a reference each and work on these tables from one thread. The
// tables decide; the parts do the input and output.

#ifndef FENNELLADDER_EDGE_NODE_TABLES_HPP
#define FENNELLADDER_EDGE_NODE_TABLES_HPP

#include "fennelladder/base/decaying_rate.hpp"
#include "fennelladder/base/random.hpp"
#include "fennelladder/catalog/configuration.hpp"
#include "fennelladder/catalog/evacuation_list.hpp"
#include "fennelladder/catalog/target_entry.hpp"
#include "fennelladder/dispatch/poison_list.hpp"
#include "fennelladder/dispatch/retry_allowance.hpp"
#include "fennelladder/dispatch/target_book.hpp"
#include "fennelladder/edge/loop_lag.hpp"
#include "fennelladder/edge/target_connection.hpp"
#include "fennelladder/edge/tuning_options.hpp"
#include "fennelladder/edge/unreadable_objects.hpp"
#include "fennelladder/mesh/freshness.hpp"
#include "fennelladder/mesh/news_lateness.hpp"
#include "fennelladder/mesh/roster.hpp"
#include "fennelladder/prepaid/loss_memory.hpp"
#include "fennelladder/prepaid/purse.hpp"
#include "fennelladder/telemetry/metrics.hpp"
#include "platform/host_settings.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fennelladder::edge {

/// Between two looks of the node at what is due, and at its loop's lag.
inline constexpr duration tick_period = milliseconds(50);

/// Whether the platform answers this node.
struct platform_contact
{
    bool reached = false;
    instant changed; ///< When `reached` last changed.
};

/// Writes a line for each signal of a target that is news; `by` says who told
/// it: an answer, or the peer.
void log_signals(const target_id& target, const catalog::target_signals& said,
                 const dispatch::signal_news& news, const std::string& by);

struct node_tables
{
    node_tables(asio::io_context& context, const clock& clock_used,
                adapter::host_settings given, std::uint64_t seed,
                tuning_options tuning = {});

    instant now() const { return time.now(); }

    /// The node takes callers: it knows what is in force and isn't leaving.
    bool ready() const;

    mesh::node_state state() const;

    /// Requests a second that this host can carry.
    double capacity() const;

    /// Lets the target book know what the list says.
    void update_target_registry();

    /// Whether targets that are missing from the list may come back: nobody
    /// heard from the platform for long, or not until a moment ago.
    bool target_list_in_doubt() const;

    /// Whether no node that is heard has had the newest list for longer than
    /// news may take. Nodes ask the platform well before that, so it is so only
    /// where none gets an answer; a list that is old because this host is
    /// behind says nothing of the platform.
    bool targets_unconfirmed() const;

    /// Whether changes reach this node too late for it to give out work; see
    /// mesh/news_lateness.hpp.
    bool updates_are_late() const;

    /// How much longer than usual what comes to this host waits at present.
    duration queueing_delay() const;

    /// Takes a newer configuration into force; older ones are passed over.
    /// `text` is what to pass on to other nodes, `source` who brought it, for
    /// the log. True if it is in force now.
    bool apply_configuration(catalog::configuration_parts parts,
                             std::string text, const std::string& source);

    /// Takes a newer state of evacuations into force, `source` being who
    /// brought it, for the log. True if other data centres are evacuated now.
    bool apply_evacuations(catalog::evacuation_state state,
                           const std::string& source);

    /// Lets those limits that hold for all nodes together know the hosts that
    /// share them. None do while this node can't know the others yet.
    void update_sharing_hosts();

    /// For how long a peer's word on its stock counts: a few beacons.
    duration stock_update_lifetime() const;

    /// Of the configuration in force; 0 while none is known.
    catalog::configuration_version version() const;

    /// A peer has a configuration that this node hasn't.
    void note_configuration_announced();

    /// The platform, or a peer with the same, says that what this node has
    /// was the newest at `at`.
    void confirm_configuration(instant at);
    void confirm_targets(instant at);

    /// Some node had the newest list of targets at `at`, whatever this one has.
    void note_targets_confirmed(instant at);
    void confirm_evacuations(instant at);

    /// Notes whether a call to the platform was answered.
    void note_platform_contact(bool reached, const std::string& detail);

    asio::io_context& io;
    const clock& time;
    random_source random;
    adapter::host_settings settings;
    const tuning_options options;
    mesh::node_life life; ///< Of this process.

    /// Null until one is known.
    std::shared_ptr<const catalog::configuration> config;
    std::string config_text;
    mesh::freshness configuration_freshness;
    /// When a configuration was first heard of that isn't here yet.
    std::optional<instant> configuration_announced;
    catalog::target_list targets;
    mesh::freshness targets_freshness;
    mesh::freshness fleet_targets_freshness; ///< Of any node's list.
    catalog::evacuation_list evacuations;
    mesh::freshness evacuations_freshness;
    /// The latest change of targets that a peer spoke of.
    catalog::revision targets_announced;
    mesh::news_lateness lateness;
    instant targets_changed; ///< When the list last changed here.
    /// When a time ended in which nobody could say what the newest list was.
    std::optional<instant> confirmation_gap_ended;
    dispatch::target_book registry;
    dispatch::retry_allowance retries;
    dispatch::poison_list poison;
    prepaid::purse purse;
    prepaid::loss_memory losses;
    mesh::roster peers;
    target_pool pool;
    telemetry::metrics metrics;
    unreadable_objects unreadable{metrics};
    platform_contact platform;
    /// From callers. As long a memory as it takes callers to ask for entry
    /// answers twice: their load then has followed the last answer.
    decaying_rate accepted_requests{seconds(4)};
    loop_lag lag{tick_period};
    instant started; ///< When this process began to hear of others.
    bool leaving = false;

    /// Called whenever the platform answered any call; set by the feed.
    std::function<void()> on_platform_answer = [] {};

    /// Tells the other nodes at once; set by the mesh.
    std::function<void()> broadcast_update = [] {};
};

} // namespace fennelladder::edge

#endif
