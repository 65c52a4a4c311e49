// The state that the components of one node share.
//
// The components (caller sessions, platform feed, mesh, token allocator) each
// hold a reference and access these tables from one thread. The tables
// implement the decisions; the components do the I/O.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_NODE_TABLES_HPP
#define FENNELLADDER_EDGE_NODE_TABLES_HPP

#include "fennelladder/base/decaying_rate.hpp"
#include "fennelladder/base/random.hpp"
#include "fennelladder/catalog/configuration.hpp"
#include "fennelladder/catalog/evacuation_list.hpp"
#include "fennelladder/catalog/target_entry.hpp"
#include "fennelladder/dispatch/admission_control.hpp"
#include "fennelladder/dispatch/quarantine.hpp"
#include "fennelladder/dispatch/retry_budget.hpp"
#include "fennelladder/dispatch/service_times.hpp"
#include "fennelladder/dispatch/stream_origins.hpp"
#include "fennelladder/dispatch/target_registry.hpp"
#include "fennelladder/edge/link_meter.hpp"
#include "fennelladder/edge/loop_lag.hpp"
#include "fennelladder/edge/target_connection.hpp"
#include "fennelladder/edge/tuning_options.hpp"
#include "fennelladder/edge/unreadable_objects.hpp"
#include "fennelladder/mesh/freshness.hpp"
#include "fennelladder/mesh/peer_view.hpp"
#include "fennelladder/mesh/update_lateness.hpp"
#include "fennelladder/prepaid/loss_tracker.hpp"
#include "fennelladder/prepaid/token_balances.hpp"
#include "fennelladder/telemetry/metrics.hpp"
#include "platform/host_settings.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fennelladder::edge {

/// Interval at which the node checks what is due and measures its loop's lag.
inline constexpr duration tick_period = milliseconds(50);

/// Whether the platform answers this node.
struct platform_contact
{
    bool reached = false;
    instant changed; ///< When `reached` last changed.
};

/// Logs each signal of a target that is new. `by` names the source: a response,
/// or the peer that reported it.
void log_signals(const target_id& target,
                 const catalog::target_signals& signals,
                 const dispatch::signal_changes& changes,
                 const std::string& by);

struct node_tables
{
    node_tables(asio::io_context& context, const clock& clock_used,
                adapter::host_settings given, std::uint64_t seed,
                tuning_options tuning = {});

    instant now() const { return time.now(); }

    /// Whether the node accepts callers: it knows the configuration, targets
    /// and evacuations in force and isn't shutting down.
    bool ready() const;

    mesh::node_state state() const;

    /// Requests per second that this host can carry.
    double capacity() const;

    /// Whether requests for some service go through peers for the most part.
    /// Callers are served, but better by the peers. False while
    /// failures_show_nothing().
    bool is_cut_off() const;

    /// Updates the target registry from the target list. Call after each change
    /// of the list.
    void update_target_registry();

    /// Whether targets that are missing from the list may return: no node could
    /// confirm its list for too long, or could do so again only a moment ago.
    bool target_list_in_doubt() const;

    /// Whether no reachable node has had the newest target list within the
    /// staleness bound. Nodes ask the platform well before that, so this is
    /// true only if none of them gets an answer. A list that is stale because
    /// only this host lags behind doesn't count.
    bool targets_unconfirmed() const;

    /// Whether updates reach this node too late for it to dispatch requests;
    /// see mesh/update_lateness.hpp.
    bool updates_are_late() const;

    /// The present queueing delay of incoming traffic, beyond the usual one:
    /// the larger of what heartbeats and, with link.measure, dials show.
    duration queueing_delay() const;

    /// How long connecting to a target may take. Within the fleet's networks it
    /// takes milliseconds. A connect that takes longer has lost a packet or
    /// leads nowhere, and another target is faster. On a saturated link,
    /// connecting to any target takes as long as bytes queue there.
    duration connect_timeout() const;

    /// Whether the host's link delays its traffic so much that a connect which
    /// isn't made in time shows nothing about its other end.
    bool link_is_full() const;

    /// Whether timeouts are no evidence about targets at present, and relays
    /// aren't asked for, which would cross the full link twice more: with
    /// link.measure, while the link is full.
    bool failures_show_nothing() const;

    /// What a failed dial shows of its target. A refused one is an answer, on a
    /// full link too; requests would otherwise go on to a process that is gone.
    dispatch::target_evidence evidence_of_dial(const error& why) const;

    /// Updates the measures of the link, and logs when it becomes full and when
    /// it no longer is. Call once a tick.
    void update_link();

    /// Records that a connection to the target, begun at `started`, couldn't be
    /// made, unless the host's link was full meanwhile: a relay would cross the
    /// same link twice more.
    void note_dial_failed(const catalog::target_process& target,
                          instant started);

    /// Puts a configuration into force if it is newer than the present one.
    /// `text` is passed on to other nodes; `source` names the sender for the
    /// log. Returns true if it is in force now.
    bool apply_configuration(catalog::configuration_parts parts,
                             std::string text, const std::string& source);

