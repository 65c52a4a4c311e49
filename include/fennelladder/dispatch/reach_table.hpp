// Which targets this node reaches over links of its own, and which only its
// peers reach.
//
//     reach_table reach({});
//     reach.set_targets(processes);                  // the platform's list
//     reach.note_dial_failed(process, started, now); // evidence of this node
//     reach.set_peer(host, heartbeat.reached, sent); // evidence of a peer
//     if (reach.needs_relay(process))
//         ... send the request through one of reach.relays(process, now) ...
//
// A target that can't be reached has failed, or the path between it and this
// node has. The two differ in what peers hear: while a peer gets answers from
// the target, the target works. So a target is `lost` when a connection to it
// couldn't be made, and relayed while a peer has heard from it since. A target
// that nobody hears from is left to the registry's backoff.
//
// A node whose links to a whole service are cut would lose the targets one
// after the other, at the price of a connect timeout each. Therefore a service
// counts as cut off when connections to two of its targets failed after the
// last byte from any of them, while a peer hears from the service. All its
// targets are then relayed. Bytes from any target over a direct connection, or
// a new connection to one, end that conclusion, but not the loss of those that
// failed by themselves: where open connections survive and new ones are
// refused, the targets differ.
//
// The way back: next_probe() names relayed targets to connect to. One that was
// lost repeatedly within a short time needs several successes in a row, so
// that a path that drops packets doesn't alternate with every request.
//
// If no peer hears from a service either, it is not cut off, and nothing is
// relayed.
//
// Cost: set_targets(), next_probe() and own_report() take linear time in the
// number of targets, set_peer() in that of the rows, relays() in that of all
// peers' rows; the others take logarithmic time. Not thread
// safe.

#ifndef FENNELLADDER_DISPATCH_REACH_TABLE_HPP
#define FENNELLADDER_DISPATCH_REACH_TABLE_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/catalog/target_entry.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelladder::dispatch {

/// Identifies a process of a target in few bytes: a hash of its id and start.
/// Two processes with the same mark are taken for each other's peers' evidence;
/// a relay then fails to connect, which ends the mistake.
using process_mark = std::uint32_t;

process_mark mark_of(const catalog::target_process& process);

/// A target that the sender of a report heard from over a direct connection.
struct reached_target
{
    process_mark mark = 0;
    duration ago{0}; ///< Rounded up, so that it never seems more recent.

    friend bool operator==(const reached_target&,
                           const reached_target&) = default;
};

struct reach_options
{
    /// Reports name the targets heard from within this time.
    duration report_span = seconds(3);
    /// A peer that reported nothing for this long relays nothing.
    duration peer_memory = seconds(10);
    /// Failed connections to this many targets of a service, without a byte
    /// from any in between, count as the loss of all.
    std::size_t targets_of_cut = 2;
    /// Interval of the connections that test lost targets, all together.
    duration probe_interval = milliseconds(200);
    /// A target lost again within this time needs one more successful probe
    /// than before, up to max_confirmations.
    duration relapse_span = seconds(10);
    int max_confirmations = 3;
    /// A peer that failed to relay isn't asked for this long.
    duration relay_backoff = milliseconds(500);
};

/// A process of a target, and its service.
struct listed_process
{
    catalog::target_process process;
    service_id service;
};

class reach_table
{
public:
    explicit reach_table(reach_options options) : options_(options) {}
    reach_table(const reach_table&) = delete;
    reach_table& operator=(const reach_table&) = delete;
    reach_table(reach_table&&) = default;
    reach_table& operator=(reach_table&&) = default;

    /// The targets that exist. Others are forgotten, and evidence about them is
    /// ignored.
    void set_targets(const std::vector<listed_process>& all);

    /// Bytes came from the target over a direct connection.
    void note_contact(const catalog::target_process& process, instant now);

    /// A direct connection was made.
    void note_connected(const catalog::target_process& process, instant now);

    /// A direct connection, begun at `started`, couldn't be made.
    void note_dial_failed(const catalog::target_process& process,
                          instant started, instant now);

