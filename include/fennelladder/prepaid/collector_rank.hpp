// Who collects the tokens that several nodes need at the same time.
//
//     const auto own = rank_of(team, urgency, own_host);
//     if (goes_first(rank_of(team, its_urgency, its_host), own))
//         ... give it what is free here ...
//     else
//         ... keep it, and answer once the own request has ended ...
//
// Nodes that each hold a part of a team's last tokens, and wait for more, would
// refuse each other, and none would be served. So they give to the one that
// goes first: the more urgent request, and of equally urgent ones that of the
// host with the higher rank by rendezvous hashing. All nodes agree on this
// order without a message. Tokens move in one direction only while requests
// wait, so none goes back and forth.
//
// Pure; thread safe.

#ifndef FENNELLADDER_PREPAID_COLLECTOR_RANK_HPP
#define FENNELLADDER_PREPAID_COLLECTOR_RANK_HPP

#include "fennelladder/base/ids.hpp"

#include <cstdint>

namespace fennelladder::prepaid {

/// The place of a waiting request among those of its team.
struct collector_rank
{
    int urgency = 0; ///< 0 is the most urgent.
    std::uint64_t host_rank = 0;
};

collector_rank rank_of(const team_id& team, int urgency, const host_id& host);

/// Whether a request of rank `one` gets tokens before one of rank `other`.
bool goes_first(const collector_rank& one, const collector_rank& other);

} // namespace fennelladder::prepaid

#endif
