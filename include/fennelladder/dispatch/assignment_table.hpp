// Which nodes carry the requests of a target that bears few, and how many each.
//
//     assignment_table carriers(self, {});
//     carriers.set_hosts(large, small);           // whom the roster knows
//     if (sends.count(now, cold_window) < carriers.cold_quota(target, limit))
//     ... if (sends.count(now, limit_window) <
//         carriers.limited_quota(target, rate, silence)) ...
//
// What a cold target bears, and what one that names a limit takes, is counted
// over all nodes. Nodes can't ask each other before each request, and a rate
// for each of them would add up to many times the limit. So a few nodes carry
// the requests of such a target, those that rank first for it by rendezvous
// hashing over the hosts; each may send an equal part, and all other nodes
// nothing. The larger a named limit, the more nodes carry it.
//
// Nodes may know different hosts. Each that wrongly counts itself among the
// carriers sends one part more, so that only some of the limit is planned for.
// The hosts have to be those known for long, living or not: a node that is cut
// off would count itself first everywhere if it left out whom it can't hear.
//
// Carriers may be dead or have no callers. A cold target is warm soon; that a
// limit is over shows only in an answer. While no node has had one, further
// hosts carry in the order of their ranks, at a quarter of the limit's rate.
//
// Cost: a rank is linear in the hosts, and kept until these change. Not thread
// safe.

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

/// Spans over which requests are counted against what a target bears.
inline constexpr duration cold_window = seconds(1);
inline constexpr duration limit_window = seconds(4);

struct assignment_options
{
    /// Nodes that carry one target. With one, its loss starves the target;
    /// with many, the parts are so small that a burst at one finds no room.
    std::size_t carriers = 3;
    /// A limit that has room for so many requests a node in a limit_window is
    /// carried by more nodes than that: callers of the others are refused where
    /// all targets of a service name limits.
    std::size_t min_requests_per_node = 2;
    /// Part of what a cold target bears that the carriers use; the rest is for
    /// nodes that know other hosts than the others do.
    double planned = 0.67;
};

class assignment_table
{
public:
    assignment_table(host_id self, assignment_options options);

    /// All hosts that may carry, in any order, this one among them if it may:
    /// `first`, and behind all of these `rest`, which carry no cold targets.
    /// Empty while this node doesn't know enough of them: it carries nothing.
    void set_hosts(std::vector<host_id> first, std::vector<host_id> rest = {});

    /// Requests that this node may send to a cold target in any cold_window.
    /// `limit`: what the target bears from all nodes.
    std::uint32_t cold_quota(const target_id& target,
                             std::uint32_t limit) const;

    /// Requests that this node may send in any limit_window to a target that
    /// takes `rate` >= 0 a second from all nodes, `silence` after its last
    /// answer to any node.
    std::uint32_t limited_quota(const target_id& target, double rate,
                                duration silence) const;

private:
    std::size_t rank(const target_id& target) const;
    std::size_t count_ahead(const target_id& target) const;

    host_id self_;
    assignment_options options_;
    std::vector<host_id> first_;
    std::vector<host_id> rest_;
    bool is_first_ = false; ///< Whether this host is among `first_`.
    bool is_rest_ = false;
    mutable std::unordered_map<target_id, std::size_t> ranks_;
};

/// When requests were sent to a target, as far as the longest span goes.
class recent_sends
{
public:
    void note(instant now);

    /// Within the span up to `now`. Precondition: span <= limit_window.
    std::size_t count(instant now, duration span) const;

private:
    std::deque<instant> sends_;
};

} // namespace fennelladder::dispatch

#endif
