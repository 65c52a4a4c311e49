// How many requests a cold target gets from this node.
//
//     carrier_table carriers(self, {});
//     carriers.set_hosts(hosts);                      // whom the roster knows
//     if (sends.count(now) < carriers.share(target, limit)) ...
//
// A cold target bears a number of requests in any one second, counted over all
// nodes, and crashes above it. Nodes can't ask each other before each request,
// and a rate for each of them would add up to many times the limit. So a few
// nodes carry the requests of a cold target, those that rank first for it by
// rendezvous hashing over the hosts; each may send an equal part of what the
// target bears, and all other nodes nothing.
//
// Nodes may know different hosts. Each that wrongly counts itself among the
// carriers sends one part more, so that only some of the limit is planned for.
// The hosts have to be those known for long, living or not: a node that is cut
// off would count itself first everywhere if it left out whom it can't hear.
//
// Pure. Not thread safe.

#ifndef FENNELLADDER_DISPATCH_CARRIER_TABLE_HPP
#define FENNELLADDER_DISPATCH_CARRIER_TABLE_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace fennelladder::dispatch {

struct carrier_options
{
    /// Nodes that carry one target. With one, its loss starves the target;
    /// with many, the parts are so small that a burst at one finds no room.
    std::size_t carriers = 3;
    /// Part of the limit that the carriers use; the rest is for nodes that
    /// know other hosts than the others do.
    double planned = 0.67;
};

class carrier_table
{
public:
    carrier_table(host_id self, carrier_options options);

    /// All hosts that may carry, in any order, this one among them if it may.
    /// Empty while this node doesn't know enough of them: it carries nothing.
    void set_hosts(std::vector<host_id> hosts);

    /// Requests that this node may send to the target in any one second.
    /// `limit`: what the target bears from all nodes.
    std::uint32_t share(const target_id& target, std::uint32_t limit) const;

private:
    host_id self_;
    carrier_options options_;
    std::vector<host_id> hosts_;
    bool may_carry_ = false;
};

/// When requests were sent to a target, as far as the latest second goes.
class recent_sends
{
public:
    void note(instant now);

    /// Within the second up to `now`.
    std::size_t count(instant now) const;

private:
    std::deque<instant> sends_;
};

} // namespace fennelladder::dispatch

#endif
