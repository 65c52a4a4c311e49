// How long the platform was lately out of reach of the whole fleet.
//
//     outage_tracker outages;
//     outages.note(reached, now);              // at each look
//     state.outage = outages.longest(now);     // for prepaid/stock_plan.hpp
//
// What is stocked serves callers through an outage, and is lost with the loss
// of all nodes. Which of the two comes next can't be known; a platform that was
// away once is likely to be away again, and for as long.
//
// Not thread safe.

#ifndef FENNELLADDER_PREPAID_OUTAGE_TRACKER_HPP
#define FENNELLADDER_PREPAID_OUTAGE_TRACKER_HPP

#include "fennelladder/base/time.hpp"

#include <deque>
#include <optional>

namespace fennelladder::prepaid {

struct outage_tracker_options
{
    /// An outage counts for so long after its end.
    duration retention = minutes(10);
    /// A shorter one says nothing: a call that failed, a store that changed
    /// its leader.
    duration min_length = seconds(1);
};

class outage_tracker
{
public:
    explicit outage_tracker(outage_tracker_options options = {})
        : options_(options)
    {}

    /// Whether any node reaches the platform now, as far as is known.
    void note(bool reached, instant now);

    /// The longest outage remembered, one that lasts still among them; 0:
    /// there was none.
    duration longest(instant now) const;

private:
    struct outage
    {
        instant began;
        instant ended;
    };

    outage_tracker_options options_;
    std::optional<instant> began_; ///< Of the one that lasts.
    std::deque<outage> past_;
};

} // namespace fennelladder::prepaid

#endif
