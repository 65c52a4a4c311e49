// The nodes of the fleet as one node hears them.
//
//     roster nodes(self, options);
//     if (nodes.on_heartbeat(beacon, now))
//         ... news: spread it, refresh the entry answers ...
//     nodes.ready(now)                // whom callers may be sent to
//     nodes.rank(...) < watchers      // this node watches the platform
//
// A hint only: a silent node may live and a heard one may have died since.
// Nothing that must never happen rests on it.
//
// Cost: a few words a node; every query is linear in the nodes. Not thread
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
    /// Between two beacons to the same node in a small fleet.
    duration heartbeat_period = milliseconds(250);
    /// Beacons a second that a node sends at most; a larger fleet hears each
    /// node less often.
    double max_heartbeat_rate = 40;
    /// Addresses that never answered are all tried within so many periods of a
    /// small fleet: a fleet that starts anew finds itself in 2.5 s.
    std::size_t probe_all_periods = 10;
    /// Nodes heard last that a beacon names, 14 bytes each. A node is heard of
    /// by so many more beacons than its own.
    std::size_t max_recent_peers = 8;
    /// A node of a small fleet is taken for dead after so many periods.
    double failure_periods = 4;
    /// In a large one, after so many times the mean time between two signs of
    /// it: mentions come by chance, and e^-10 of the gaps are longer.
    double failure_gaps = 10;
    /// A node silent for this long is forgotten.
    duration forget_after = seconds(60);
    /// Its host counts for so long among those that share a limit.
    duration host_retention = minutes(10);
    /// Addresses told in one beacon to a node that is new.
    std::size_t introductions = 16;
    /// Addresses told in every other beacon, 18 bytes each. A node of a fleet
    /// of 95 hears of 80 a second, so of all others within seconds.
    std::size_t introductions_per_heartbeat = 2;
};

/// A host with this share of the largest one's capacity counts as large.
inline constexpr double large_capacity_ratio = 0.5;

/// Whether a host of `capacity` counts as large where `largest` is the most.
constexpr bool is_large(double capacity, double largest)
{
    return capacity >= largest * large_capacity_ratio;
}

/// Another node.
struct peer_record
{
    node_heartbeat last; ///< Without what changes fast (load, stock, poison).
    instant heard;       ///< The last beacon.
    instant seen;        ///< The last sign of life, a beacon or a mention.
    transit_delay way;   ///< Of its beacons.
};

/// How a host compares in size with the living that reach the platform.
struct size_class
{
    bool large = true;
    /// Of all living hosts, this one among them, those that reach the platform
    /// and are large: from 0 to 1.
    double large_fraction = 1;
};

/// What a beacon changed.
struct heartbeat_effect
{
    bool new_node = false; ///< Or a new life of a known one.
    bool state_changed = false;
    bool died = false; ///< The host's earlier process, without leaving.
    bool late = false; ///< An older one than the last; passed over.
    /// How much longer than usual it was under way; unset where its sender
    /// doesn't say when it was sent.
    std::optional<duration> delay;
};

class peer_view
{
public:
    using peer_map = std::map<host_id, peer_record>;

    peer_view(host_id self, peer_view_options options);

    /// Takes a beacon of another node in. Late ones are passed over.
    heartbeat_effect on_heartbeat(const node_heartbeat& from, instant now);

    /// Addresses to send beacons to although nobody answered there yet.
    void add_addresses(const std::vector<std::string>& addresses);

    /// Whom to send a beacon to now: every node once a period, and some of the
    /// addresses that never answered.
    std::vector<std::string> due(instant now);

    /// Everybody known, for news that must not wait.
    std::vector<std::string> all_addresses() const;

    /// Whom to mention in a beacon: those whose beacons came last.
    std::vector<recent_peer> recent_peers(instant now) const;

    /// A node without a sign of life for this long is taken for dead.
    duration silence_limit() const;

    /// Nodes heard lately, by host.
    std::vector<const peer_record*> alive(instant now) const;
    bool is_alive(const peer_record& row, instant now) const;

    /// Hosts of this and all living nodes that aren't leaving, sorted.
    std::vector<host_id> members(instant now) const;

    /// Position of this node among the living in an order all nodes agree on:
    /// those that reach the platform first, of these the large hosts first.
    /// `reached` and `capacity` are this node's own.
    std::size_t rank(std::string_view salt, bool reached, double capacity,
                     instant now) const;

    /// The node that comes first in that order, unless it is this one.
    const peer_record* leader(std::string_view salt, bool reached,
                              double capacity, instant now) const;

    /// Where this node stands by size; `capacity` is its own. Others that
    /// don't reach the platform ask it nothing, so they aren't compared with.
    size_class classify_size(double capacity, instant now) const;

    /// The large ones of this host, of `capacity`, and all others within
    /// host_retention, living or not.
    std::vector<host_id> large_hosts(double capacity) const;

    /// The others of these.
    std::vector<host_id> small_hosts(double capacity) const;

    /// This host, all others within host_retention, and the addresses that have
    /// never answered. Guards against the halves of a fleet in two, and nodes
    /// that start in one of them: each would share a limit among fewer hosts
    /// than there are.
    std::size_t host_count() const;

    /// Those of members() that are large.
    std::vector<host_id> large_members(double capacity, instant now) const;

    /// Addresses of up to `most` living nodes to tell another, others each
    /// time. Guards against two nodes that never hear of each other: they
    /// registered at the same moment and each listed a copy of the store
    /// without the other; to them the fleet is smaller than it is, and they
    /// disagree with others on who holds stock and who watches.
    std::vector<std::string> introductions(std::size_t most, instant now);

    /// How long a period is in a fleet of this size.
    duration period() const;

    /// Nodes ever heard and not forgotten, and this one.
    std::size_t size() const { return rows_.size() + 1; }

    const peer_map& rows() const { return rows_; }

    void forget_old(instant now);

    const peer_view_options& options() const { return options_; }

private:
    /// A place in an order that all nodes agree on; the greatest comes first.
    using place = std::tuple<bool, bool, std::uint64_t>;

    struct known_host
    {
        double capacity = 0;
        instant heard;
    };

    std::vector<std::pair<place, const peer_record*>>
    ahead_of(std::string_view salt, bool reached, double capacity,
             instant now) const;
    std::vector<host_id> hosts_by_size(double capacity, bool large) const;
    void take_mentions(const node_heartbeat& from, instant now);
    double phase_of(const host_id& other) const;

    host_id self_;
    peer_view_options options_;
    peer_map rows_;
    std::map<host_id, known_host> hosts_; ///< All within host_retention.
    std::vector<std::string> unanswered_; ///< Addresses without a row.
    std::map<std::string, instant> next_due_;
    std::size_t turn_ = 0;       ///< Which unanswered address is next.
    std::size_t introduced_ = 0; ///< Living nodes introduced so far.
};

} // namespace fennelladder::mesh

#endif
