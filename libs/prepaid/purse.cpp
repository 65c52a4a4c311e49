// Spending is a sum that decays with spending_memory; divided by that time it
// is a rate.

#include "fennelladder/prepaid/purse.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fennelladder::prepaid {

namespace {

double decayed(const holding& it, instant now)
{
    const double spans =
        to_seconds(now - it.spent_at) / to_seconds(purse::spending_memory);
    return it.spent_lately * std::exp(-std::max(spans, 0.0));
}

} // namespace

bool purse::reserve(const team_id& team, tokens amount)
{
    assert(amount >= tokens(0));
    holding& it = holdings_[team];
    if (it.free < amount)
        return false;
    it.free -= amount;
    it.reserved += amount;
    return true;
}

void purse::settle(const team_id& team, tokens reserved, tokens used,
                   instant now)
{
    assert(tokens(0) <= used && used <= reserved);
    holding& it = holdings_[team];
    assert(it.reserved >= reserved);
    it.reserved -= reserved;
    it.spent += used;
    it.free += reserved - used;
    it.spent_lately = decayed(it, now) + static_cast<double>(used.count());
    it.spent_at = now;
}

void purse::credit(const team_id& team, tokens amount)
{
    assert(amount >= tokens(0));
    holdings_[team].free += amount;
}

tokens purse::debit(const team_id& team, tokens wanted)
{
    holding& it = holdings_[team];
    const tokens given = std::min(it.free, wanted);
    it.free -= given;
    return given;
}

tokens purse::debit_all(const team_id& team)
{
    return debit(team, free_of(team));
}

tokens purse::free_of(const team_id& team) const
{
    const auto it = holdings_.find(team);
    return it == holdings_.end() ? tokens(0) : it->second.free;
}

double purse::spending(const team_id& team, instant now) const
{
    const auto it = holdings_.find(team);
    if (it == holdings_.end())
        return 0;
    return decayed(it->second, now) / to_seconds(spending_memory);
}

} // namespace fennelladder::prepaid
