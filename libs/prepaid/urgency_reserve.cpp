#include "fennelladder/prepaid/urgency_reserve.hpp"

namespace fennelladder::prepaid {

void urgency_reserve::note(const team_id& team, int urgency, tokens wanted,
                           instant now)
{
    auto& rate = demand_[team]
                     .try_emplace(urgency, options_.demand_memory)
                     .first->second;
    rate.add(static_cast<double>(wanted.count()), now);
}

tokens urgency_reserve::reserved_for_urgent(const team_id& team, int urgency,
                                            instant now) const
{
    const auto of_team = demand_.find(team);
    if (of_team == demand_.end())
        return tokens(0);
    double all = 0;
    for (const auto& [other, rate] : of_team->second)
        all += rate.at(now);
    double reserved_rate = 0;
    for (const auto& [other, rate] : of_team->second) {
        const double with_next = reserved_rate + rate.at(now);
        if (other >= urgency || with_next > all * options_.max_share)
            break;
        reserved_rate = with_next;
    }
    return tokens(
        static_cast<std::int64_t>(reserved_rate * to_seconds(options_.span)));
}

} // namespace fennelladder::prepaid
