// Keeps back the last tokens of a team for its more urgent requests while no
// more tokens arrive.
//
//     urgency_reserve reserve(options);
//     reserve.note(team, urgency, wanted, now);     // whether served or not
//     if (free - wanted < reserve.reserved_for_urgent(team, urgency, now))
//         ... refuse this request ...
//
// While the platform is unreachable, a stock lasts for some seconds. If
// requests were served in order of arrival, all kinds would be refused alike
// once the stock is used up, including the most urgent ones, although these
// need only a small part of it: prompt sizes differ by a factor of ten between
// kinds. So the tokens that more urgent requests are expected to want are kept
// back from the others.
//
// Keeps no state but the demand rates; not thread safe.

#ifndef FENNELLADDER_PREPAID_URGENCY_RESERVE_HPP
#define FENNELLADDER_PREPAID_URGENCY_RESERVE_HPP

#include "fennelladder/base/decaying_rate.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"

#include <map>

namespace fennelladder::prepaid {

struct urgency_reserve_options
{
    /// Keeps back what more urgent requests want in this time, about the seven
    /// to nine seconds that an outage of the platform takes. 0: keeps nothing
    /// back.
    duration span = seconds(8);
    /// At most this share of the team's demand is kept back: urgent kinds that
    /// need most of the tokens would leave nothing to the others.
    double max_share = 0.25;
    /// Time constant of the demand rates. The demand has to be known when the
    /// outage begins, and this is short compared to a team's ups and downs.
    duration demand_memory = seconds(8);
};

class urgency_reserve
{
public:
    explicit urgency_reserve(urgency_reserve_options options)
        : options_(options)
    {}

    /// Counts a request of this urgency (0: the most urgent) that wants tokens,
    /// whether it gets them or not.
    void note(const team_id& team, int urgency, tokens wanted, instant now);

    /// Tokens that a request of this urgency must leave to more urgent ones.
    tokens reserved_for_urgent(const team_id& team, int urgency,
                               instant now) const;

private:
    urgency_reserve_options options_;
    std::map<team_id, std::map<int, decaying_rate>> demand_; ///< By urgency.
};

} // namespace fennelladder::prepaid

#endif
