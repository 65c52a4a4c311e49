#include "fennelladder/prepaid/collector_rank.hpp"

#include "fennelladder/base/hash.hpp"

namespace fennelladder::prepaid {

collector_rank rank_of(const team_id& team, int urgency, const host_id& host)
{
    return {urgency, hash64(host.str(), hash64(team.str()))};
}

bool goes_first(const collector_rank& one, const collector_rank& other)
{
    return one.urgency != other.urgency ? one.urgency < other.urgency
                                        : one.host_rank > other.host_rank;
}

} // namespace fennelladder::prepaid
