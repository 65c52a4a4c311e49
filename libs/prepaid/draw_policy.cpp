#include "fennelladder/prepaid/draw_policy.hpp"

#include <algorithm>

namespace fennelladder::prepaid {

std::size_t witnesses_needed(const witness_view& view)
{
    if (view.live > 0)
        return std::min(view.live, least_witnesses);
    return may_be_cut_off(view.isolated_for) ? 1 : 0;
}

bool may_be_cut_off(std::optional<duration> isolated_for)
{
    return isolated_for && *isolated_for < isolation_limit;
}

bool may_repair(const repair_view& view)
{
    if (view.answered < view.asked && view.asked_for < answer_patience)
        return false;
    // Nobody can have drawn anything before the first record. Later, the copy
    // may be older than the record.
    if (view.record_missing && view.first_start && view.uptime < discovery_time)
        return true;
    if (may_be_cut_off(view.isolated_for))
        return false;
    if (view.eldest_silent > view.eldest_answered &&
        view.eldest_answered < oldest_copy)
        return false;
    return view.uptime >= discovery_time;
}

} // namespace fennelladder::prepaid
