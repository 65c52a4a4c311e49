// Estimates how much of the fleet's stock was lost recently through deaths of
// nodes, in units of the whole fleet.
//
//     loss_tracker losses(first_start, now);
//     losses.note_death(hosts, now);          // a process ended unannounced
//     losses.merge_peer(reported, now);       // estimate of an older node
//     state.losses = losses.at(now);          // for prepaid/stock_plan.hpp
//
// Stock is lost with the node that holds it. After deaths further ones are more
// likely, so less should be stocked; past outages of the platform
// (outage_tracker.hpp) call for more.
//
// A process that starts takes over the estimate of an older node. If there is
// no older node, all nodes died together: that counts as the loss of one whole
// fleet, except at the first start of the system. Until a process has had the
// time to hear from older nodes, it doesn't report this assumption to others.
//
// Not thread safe.

#ifndef FENNELLADDER_PREPAID_LOSS_TRACKER_HPP
#define FENNELLADDER_PREPAID_LOSS_TRACKER_HPP

#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <optional>

namespace fennelladder::prepaid {

struct loss_tracker_options
{
    /// Half-life of a loss.
    duration half_life = minutes(5);
    /// Time after its start within which a process has heard from older nodes,
    /// if there are any.
    duration discovery_time = seconds(3);
};

class loss_tracker
{
public:
    /// `first_start`: no process of the system ran before this one. `now`: when
    /// this process starts.
    loss_tracker(bool first_start, instant now,
                 loss_tracker_options options = {});

    /// A process on one of `hosts` hosts ended without leaving. Precondition:
    /// hosts > 0.
    void note_death(std::size_t hosts, instant now);

    /// The estimate of a node that started before this one. Precondition:
    /// reported >= 0.
    void merge_peer(double reported, instant now);

    /// Recent losses as a number of whole fleets, >= 0.
    double at(instant now) const;

    /// The same, to report to other nodes; unset while it is only assumed.
    std::optional<double> known(instant now) const;

private:
    loss_tracker_options options_;
    instant started_;
    bool assumes_total_loss_; ///< Until an older node reports.
    double counted_ = 0;      ///< As of `counted_at_`.
    instant counted_at_;
};

} // namespace fennelladder::prepaid

#endif
