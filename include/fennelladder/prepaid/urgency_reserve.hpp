// Whom the last tokens of a team serve while no more come.
//
//     ration shares(options);
//     shares.note(team, urgency, wanted, now);      // whatever becomes of it
//     if (free - wanted < shares.kept_back(team, urgency, now))
//         ... not for this one ...
//
// While the platform is away a stock lasts for some seconds. Served as they
// come, requests of all kinds are refused alike once it is used up, the most
// urgent among them, though these need a small part of it: kinds differ by ten
// in their prompts. So what more urgent requests will want is kept back from
// the others.
//
// Pure but for its counts; not thread safe.

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
    /// What more urgent requests want in so long is kept back. An outage of the
    /// platform takes seven to nine seconds. 0: nothing is.
    duration span = seconds(8);
    /// No more than this share of the team's demand is kept back: urgent kinds
    /// that need most of the tokens would leave the others nothing at all.
    double max_share = 0.25;
    /// Of the demand that is remembered: it has to be known when the outage
    /// begins, and is small next to a team's ups and downs.
    duration demand_memory = seconds(8);
};

class urgency_reserve
{
public:
    explicit urgency_reserve(urgency_reserve_options options)
        : options_(options)
    {}

    /// A request of this urgency (0: the most urgent) wants tokens, whether it
    /// gets them or not.
    void note(const team_id& team, int urgency, tokens wanted, instant now);

    /// What a request of this urgency has to leave to more urgent ones.
    tokens kept_back(const team_id& team, int urgency, instant now) const;

private:
    urgency_reserve_options options_;
    std::map<team_id, std::map<int, decaying_rate>> demand_; ///< By urgency.
};

} // namespace fennelladder::prepaid

#endif