    /// The relaying peer couldn't connect to the target either.
    void note_unreachable_by_peer(const catalog::target_process& process,
                                  instant now);

    /// The peer didn't relay: it refused, or couldn't be reached.
    void note_relay_failed(const host_id& peer, instant now);

    /// Replaces a peer's report, sent at `sent` by this node's clock.
    void set_peer(const host_id& peer, const std::vector<reached_target>& all,
                  instant sent);
    void forget_peer(const host_id& peer);

    /// Whether requests to the target have to go through a peer.
    bool needs_relay(const catalog::target_process& process) const;

    /// Whether connections to the target that are open may be used: false if
    /// nothing came from it since it was lost.
    bool may_use_open(const catalog::target_process& process) const;

    /// Whether a connection to the target couldn't be made, and neither this
    /// node nor a peer has heard from it since: as far as known, nobody reaches
    /// it.
    bool is_unreached(const catalog::target_process& process) const;

    /// When bytes last came over a direct connection; unset: never.
    std::optional<instant>
    last_contact(const catalog::target_process& process) const;

    /// Since when the target is lost; unset if it isn't.
    std::optional<instant>
    lost_since(const catalog::target_process& process) const;

    /// The peers that may relay to the target: those that heard from it since
    /// it was lost; if there are none, those that lately heard from its
    /// service.
    std::vector<host_id> relays(const catalog::target_process& process,
                                instant now) const;

    /// When any peer last heard from the target; unset if none reported it.
    std::optional<instant>
    heard_by_peers(const catalog::target_process& process) const;

    /// Whether peers ever reported a target of the same service.
    bool is_reported(const catalog::target_process& process) const;

    /// Whether this node is cut off from a service that peers reach.
    bool is_cut_off(const service_id& service) const;

    /// The services of whose targets at least half have to be relayed.
    std::vector<service_id> impaired_services() const;

    /// The target to connect to now, to test whether it is reached again; unset
    /// if no probe is due.
    std::optional<catalog::target_process> next_probe(instant now);

    /// What this node reaches, for its peers: the `most` heard from last.
    std::vector<reached_target> own_report(std::size_t most, instant now) const;

    std::size_t lost_count() const { return lost_count_; }

private:
    struct target_state
    {
        service_id service;
        process_mark mark = 0;
        std::optional<instant> contact; ///< Last byte over a direct connection.
        /// When the connect that failed began; unset if the target isn't lost.
        std::optional<instant> lost;
        std::optional<instant> found; ///< End of the last loss.
        /// When a relaying peer failed to connect.
        std::optional<instant> unreachable_by_peer;
        std::optional<instant> probed;
        int confirmations = 1; ///< Successful probes that end a loss.
        int successes = 0;     ///< Successful probes since it was lost.
    };

    struct service_state
    {
        /// Targets to which connections failed since the last byte from any,
        /// and when the first of these connects began.
        std::set<catalog::target_process> failed;
        std::optional<instant> first_failure;
        std::optional<instant> heard_by_peers; ///< From any of its targets.
    };

    /// A listed target as peers name it.
    struct marked_target
    {
        service_state* service = nullptr;
        /// When any peer last heard from it. Outlives the peer.
        std::optional<instant> heard;
    };

    struct peer_state
    {
        instant reported;
        std::optional<instant> failed; ///< When it last didn't relay.
        /// When it last heard from each target, and from any of a service.
        std::vector<std::pair<process_mark, instant>> heard;
        std::vector<std::pair<const service_state*, instant>> heard_services;
    };

    using state_map = std::map<catalog::target_process, target_state>;

    std::optional<instant> heard_by_peers(process_mark mark) const;
    void forget_failures(const service_id& service);
    bool has_failed(const service_state& service) const;
    bool may_relay(const peer_state& peer, instant now) const;

    reach_options options_;
    state_map targets_;
    std::map<service_id, service_state> services_; ///< Nothing is erased.
    std::map<host_id, peer_state> peers_;
    std::unordered_map<process_mark, marked_target> marked_targets_;
    std::size_t lost_count_ = 0;
    instant next_probe_;
};

} // namespace fennelladder::dispatch

#endif
