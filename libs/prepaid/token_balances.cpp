#include "fennelladder/prepaid/token_balances.hpp"

#include <algorithm>
#include <cassert>

namespace fennelladder::prepaid {

bool token_balances::reserve(const team_id& team, tokens amount, instant now)
{
    assert(amount >= tokens(0));
    holding& it = holdings_[team];
    if (it.free < amount)
        return false;
    it.free -= amount;
    it.reserved += amount;
    it.spending.add(static_cast<double>(amount.count()), now);
    return true;
}

void token_balances::settle(const team_id& team, tokens reserved, tokens used,
                            instant now)
{
    assert(tokens(0) <= used && used <= reserved);
    holding& it = holdings_[team];
    assert(it.reserved >= reserved);
    it.reserved -= reserved;
    it.spent += used;
    it.free += reserved - used;
    it.spending.add(static_cast<double>((used - reserved).count()), now);
}

void token_balances::credit(const team_id& team, tokens amount)
{
    assert(amount >= tokens(0));
    holdings_[team].free += amount;
}

tokens token_balances::debit(const team_id& team, tokens wanted)
{
    holding& it = holdings_[team];
    const tokens given = std::min(it.free, wanted);
    it.free -= given;
    return given;
}

tokens token_balances::debit_all(const team_id& team)
{
    return debit(team, free_of(team));
}

tokens token_balances::free_of(const team_id& team) const
{
    const auto it = holdings_.find(team);
    return it == holdings_.end() ? tokens(0) : it->second.free;
}

double token_balances::spending(const team_id& team, instant now) const
{
    const auto it = holdings_.find(team);
    return it == holdings_.end() ? 0 : it->second.spending.at(now);
}

} // namespace fennelladder::prepaid
