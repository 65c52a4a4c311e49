// Spending is a sum that decays with spending_memory. Divided by the part of
// the decaying past that was seen at all, it is a rate: without that, a team
// that has just begun would seem to spend a fraction of what it does.

#include "fennelladder/prepaid/purse.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fennelladder::prepaid {

namespace {

/// A rate over less time than this says nothing.
constexpr double least_seen_seconds = 1;

double decayed(const holding& it, instant now)
{
    const double spans =
        to_seconds(now - it.spent_at) / to_seconds(purse::spending_memory);
    return it.spent_lately * std::exp(-std::max(spans, 0.0));
}

} // namespace

void purse::note_spending(holding& it, tokens amount, instant now)
{
    if (!it.first_spent)
        it.first_spent = now;
    const double sum = decayed(it, now) + static_cast<double>(amount.count());
    it.spent_lately = std::max(sum, 0.0);
    it.spent_at = now;
}

bool purse::reserve(const team_id& team, tokens amount, instant now)
{
    assert(amount >= tokens(0));
    holding& it = holdings_[team];
    if (it.free < amount)
        return false;
    it.free -= amount;
    it.reserved += amount;
    note_spending(it, amount, now);
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
    note_spending(it, used - reserved, now);
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
    if (it == holdings_.end() || !it->second.first_spent)
        return 0;
    const double memory = to_seconds(spending_memory);
    const double seen =
        std::max(to_seconds(now - *it->second.first_spent), least_seen_seconds);
    const double part = 1 - std::exp(-seen / memory);
    return decayed(it->second, now) / (memory * part);
}

} // namespace fennelladder::prepaid
