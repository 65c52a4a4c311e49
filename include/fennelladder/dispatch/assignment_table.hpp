// Assigns cold and rate-limited targets to nodes, and sets each node's quota of
// requests to such a target.
//
//     assignment_table assignments(self, {});
//     assignments.set_hosts(large, small);     // hosts of the membership view
//     if (sends.count(now, cold_window) <
//         assignments.cold_quota(target, limit)) ...
//     if (sends.count(now, limit_window) <
//         assignments.limited_quota(target, rate, silence)) ...
//     if (running < assignments.place_share(target, slots)) ...
//
// The capacity of a cold target, and the limit that a target announces, apply
// to the requests of all nodes together. Nodes can't ask each other before each
// request, and an equal rate for every node would add up to many times the
// limit. Therefore only the hosts that rank first for a target by rendezvous
// hashing send its requests, each with an equal part of the limit; all other
// nodes send none. The larger an announced limit, the more nodes are assigned.
//
// Membership views may differ. Each node that wrongly counts itself among the
// assigned nodes sends one part more, so only a share of the limit is planned
// for. The hosts have to be those known for long, alive or not: a partitioned
// node would rank itself first everywhere if it left out the hosts that it
// can't reach.
//
// Assigned nodes may be dead or have no callers. A cold target warms up soon,
// but that a limit has ended shows only in an answer. While no node gets an
// answer, further hosts are assigned in the order of their ranks, at a quarter
// of the limit's rate.
//
// Cost: computing a rank is linear in the number of hosts; ranks are cached
// until the hosts change. Not thread safe.

#ifndef FENNELLADDER_DISPATCH_ASSIGNMENT_TABLE_HPP
#define FENNELLADDER_DISPATCH_ASSIGNMENT_TABLE_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace fennelladder::dispatch {

/// Windows in which requests are counted against a target's capacity.
inline constexpr duration cold_window = seconds(1);
inline constexpr duration limit_window = seconds(4);

struct assignment_options
{
    /// Nodes assigned to a target. With one, its loss starves the target; with
    /// many, the quotas are too small for a burst at one node.
    std::size_t assigned_nodes = 3;
    /// More nodes are assigned if the limit allows each of them this many
    /// requests in a limit_window: where all targets of a service announce
    /// limits, callers of the other nodes are refused.
    std::size_t min_requests_per_node = 2;
    /// Share of a cold target's capacity that is assigned; the rest allows for
    /// nodes with a different membership view.
    double planned_share = 0.67;
};

class assignment_table
{
public:
    assignment_table(host_id self, assignment_options options);

    /// All hosts that targets may be assigned to, in any order, including this
    /// one if it is eligible: `first`, and ranked after all of these `rest`,
    /// which get no cold targets. Empty while this node doesn't know enough
    /// hosts: it is then assigned no target.
    void set_hosts(std::vector<host_id> first, std::vector<host_id> rest = {});

    /// Requests that this node may send to a cold target in any cold_window.
    /// `limit`: the target's capacity for requests of all nodes.
    std::uint32_t cold_quota(const target_id& target,
                             std::uint32_t limit) const;

    /// Requests that this node may send in any limit_window to a target that
    /// accepts `rate` >= 0 requests a second from all nodes, `silence` after
    /// its last answer to any node.
    std::uint32_t limited_quota(const target_id& target, double rate,
                                duration silence) const;

    /// This node's part of `slots` places at a target, which nodes use at the
    /// same time: the parts of all known hosts add up to the whole. One place
    /// while no hosts are known.
    std::uint32_t place_share(const target_id& target,
                              std::uint32_t slots) const;

private:
    std::size_t rank(const target_id& target) const;
    /// Number of hosts that rank before this one; rank() caches it.
    std::size_t count_higher_ranked(const target_id& target) const;

    host_id self_;
    assignment_options options_;
    std::vector<host_id> first_;
    std::vector<host_id> rest_;
    bool is_first_ = false; ///< Whether this host is among `first_`.
    bool is_rest_ = false;
    mutable std::unordered_map<target_id, std::size_t> ranks_;
};

/// Times of the requests sent to a target in the last limit_window.
class recent_sends
{
public:
    void note(instant now);

    /// Requests in the `span` up to `now`. Precondition: span <= limit_window.
    std::size_t count(instant now, duration span) const;

private:
    std::deque<instant> sends_;
};

} // namespace fennelladder::dispatch

#endif
