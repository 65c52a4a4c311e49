// The ceilings that this node has vouched for, as a witness of others.
//
// While the store is out of reach, a holder that wants to go above its
// recorded ceiling tells one of its witnesses first, and goes on when that
// one has agreed. The witness remembers. When the holder seems to be gone, the
// books ask its witnesses: each agrees to nothing more and says what it had
// agreed to (fence_ack), and what lies above can be reclaimed.
//
//     if (witnesses.vouch(holder, budget, ceiling)) ...   // answer yes
//     for (const fence_ack& it : witnesses.fence(holder)) // put in journal
//         committer.submit(it);
//
// Not thread safe. Memory: about 200 bytes for each budget and holder, at
// most witness_options::max_ceilings; more is refused.

#ifndef FENNELLADDER_BUDGET_WITNESS_LEDGER_HPP
#define FENNELLADDER_BUDGET_WITNESS_LEDGER_HPP

#include "fennelladder/budget/records.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace fennelladder::budget {

struct witness_options
{
    std::size_t max_ceilings = 100'000;

    /// Ceilings in one fence_ack record.
    std::size_t ceilings_per_record = 500;
};

class witness_ledger
{
public:
    explicit witness_ledger(const witness_options& options = {});

    /// Agrees to a ceiling. False: fenced, or no room.
    bool vouch(const incarnation_id& holder, const budget_id& budget,
               tokens ceiling);

    /// Agrees to nothing more for this holder, and returns the records that
    /// say so, restricted to budgets for which `ours` holds (those of the
    /// shard that asks). Gives the same again when asked again.
    std::vector<fence_ack>
    fence(const incarnation_id& holder,
          const std::function<bool(const budget_id&)>& ours);

    /// The books have settled the holder in all shards; its ceilings are not
    /// needed any more. It stays fenced.
    void settled(const incarnation_id& holder);

    std::size_t size() const { return size_; }

private:
    witness_options options_;
    std::unordered_map<incarnation_id, std::map<budget_id, tokens>> ceilings_;
    std::unordered_set<incarnation_id> fenced_;
    std::size_t size_ = 0;
};

} // namespace fennelladder::budget

#endif
