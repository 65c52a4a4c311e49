// Tracks how long the platform was recently unreachable for the whole fleet.
//
//     outage_tracker outages;
//     outages.note(reached, now);                     // at each check
//     state.longest_outage = outages.longest(now);    // for stock_plan.hpp
//
// Stock serves callers through an outage of the platform, and is lost if all
// nodes die. Which of the two comes next is unknown; a platform that was
// unreachable once is likely to be unreachable again, for about as long.
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
    /// How long an outage counts after its end.
    duration retention = minutes(10);
    /// Shorter ones are ignored: a failed call, or a store that elected a new
    /// leader.
    duration min_length = seconds(1);
};

class outage_tracker
{
public:
    explicit outage_tracker(outage_tracker_options options = {})
        : options_(options)
    {}

    /// Records whether any node is known to reach the platform now.
    void note(bool reached, instant now);

    /// The longest recent outage, including one still in progress; 0 if there
    /// was none.
    duration longest(instant now) const;

private:
    struct outage
    {
        instant began;
        instant ended;
    };

    outage_tracker_options options_;
    std::optional<instant> began_; ///< Of the outage in progress.
    std::deque<outage> past_outages_;
};

} // namespace fennelladder::prepaid

#endif
