// Membership view: the other nodes of the fleet as this node knows them from
// heartbeats.
//
//     peer_view nodes(self, options);
//     if (nodes.on_heartbeat(heartbeat, now).new_node)
//         ... spread it, refresh the entry answers ...
//     nodes.ready(now)                // where callers may be sent
//     nodes.rank(...) < watcher_count // this node watches the platform
//
// A hint only: a silent node may be alive, and one heard recently may have
// died since. No safety property may depend on it.
//
// Cost: a few words per node; every query is linear in the nodes. Not thread
// safe.

#ifndef FENNELLADDER_MESH_PEER_VIEW_HPP
#define FENNELLADDER_MESH_PEER_VIEW_HPP

#include "fennelladder/mesh/messages.hpp"
#include "fennelladder/mesh/transit_delay.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace fennelladder::mesh {

struct peer_view_options
{
    /// Between two heartbeats to the same node in a small fleet.
    duration heartbeat_period = milliseconds(250);
    /// Most heartbeats that a node sends per second; in a larger fleet each
    /// node is heard less often.
    double max_heartbeat_rate = 40;
    /// All addresses that never answered are probed within this many heartbeat
    /// periods of a small fleet: a restarted fleet forms in 2.5 s.
    std::size_t probe_all_periods = 10;
    /// Recently heard nodes listed in a heartbeat, 14 bytes each. Each node is
    /// thus reported by this many heartbeats besides its own.
    std::size_t max_recent_peers = 8;
    /// Heartbeat periods without a sign of life after which a node of a small
    /// fleet counts as dead.
    double failure_periods = 4;
    /// In a large fleet: mean intervals between two signs of life after which a
    /// node counts as dead. Reports by other nodes arrive at random, and e^-10
    /// of the gaps are longer.
    double failure_gaps = 10;
    /// A node silent for this long is removed.
    duration forget_after = seconds(60);
    /// How long its host counts among those that share a limit.
    duration host_retention = minutes(10);
    /// Addresses of other nodes in a heartbeat to a new node.
    std::size_t introductions = 16;
    /// Addresses in every other heartbeat, 18 bytes each. A node of a fleet of
    /// 95 receives 80 a second, so those of all others within seconds.
    std::size_t introductions_per_heartbeat = 2;
};

/// A host with at least this share of the largest capacity counts as large.
inline constexpr double large_capacity_ratio = 0.5;

/// Whether a host of `capacity` counts as large where `largest` is the most.
constexpr bool is_large(double capacity, double largest)
{
    return capacity >= largest * large_capacity_ratio;
}

/// What is known of another node.
struct peer_record
{
    node_heartbeat
        last;      ///< Without fast-changing parts (load, stock, crashes).
    instant heard; ///< Time of the last heartbeat.
    /// Time of the last sign of life: a heartbeat or a report by another node.
    instant seen;
    transit_delay transit; ///< Of its heartbeats.
};

/// How a host compares in capacity with the live hosts that reach the platform.
struct size_class
{
    bool large = true;
    /// Fraction of all live hosts, this one included, that reach the platform
    /// and are large: from 0 to 1.
    double large_fraction = 1;
};

/// What a heartbeat changed.
struct heartbeat_effect
{
    bool new_node = false; ///< Or a new incarnation of a known one.
    bool state_changed = false;
    /// The host's earlier incarnation ended without leaving.
    bool died = false;
    bool late = false; ///< Older than the last one; ignored.
    /// How much longer than usual its transit took; unset if the sender doesn't
    /// give the sending time.
    std::optional<duration> delay;
};

class peer_view
{
public:
    using peer_map = std::map<host_id, peer_record>;

    peer_view(host_id self, peer_view_options options);

    /// Processes a heartbeat of another node. Out-of-order ones are ignored.
    heartbeat_effect on_heartbeat(const node_heartbeat& from, instant now);

    /// Adds addresses to probe that no node has answered from yet.
    void add_addresses(const std::vector<std::string>& addresses);

    /// Addresses to send a heartbeat to now: every node once a period, and some
    /// of those that never answered.
    std::vector<std::string> due(instant now);

    /// Where a host's node listens for peers; empty if it isn't known.
    std::string address_of(const host_id& host) const;

    /// All known addresses, for updates that must not wait.
    std::vector<std::string> all_addresses() const;

    /// The nodes whose heartbeats came last, to be listed in a heartbeat.
    std::vector<recent_peer> recent_peers(instant now) const;

    /// A node without a sign of life for this long counts as dead.
    duration silence_limit() const;

    /// Nodes that count as alive, ordered by host.
    std::vector<const peer_record*> alive(instant now) const;
    bool is_alive(const peer_record& row, instant now) const;

    /// Hosts of this and all live nodes that aren't leaving, sorted.
    std::vector<host_id> members(instant now) const;

    /// Position of this node among the live nodes in an order on which all
    /// nodes agree: those that reach the platform first, and large hosts first
    /// among these. `reached` and `capacity` are this node's own.
    std::size_t rank(std::string_view salt, bool reached, double capacity,
                     instant now) const;

    /// The node that comes first in that order; null if it is this one.
    const peer_record* leader(std::string_view salt, bool reached,
                              double capacity, instant now) const;

    /// This node's size class; `capacity` is its own. Nodes that don't reach
    /// the platform make no calls to it and are left out of the comparison.
    size_class classify_size(double capacity, instant now) const;

    /// The large hosts among this one (of `capacity`) and all others heard
    /// within host_retention, alive or not.
    std::vector<host_id> large_hosts(double capacity) const;

    /// The small hosts among the same.
    std::vector<host_id> small_hosts(double capacity) const;

    /// Number of hosts: this one, all others heard within host_retention, and
    /// the addresses that never answered. Guards against a partition of the
    /// fleet, and nodes that start in one part: each part would share a limit
    /// among fewer hosts than there are.
    std::size_t host_count() const;

    /// Those of members() that are large.
    std::vector<host_id> large_members(double capacity, instant now) const;

    /// Addresses of up to `most` live nodes to pass on, rotating through all of
    /// them. Guards against two nodes that never learn of each other: they
    /// registered at the same moment, and each read a copy of the store without
    /// the other. They would see a smaller fleet, and disagree with others on
    /// stock holders and watchers.
    std::vector<std::string> introductions(std::size_t most, instant now);

    /// The heartbeat period in a fleet of this size.
    duration period() const;

    /// Number of nodes heard and not yet removed, plus this one.
    std::size_t size() const { return rows_.size() + 1; }

    const peer_map& rows() const { return rows_; }

    void forget_old(instant now);

    const peer_view_options& options() const { return options_; }

private:
    /// Sort key of an order on which all nodes agree; the greatest comes first.
    using rank_key = std::tuple<bool, bool, std::uint64_t>;

    struct known_host
    {
        double capacity = 0;
        instant heard;
    };

    std::vector<std::pair<rank_key, const peer_record*>>
    ranked_before(std::string_view salt, bool reached, double capacity,
                  instant now) const;
    std::vector<host_id> hosts_by_size(double capacity, bool large) const;
    void apply_recent_peers(const node_heartbeat& from, instant now);
    double phase_of(const host_id& other) const;

    host_id self_;
    peer_view_options options_;
    peer_map rows_;
    std::map<host_id, known_host> hosts_; ///< All heard within host_retention.
    std::vector<std::string> unanswered_; ///< Addresses without a record.
    std::map<std::string, instant> next_due_;
    std::size_t next_unanswered_ = 0; ///< Index of the next unanswered address.
    std::size_t introduction_count_ = 0; ///< Introductions made so far.
};

} // namespace fennelladder::mesh

#endif