    /// Puts a newer evacuation state into force. `source` names the sender for
    /// the log. Returns true if the set of evacuated data centres changed.
    bool apply_evacuations(catalog::evacuation_state state,
                           const std::string& source);

    /// Tells the registry which data centres are evacuated. `source` names the
    /// cause for the log.
    void apply_evacuations_in_force(const std::string& source);

    /// Whether this node started so lately that it may not have heard from all
    /// others.
    bool is_discovering() const;

    /// Updates the set of hosts that share the fleet-wide limits. The set is
    /// empty until this node has had time to hear from the others.
    void update_sharing_hosts();

    /// How long a peer's report of its stock is valid: a few heartbeats.
    duration stock_update_lifetime() const;

    /// Version of the configuration in force; 0 if none is known.
    catalog::configuration_version version() const;

    /// Records that a peer has a newer configuration than this node.
    void note_configuration_announced();

    /// Records that the state of this node was the newest one at `at`, as
    /// stated by the platform or by a peer with the same state.
    void confirm_configuration(instant at);
    /// `follows_all`: see dispatch::version_history.
    void confirm_targets(instant at, bool follows_all = false);

    /// Records that some node had the newest target list at `at`, whether or
    /// not this node has it.
    void note_targets_confirmed(instant at);
    void confirm_evacuations(instant at);

    /// Records the era that the store or a peer states. In a later one than
    /// known, what was learnt of the store before stays in use but is no longer
    /// confirmed. `source` names who stated it for the log.
    void note_store_era(catalog::store_era era, const std::string& source);

    /// Whether the store was restored from an older copy within `limit`, as far
    /// as this node knows.
    bool store_restored_within(duration limit) const;

    /// Ends what is kept of the time before the store was restored, once those
    /// who wrote it have had time to do so again. Call regularly.
    void expire_kept_entries();

    /// Records whether a call to the platform was answered. `detail` names the
    /// call for the log.
    void note_platform_contact(bool reached, const std::string& detail);

    asio::io_context& io;
    const clock& time;
    random_source random;
    adapter::host_settings settings;
    const tuning_options options;
    mesh::node_incarnation incarnation; ///< The incarnation of this process.

    /// Null if none is known yet.
    std::shared_ptr<const catalog::configuration> config;
    std::string config_text;
    mesh::freshness configuration_freshness;
    /// When a newer configuration was first announced that this node doesn't
    /// have yet.
    std::optional<instant> configuration_announced;
    catalog::target_list targets;
    mesh::freshness targets_freshness;
    mesh::freshness fleet_targets_freshness; ///< Newest of all nodes' lists.
    catalog::evacuation_list evacuations;
    mesh::freshness evacuations_freshness;
    /// The latest revision of the target list that a peer announced.
    catalog::revision targets_announced;
    /// The highest era of the store that is known; the lowest if it states
    /// none.
    catalog::store_era store_era;
    /// When this process learnt that the store was restored; unset: never.
    std::optional<instant> store_restored;
    mesh::update_lateness lateness;
    instant targets_changed; ///< When this node's list last changed.
    /// End of the last period in which no node could confirm its target list.
    std::optional<instant> confirmation_gap_ended;
    dispatch::target_registry registry;
    dispatch::retry_budget retries;
    dispatch::quarantine quarantine;
    dispatch::stream_origin_table stream_origins;
    /// No target is listed for less than the time within which it may leave.
    dispatch::version_history versions{stream_origins.options().retention,
                                       settings.leaving_bound};
    prepaid::token_balances token_balances;
    prepaid::loss_tracker losses;
    mesh::peer_view peers;
    loop_lag lag{tick_period};
    /// What passes the node's sockets; measured with link.measure.
    link_meter link;
    bool link_was_full = false; ///< As logged last.
    connection_pool pool;
    telemetry::metrics metrics;
    unreadable_objects unreadable{metrics};
    platform_contact platform;
    /// Rate of requests from callers. The averaging window covers two fetches
    /// of entry answers by a caller, after which the load reflects the last
    /// answer.
    decaying_rate accepted_requests{seconds(4)};
    dispatch::admission_control admission;
    instant started; ///< When this process started to listen to peers.
    bool leaving = false;
    /// While the node leaves: when every request has to have been answered.
    std::optional<instant> stops_at;
    dispatch::service_times service_times;

    /// Called whenever the platform answered any call. Set by platform_feed.
    std::function<void()> on_platform_answer = [] {};

    /// Called when the store has entered a later era.
    std::vector<std::function<void()>> on_store_era;

    /// Reads the software versions that nodes have recorded on the platform,
    /// unless that was done. Returns whether the read is under way. Set by
    /// platform_feed.
    std::function<bool()> read_recorded_versions = [] { return false; };

    /// Sends an update to all peers without waiting for the next heartbeat. Set
    /// by mesh_node.
    std::function<void()> broadcast_update = [] {};
};

} // namespace fennelladder::edge

#endif
