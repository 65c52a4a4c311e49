#include "fennelladder/prepaid/allotment_ledger.hpp"

#include <algorithm>

namespace fennelladder::prepaid {

tokens amount_of(const token_amounts& from, const team_id& team)
{
    const auto it = from.find(team);
    return it == from.end() ? tokens(0) : it->second;
}

bool allotment_ledger::is_settled(const allotment_epoch& epoch) const
{
    return epoch.sequence + kept_epochs <= latest_.sequence;
}

/// Sums the epochs that are no longer kept apart once `epoch` is the latest.
void allotment_ledger::advance_to(const allotment_epoch& epoch)
{
    latest_ = std::max(latest_, epoch);
    while (!drawn_.empty() && is_settled(drawn_.begin()->first)) {
        for (const auto& [team, it] : drawn_.begin()->second)
            settled_[team] += it.amount;
        drawn_.erase(drawn_.begin());
    }
}

bool allotment_ledger::raise(const known_draw& draw, instant now)
{
    advance_to(draw.epoch);
    if (is_settled(draw.epoch))
        return false;
    const auto [it, added] =
        drawn_[draw.epoch].try_emplace(draw.team, entry{draw.amount, now});
    if (added)
        return draw.amount > tokens(0);
    if (draw.amount <= it->second.amount)
        return false;
    it->second = {draw.amount, now};
    return true;
}

bool allotment_ledger::merge(const allotment_ledger& other, instant now)
{
    allotment_ledger advanced = other;
    advanced.advance_to(latest_);
    advance_to(other.latest_);
    bool news = false;
    for (const auto& [team, amount] : advanced.settled_) {
        tokens& known = settled_[team];
        news |= amount > known;
        known = std::max(known, amount);
    }
    for (const auto& [epoch, teams] : advanced.drawn_)
        for (const auto& [team, it] : teams)
            news |= raise({epoch, team, it.amount}, now);
    return news;
}

void allotment_ledger::raise_total(const token_amounts& totals, instant now)
{
    const allotment_epoch without;
    for (const auto& [team, amount] : totals) {
        const tokens others = total(team) - drawn(without, team);
        if (amount <= others)
            continue;
        if (is_settled(without))
            settled_[team] += std::max(amount - total(team), tokens(0));
        else
            raise({without, team, amount - others}, now);
    }
}

tokens allotment_ledger::total(const team_id& team) const
{
    tokens out = amount_of(settled_, team);
    for (const auto& [epoch, teams] : drawn_)
        out += drawn(epoch, team);
    return out;
}

token_amounts allotment_ledger::totals() const
{
    token_amounts out = settled_;
    for (const auto& [epoch, teams] : drawn_)
        for (const auto& [team, it] : teams)
            out[team] += it.amount;
    return out;
}

tokens allotment_ledger::drawn(const allotment_epoch& epoch,
                               const team_id& team) const
{
    const auto teams = drawn_.find(epoch);
    if (teams == drawn_.end())
        return tokens(0);
    const auto it = teams->second.find(team);
    return it == teams->second.end() ? tokens(0) : it->second.amount;
}

std::map<allotment_epoch, token_amounts> allotment_ledger::epochs() const
{
    std::map<allotment_epoch, token_amounts> out;
    for (const auto& [epoch, teams] : drawn_)
        for (const auto& [team, it] : teams)
            out[epoch][team] = it.amount;
    return out;
}

bool allotment_ledger::exceeds(const allotment_ledger& other) const
{
    allotment_ledger own = *this;
    own.advance_to(other.latest_);
    allotment_ledger theirs = other;
    theirs.advance_to(latest_);
    const bool settled_more =
        std::ranges::any_of(own.settled_, [&](const auto& it) {
            return it.second > amount_of(theirs.settled_, it.first);
        });
    const auto drew_more = [&](const auto& row) {
        return std::ranges::any_of(row.second, [&](const auto& it) {
            return it.second.amount > theirs.drawn(row.first, it.first);
        });
    };
    return settled_more || std::ranges::any_of(own.drawn_, drew_more);
}

std::vector<known_draw> allotment_ledger::learnt_since(instant since) const
{
    std::vector<known_draw> out;
    for (const auto& [epoch, teams] : drawn_)
        for (const auto& [team, it] : teams)
            if (it.learnt >= since)
                out.push_back({epoch, team, it.amount});
    return out;
}

} // namespace fennelladder::prepaid
