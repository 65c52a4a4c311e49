// How much of the fleet's stock died lately, as a number of whole fleets.
//
//     loss_tracker losses(first_start, now);
//     losses.note_death(hosts, now);          // a process ended unannounced
//     losses.merge_peer(said, now);                 // what an older node
//     remembers state.losses = losses.at(now);          // for
//     prepaid/stock_plan.hpp
//
// What is stocked is lost with the node that holds it. After deaths others are
// likelier, so less should lie about; the outage memory pulls the other way.
//
// A process that starts takes over what an older node remembers. Where there
// is none, all died together: that counts as one whole fleet, except at the
// first start of the system. Until a node has had the time to hear older ones,
// it tells nobody what it only presumes.
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
    /// A loss counts half as much after this long.
    duration half_life = minutes(5);
    /// By then a process that starts has heard the older ones.
    duration discovery_time = seconds(3);
};

class loss_tracker
{
public:
    /// `first_start`: no process of the system ran before this one, which
    /// starts `now`.
    loss_tracker(bool first_start, instant now,
                 loss_tracker_options options = {});

    /// A process of one of `hosts` hosts ended without leaving. Precondition:
    /// hosts > 0.
    void note_death(std::size_t hosts, instant now);

    /// A node that started before this one remembers `said`. Precondition:
    /// said >= 0.
    void merge_peer(double said, instant now);

    /// Whole fleets lost lately, >= 0.
    double at(instant now) const;

    /// The same for other nodes; unset while it is only presumed.
    std::optional<double> known(instant now) const;

private:
    loss_tracker_options options_;
    instant started_;
    bool assumes_total_loss_;  ///< Until an older node is heard, all died.
    double counted_ = 0; ///< As of `changed_`.
    instant changed_;
};

} // namespace fennelladder::prepaid

#endif
