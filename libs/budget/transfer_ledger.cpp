// Two small state machines over numbered asks.
//
// The giver keeps a gift until the taker's last word on it, then only the
// ask's number in a window, which answers every copy of the ask that may still
// be under way with "nothing". The taker keeps an open ask until it is
// credited or given up, then the word on it until the giver has it. All work
// per message is logarithmic in the open entries.

#include "fennelladder/budget/transfer_ledger.hpp"

#include <algorithm>

namespace fennelladder::budget {

namespace {

// Of confirmed gifts, how many are kept per taker in case it dies before it
// has reported them. Takers report within seconds while the store is up.
constexpr std::size_t max_credited = 1000;

} // namespace

transfer_ledger::transfer_ledger(const incarnation_id& self,
                                 allotment_table& table,
                                 const transfer_options& options)
    : self_(self), table_(table), options_(options)
{}

// ---- giver

transfer_reply transfer_ledger::give(const transfer_ask& ask, tokens most,
                                     shard_id shard)
{
    transfer_reply reply;
    reply.ask = ask.number;
    reply.id.giver = self_;
    if (ask.giver != self_ || ask.taker == self_ || ask.number == 0)
        return reply;
    taker_state& taker = takers_[ask.taker];
    const auto known = taker.open.find(ask.number);
    if (known != taker.open.end()) {
        reply.id = known->second.moved.id;
        reply.amount = known->second.moved.amount;
        return reply;
    }
    if (open_gifts_ >= options_.max_open || !taker.closed.insert(ask.number))
        return reply;
    const tokens amount =
        table_.debit_transfer(ask.budget, std::min(most, ask.wish), tokens(1));
    if (amount <= tokens(0))
        return reply;
    reply.id.number = ++next_transfer_[shard];
    reply.amount = amount;
    taker.open[ask.number] = {{reply.id, ask.budget, ask.taker, amount}, false};
    ++open_gifts_;
    ++giving_[ask.budget];
    return reply;
}

void transfer_ledger::confirm(const transfer_confirm& word)
{
    if (word.giver != self_)
        return;
    taker_state& taker = takers_[word.taker];
    const auto it = taker.open.find(word.ask);
    if (it == taker.open.end()) {
        // The ask itself may still be under way; it comes too late now.
        taker.closed.insert(word.ask);
        return;
    }
    const transfer moved = it->second.moved;
    taker.open.erase(it);
    --open_gifts_;
    if (--giving_[moved.budget] == 0)
        giving_.erase(moved.budget);
    if (!word.credited) {
        table_.refund_transfer(moved.budget, moved.amount);
        return;
    }
    taker.credited.push_back(moved);
    if (taker.credited.size() > max_credited)
        taker.credited.pop_front();
}

std::vector<transfer>
transfer_ledger::take_over(const incarnation_id& taker) const
{
    const auto it = takers_.find(taker);
    if (it == takers_.end())
        return {};
    return {it->second.credited.begin(), it->second.credited.end()};
}

tokens transfer_ledger::unconfirmed() const
{
    tokens sum;
    for (const auto& [taker, state] : takers_) {
        for (const auto& [number, it] : state.open)
            sum += it.moved.amount;
    }
    return sum;
}

// ---- taker

transfer_ask transfer_ledger::ask(const incarnation_id& giver,
                                  const budget_id& budget, tokens wish,
                                  tokens need, instant now)
{
    transfer_ask made{self_, giver, 0, budget, wish, need};
    if (asks_.size() >= options_.max_open)
        return made;
    made.number = ++next_ask_[giver];
    asks_[{giver, made.number}] = {made, now, now};
    ++asking_[budget];
    return made;
}

void transfer_ledger::close_ask(const ask_key& key)
{
    const auto it = asks_.find(key);
    const budget_id& budget = it->second.sent.budget;
    if (--asking_[budget] == 0)
        asking_.erase(budget);
    asks_.erase(it);
}

tokens transfer_ledger::accept(const transfer_reply& reply, instant now)
{
    const ask_key key{reply.id.giver, reply.ask};
    const auto it = asks_.find(key);
    // Known already, or given up: a second reply must not credit again.
    if (it == asks_.end())
        return {};
    const budget_id budget = it->second.sent.budget;
    if (reply.amount > tokens(0)) {
        keep_word(key, true, now);
        table_.credit_transfer(budget, reply.amount, now);
        to_report_[{budget, reply.id}] = {reply.id, budget, self_,
                                          reply.amount};
    }
    close_ask(key);
    return reply.amount;
}

std::vector<transfer_ask> transfer_ledger::repeats(instant now)
{
    std::vector<transfer_ask> made;
    std::vector<ask_key> too_old;
    for (auto& [key, it] : asks_) {
        if (now - it.first >= options_.give_up_after) {
            too_old.push_back(key);
        } else if (now - it.last >= options_.repeat_after) {
            it.last = now;
            made.push_back(it.sent);
        }
    }
    for (const ask_key& key : too_old) {
        keep_word(key, false, now);
        close_ask(key);
    }
    return made;
}

void transfer_ledger::keep_word(const ask_key& key, bool credited, instant now)
{
    words_[key] = {credited, options_.word_again};
    due_.emplace(now, key);
}

std::vector<transfer_confirm> transfer_ledger::confirms(instant now)
{
    std::vector<transfer_confirm> made;
    while (!due_.empty() && due_.begin()->first <= now) {
        const ask_key key = due_.begin()->second;
        due_.erase(due_.begin());
        const auto it = words_.find(key);
        if (it == words_.end())
            continue;
        open_word& word = it->second;
        due_.emplace(now + word.wait, key);
        word.wait = std::min(word.wait * 2, options_.word_limit);
        made.push_back({self_, key.first, key.second, word.credited});
    }
    return made;
}

void transfer_ledger::confirmed(const transfer_confirm& word)
{
    words_.erase({word.giver, word.ask});
}

std::vector<transfer> transfer_ledger::reports()
{
    std::vector<transfer> made;
    for (const auto& [key, it] : to_report_)
        made.push_back(it);
    in_report_.merge(to_report_);
    return made;
}

void transfer_ledger::reported(const transfer& moved, bool taken)
{
    const auto it = in_report_.find({moved.budget, moved.id});
    if (it == in_report_.end())
        return;
    if (!taken)
        to_report_.insert(*it);
    in_report_.erase(it);
}

bool transfer_ledger::moving(const budget_id& budget) const
{
    const auto has = [&](const std::map<report_key, transfer>& all) {
        const auto it = all.lower_bound({budget, {}});
        return it != all.end() && it->first.first == budget;
    };
    return giving_.contains(budget) || has(to_report_) || has(in_report_);
}

bool transfer_ledger::asking(const budget_id& budget) const
{
    return asking_.contains(budget);
}

} // namespace fennelladder::budget
