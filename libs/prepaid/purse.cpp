// Demand is a sum that decays with demand_memory; divided by that time it is
// a rate.

#include "fennelladder/prepaid/purse.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fennelladder::prepaid {

namespace {

double decayed(const holding& it, instant now)
{
    const double spans =
        to_seconds(now - it.demand_at) / to_seconds(purse::demand_memory);
    return it.demand * std::exp(-std::max(spans, 0.0));
}

} // namespace

void purse::note_demand(holding& it, tokens amount, instant now)
{
    it.demand = decayed(it, now) +
                static_cast<double>(amount.count()) / to_seconds(demand_memory);
    it.demand_at = now;
    it.largest = std::max(it.largest, amount);
}

bool purse::reserve(const team_id& team, tokens amount, instant now)
{
    assert(amount >= tokens(0));
    holding& it = holdings_[team];
    if (it.free < amount) {
        it.largest = std::max(it.largest, amount);
        return false;
    }
    note_demand(it, amount, now);
    it.free -= amount;
    it.reserved += amount;
    return true;
}

void purse::settle(const team_id& team, tokens reserved, tokens used)
{
    assert(tokens(0) <= used && used <= reserved);
    holding& it = holdings_[team];
    assert(it.reserved >= reserved);
    it.reserved -= reserved;
    it.spent += used;
    it.free += reserved - used;
}

void purse::credit(const team_id& team, tokens amount)
{
    assert(amount >= tokens(0));
    holdings_[team].free += amount;
}

tokens purse::debit(const team_id& team, tokens wanted, tokens least,
                    instant now)
{
    holding& it = holdings_[team];
    note_demand(it, wanted, now);
    if (it.free < least)
        return tokens(0);
    const tokens given = std::min(it.free, wanted);
    it.free -= given;
    return given;
}

tokens purse::debit_all(const team_id& team)
{
    holding& it = holdings_[team];
    const tokens given = it.free;
    it.free = tokens(0);
    return given;
}

tokens purse::free_of(const team_id& team) const
{
    const auto it = holdings_.find(team);
    return it == holdings_.end() ? tokens(0) : it->second.free;
}

double purse::demand(const team_id& team, instant now) const
{
    const auto it = holdings_.find(team);
    return it == holdings_.end() ? 0 : decayed(it->second, now);
}

} // namespace fennelladder::prepaid
