// A map of maps, and a set of holders that get no further word. The set only
// grows by holders that died, a few dozen a day, and is gone with the process.

#include "fennelladder/budget/witness_ledger.hpp"

#include <algorithm>

namespace fennelladder::budget {

witness_ledger::witness_ledger(const witness_options& options)
    : options_(options)
{}

bool witness_ledger::vouch(const incarnation_id& holder,
                           const budget_id& budget, tokens ceiling)
{
    if (fenced_.contains(holder))
        return false;
    auto& known = ceilings_[holder];
    const auto it = known.find(budget);
    if (it != known.end()) {
        it->second = std::max(it->second, ceiling);
        return true;
    }
    if (size_ >= options_.max_ceilings)
        return false;
    known.emplace(budget, ceiling);
    ++size_;
    return true;
}

std::vector<fence_ack>
witness_ledger::fence(const incarnation_id& holder,
                      const std::function<bool(const budget_id&)>& ours)
{
    fenced_.insert(holder);
    std::vector<fence_ack> made(1);
    const auto found = ceilings_.find(holder);
    if (found != ceilings_.end()) {
        for (const auto& [budget, ceiling] : found->second) {
            if (!ours(budget))
                continue;
            if (made.back().ceilings.size() >= options_.ceilings_per_record)
                made.emplace_back();
            made.back().ceilings.push_back({budget, ceiling});
        }
    }
    for (fence_ack& it : made) {
        it.holder = holder;
        it.last = &it == &made.back();
    }
    return made;
}

void witness_ledger::settled(const incarnation_id& holder)
{
    const auto it = ceilings_.find(holder);
    if (it == ceilings_.end())
        return;
    size_ -= it->second.size();
    ceilings_.erase(it);
}

} // namespace fennelladder::budget
