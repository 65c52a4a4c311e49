// Ordered maps by number; bytes are counted as what the strings hold plus a
// fixed cost per bill.

#include "fennelladder/budget/bill_keeper.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::budget {

namespace {

// Map node, numbers and short strings of one bill.
constexpr std::size_t fixed_bytes = 300;

std::size_t bytes_of(const bill& it)
{
    return fixed_bytes + it.key.str().size() + it.team.str().size() +
           it.budget.str().size() + it.answer.size();
}

} // namespace

bill_keeper::bill_keeper(const incarnation_id& self,
                         const bill_options& options)
    : self_(self), options_(options)
{}

void bill_keeper::add(shard_id shard, bill charge, instant now)
{
    shard_state& state = shards_[shard];
    const std::uint64_t number = ++state.last;
    charge.number = number;
    bytes_ += bytes_of(charge);
    ++size_;
    state.waiting.emplace(number, waiting_bill{std::move(charge), now, false});
}

std::vector<bill> bill_keeper::pending(shard_id shard, std::size_t limit,
                                       std::uint64_t after) const
{
    std::vector<bill> made;
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return made;
    const auto& waiting = found->second.waiting;
    for (auto it = waiting.upper_bound(after); it != waiting.end(); ++it) {
        if (made.size() >= limit)
            break;
        made.push_back(it->second.charge);
    }
    return made;
}

std::vector<shard_id> bill_keeper::shards() const
{
    std::vector<shard_id> made;
    for (const auto& [shard, state] : shards_) {
        if (!state.waiting.empty())
            made.push_back(shard);
    }
    return made;
}

bill_result bill_keeper::resolve(shard_id shard, std::uint64_t number,
                                 const outcome& made)
{
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return {};
    const auto it = found->second.waiting.find(number);
    if (it == found->second.waiting.end())
        return {};
    const bill& charge = it->second.charge;
    bill_result end{true, charge.budget, {}};
    // `replayed`: a peer brought it first, and we don't know whether it was
    // charged then. Keeping the charge can strand tokens but not mint them.
    const bool charged =
        made.what == verdict::applied || made.what == verdict::replayed;
    if (!charged)
        end.uncharge = charge.amount;
    bytes_ -= bytes_of(charge);
    --size_;
    found->second.waiting.erase(it);
    return end;
}

std::vector<shard_bill> bill_keeper::uncopied(instant now,
                                              std::size_t limit) const
{
    std::vector<shard_bill> made;
    for (const auto& [shard, state] : shards_) {
        auto next = state.waiting.lower_bound(state.first_uncopied);
        for (; next != state.waiting.end(); ++next) {
            const waiting_bill& it = next->second;
            // Bills are in order of time, so the rest is younger still.
            if (made.size() >= limit || now - it.since < options_.copy_after)
                break;
            if (!it.copied)
                made.push_back({shard, it.charge});
        }
    }
    return made;
}

void bill_keeper::copied(shard_id shard, std::uint64_t number)
{
    shard_state& state = shards_[shard];
    const auto it = state.waiting.find(number);
    if (it != state.waiting.end())
        it->second.copied = true;
    auto next = state.waiting.lower_bound(state.first_uncopied);
    while (next != state.waiting.end() && next->second.copied)
        ++next;
    state.first_uncopied =
        next == state.waiting.end() ? state.last + 1 : next->first;
}

void bill_keeper::copies_lost()
{
    for (auto& [shard, state] : shards_) {
        state.first_uncopied = 1;
        for (auto& [number, it] : state.waiting)
            it.copied = false;
    }
}

std::uint64_t bill_keeper::done_up_to(shard_id shard) const
{
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return 0;
    const auto& waiting = found->second.waiting;
    return waiting.empty() ? found->second.last : waiting.begin()->first - 1;
}

bool bill_keeper::keep_copy(const incarnation_id& biller,
                            const shard_bill& copy)
{
    if (copy_bytes_ >= options_.max_copy_bytes)
        return false;
    bill kept = copy.charge;
    kept.biller = biller;
    const auto key = std::pair(copy.shard, kept.number);
    const std::size_t n = bytes_of(kept);
    if (copies_[biller].emplace(key, std::move(kept)).second) {
        copy_bytes_ += n;
        ++copy_count_;
    }
    return true;
}

void bill_keeper::drop_copies(const incarnation_id& biller, shard_id shard,
                              std::uint64_t up_to)
{
    const auto found = copies_.find(biller);
    if (found == copies_.end())
        return;
    copy_map& all = found->second;
    const auto first = all.lower_bound({shard, 0});
    const auto last = all.upper_bound({shard, up_to});
    for (auto it = first; it != last; ++it) {
        copy_bytes_ -= bytes_of(it->second);
        --copy_count_;
    }
    all.erase(first, last);
    if (all.empty())
        copies_.erase(found);
}

std::vector<shard_bill>
bill_keeper::copies_of(const incarnation_id& biller) const
{
    std::vector<shard_bill> made;
    const auto found = copies_.find(biller);
    if (found == copies_.end())
        return made;
    for (const auto& [key, it] : found->second)
        made.push_back({key.first, it});
    return made;
}

void bill_keeper::flushed(const incarnation_id& biller, shard_id shard,
                          std::uint64_t number)
{
    const auto found = copies_.find(biller);
    if (found == copies_.end())
        return;
    const auto it = found->second.find({shard, number});
    if (it == found->second.end())
        return;
    copy_bytes_ -= bytes_of(it->second);
    --copy_count_;
    found->second.erase(it);
    if (found->second.empty())
        copies_.erase(found);
}

} // namespace fennelladder::budget
